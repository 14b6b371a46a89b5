"""Builds the parts of a placer from its settings.

How the parts work together and when they start and stop is left to `placer`.
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
from kelpfront.fronts.rest import WatchTimes
from kelpfront.http.limits import HttpLimits
from kelpfront.store import ResourceStore, StoreLimits

if TYPE_CHECKING:
    from kelpfront.fronts.grpc import GrpcLimits
    from kelpfront.tracing.export import Tracer

OBJECT_SLACK = 10_000
"""Objects of the store beyond jobs and machines of the settings: machines that are added later, levels."""
REVISION_SHIFT_BITS = 10
"""Revisions begin at the clock's milliseconds shifted so far: above all that an earlier start gave out."""
INCARNATION_BITS = 48


@dataclass(frozen=True, slots=True)
class PlacerOptions:
    """What a placer may be given beyond its settings, by tests and the laboratory.

    Attributes:
        seed: of all that is drawn; None for the one of the settings.
        clock: the common clock; None for the host's.
        watch_times: of the REST API's watches; None for the usual.
        stopwatch: tells seconds of the process's own time, for what work costs.
        use_threads: False where there are none; traces are then written at once.
    """

    seed: int | None = None
    clock: CommonClock | None = None
    watch_times: WatchTimes | None = None
    stopwatch: Callable[[], float] = time.perf_counter
    use_threads: bool = True


def build_store(config: Config, machine_count: int, now_ms: float) -> ResourceStore:
    """Build the store of the API's resources."""
    limits = config.limits
    return ResourceStore(
        int(now_ms) << REVISION_SHIFT_BITS,
        StoreLimits(
            objects=limits.jobs + limits.finished_jobs + machine_count + OBJECT_SLACK,
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
    """Build the controller. It draws its identity from `rng`, and uids as long as it lives."""
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
    """Build the writer of traces; None where the settings name no file."""
    settings = config.tracing
    if settings.file is None:
        return None
    from kelpfront.tracing.export import Tracer, TracerSettings  # tracing is an optional dependency

    separate_rng = random.Random(0)  # a run with traces draws what one without them draws
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


def http_limits(config: Config) -> HttpLimits:
    """Return what the HTTP server spends on its clients."""
    limits = config.limits
    return HttpLimits(
        connections=limits.connections,
        head_bytes=limits.head,
        body_bytes=limits.body,
        head_timeout_s=limits.request_time / MS_PER_S,
        body_timeout_s=limits.request_time / MS_PER_S,
        idle_timeout_s=limits.idle_time / MS_PER_S,
    )


def grpc_limits(config: Config) -> GrpcLimits:
    """Return what the gRPC server spends on its clients."""
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
