"""Builds the components of a placer from its settings.

The module `placer` connects, starts and stops them.
"""

from __future__ import annotations

import random
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from kelpfront.clock import MS_PER_S, CommonClock
from kelpfront.config import Config, build_cluster, build_levels
from kelpfront.controller.job_controller import ControllerIdentity, ControllerOptions, JobController
from kelpfront.controller.jobs import JobLimits
from kelpfront.fronts.rest import WatchTiming
from kelpfront.http.limits import HttpLimits
from kelpfront.store import ResourceStore, StoreLimits

if TYPE_CHECKING:
    from kelpfront.fronts.grpc import GrpcLimits
    from kelpfront.tracing.export import Tracer

EXTRA_OBJECTS = 10_000
"""Objects in the store beyond the configured jobs and machines: levels, and machines added later."""
REVISION_SHIFT_BITS = 10
"""The first revision is the clock in ms shifted left by this, above all revisions of earlier starts."""
INCARNATION_BITS = 48


@dataclass(frozen=True, slots=True)
class PlacerOptions:
    """Overrides of a placer's settings and environment, for tests and the laboratory.

    Attributes:
        seed: seed of the random number generator; None for the one in the settings.
        clock: the common clock; None for the host's.
        watch_times: intervals of the REST API's watches; None for the defaults.
        stopwatch: a monotonic clock in seconds, used to measure how long work takes.
        use_threads: False where threads are not available; traces are then written synchronously.
    """

    seed: int | None = None
    clock: CommonClock | None = None
    watch_times: WatchTiming | None = None
    stopwatch: Callable[[], float] = time.perf_counter
    use_threads: bool = True


def build_store(config: Config, machine_count: int, now_ms: float) -> ResourceStore:
    """Build the store of the API's resources."""
    limits = config.limits
    return ResourceStore(
        int(now_ms) << REVISION_SHIFT_BITS,
        StoreLimits(
            objects=limits.jobs + limits.finished_jobs + machine_count + EXTRA_OBJECTS,
            history_weight=limits.history,
            watches=limits.watches,
            watch_buffer_events=limits.watch_buffer,
        ),
    )


def build_controller(
    config: Config,
    store: ResourceStore,
    rng: random.Random,
    controller_class: type[JobController],
    stopwatch: Callable[[], float],
) -> JobController:
    """Build the controller. It draws its incarnation and all uids from `rng`."""
    limits = config.limits
    controller = controller_class(
        build_cluster(config),
        store,
        ControllerIdentity(config.placer.name, _draw_uid(rng), rng.getrandbits(INCARNATION_BITS)),
        lambda: _draw_uid(rng),
        ControllerOptions(
            JobLimits(limits.open_tasks, limits.jobs, limits.finished_jobs),
            levels=build_levels(config),
            stopwatch=lambda: stopwatch() * MS_PER_S,
        ),
    )
    controller.context.log.verbose = config.log.level == "debug"
    return controller


def build_tracer(config: Config, rng: random.Random, *, synchronous: bool) -> Tracer | None:
    """Build the writer of traces, or return None if the settings name no file."""
    settings = config.tracing
    if settings.file is None:
        return None
    from kelpfront.tracing.export import Tracer, TracerSettings  # tracing is an optional dependency

    separate_rng = random.Random(0)  # tracing must not change what `rng` draws later
    separate_rng.setstate(rng.getstate())
    return Tracer(
        Path(settings.file),
        config.placer.name,
        TracerSettings(
            share=settings.share,
            max_bytes=settings.most,
            seed=separate_rng.getrandbits(32),
            synchronous=synchronous,
        ),
    )


def build_http_limits(config: Config) -> HttpLimits:
    """Build the HTTP server's limits on connections, request sizes and waiting times."""
    limits = config.limits
    return HttpLimits(
        connections=limits.connections,
        head_bytes=limits.head,
        body_bytes=limits.body,
        head_timeout_s=limits.request_time / MS_PER_S,
        body_timeout_s=limits.request_time / MS_PER_S,
        idle_timeout_s=limits.idle_time / MS_PER_S,
    )


def build_grpc_limits(config: Config) -> GrpcLimits:
    """Build the gRPC server's limits on connections, message sizes and streams."""
    from kelpfront.fronts.grpc import GrpcLimits  # gRPC is an optional dependency

    limits = config.limits
    return GrpcLimits(
        connections=limits.connections,
        message_bytes=limits.body,
        metadata_bytes=limits.head,
        streams=limits.watches,
    )


def _draw_uid(rng: random.Random) -> str:
    return str(uuid.UUID(int=rng.getrandbits(128), version=4))
