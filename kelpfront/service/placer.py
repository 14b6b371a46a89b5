"""The placer service: connects the placer's components and controls its lifecycle.

`composition` builds the components, `control_loop` drives the controller, `machine_links` connects to the
machines, and `maintenance` runs the periodic checks.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

import structlog

from kelpfront.clock import MS_PER_S, CommonClock
from kelpfront.config import Config
from kelpfront.controller.job_controller import JobController
from kelpfront.controller.operations import Operations
from kelpfront.fronts.rest import Health, RestEnvironment, RestFront, WatchTiming, error_body
from kelpfront.http.pacing import RequestPacer
from kelpfront.http.server import HttpServer
from kelpfront.inventory import Inventory
from kelpfront.service import composition
from kelpfront.service.background_tasks import BackgroundTasks, log_task_failure
from kelpfront.service.composition import PlacerOptions
from kelpfront.service.control_loop import ControlLoop
from kelpfront.service.garbage_collection import GarbageCollectionPacer
from kelpfront.service.inventory_reload import InventoryReloader
from kelpfront.service.machine_link import LinkContext
from kelpfront.service.machine_links import MachineLinks
from kelpfront.service.maintenance import Maintenance

if TYPE_CHECKING:
    from kelpfront.fronts.grpc import GrpcFront

log = structlog.get_logger("kelpfront.controller")

MAX_RECONCILIATION_WAIT_S = 3.0
"""Maximum wait for the machines to report what they run, before jobs are accepted."""
SHUTDOWN_SLACK_S = 2.0
"""Added to the last task's deadline, so that an answer due at the deadline is still published and read."""
STARTING = "the placer starts: it asks its machines what they hold"
STOPPING = "the placer stops: it answers what it has taken and takes no more"


class PlacerService:
    """One placer process.

    Args:
        config: the settings.
        inventory: the initial machines.
        controller_class: replaced by tests and the laboratory with faulty or instrumented controllers.
        options: overrides for tests and the laboratory.
    """

    def __init__(
        self,
        config: Config,
        inventory: Inventory,
        *,
        controller_class: type[JobController] = JobController,
        options: PlacerOptions | None = None,
    ) -> None:
        options = options or PlacerOptions()
        rng = random.Random(options.seed if options.seed is not None else config.placer.seed)
        self.config = config
        self.clock = options.clock or CommonClock()
        self.store = composition.build_store(config, len(inventory.hosts), self.clock.now())
        self._tracer = composition.build_tracer(config, rng, synchronous=not options.use_threads)
        self.controller = composition.build_controller(
            config, self.store, rng, controller_class, options.stopwatch
        )
        self._trace_finished_tasks()
        self.operations = Operations(self.controller, self.clock.now, rng)
        self.operations.rejection_message = STARTING
        self.operations.starting = True
        self.links = MachineLinks(LinkContext(self.controller, self.clock.now, self.notify_changed, rng))
        self._control_loop = ControlLoop(self.controller, self.clock.now, self.links)
        pacer = RequestPacer(clock=options.stopwatch)  # shared, because both APIs use one event loop
        self.rest = self._make_rest_front(rng, options.watch_times or WatchTiming())
        self.http = HttpServer(self.rest.handle, composition.build_http_limits(config), error_body, pacer)
        self.grpc = self._make_grpc_front(pacer)
        self.inventory_reloader = InventoryReloader(config, self._apply_inventory)
        self._maintenance = self._make_maintenance()
        self._inventory = inventory
        self._tasks = BackgroundTasks(log_task_failure)
        self._is_signalled = False
        self._is_stopping = False
        self._is_closed = False
        self._stopped = asyncio.Event()

    def _trace_finished_tasks(self) -> None:
        if self._tracer is None:
            return
        from kelpfront.tracing.finished_tasks import trace_finished_tasks  # tracing is an optional dependency

        trace_finished_tasks(self.controller, self._tracer.write, self.clock.now)

    def _make_rest_front(self, rng: random.Random, watch_times: WatchTiming) -> RestFront:
        environment = RestEnvironment(
            common_time=self._common_time,
            health=self.health,
            rng=rng,
            watch_times=watch_times,
            read_task_output=self.links.read_task_output,
        )
        return RestFront(self.operations, environment)

    def _make_grpc_front(self, pacer: RequestPacer) -> GrpcFront | None:
        if self.config.placer.grpc is None:
            return None
        from kelpfront.fronts.grpc import GrpcFront  # gRPC is an optional dependency

        limits = composition.build_grpc_limits(self.config)
        return GrpcFront(self.operations, self.clock.now, pacer, self.notify_changed, limits)

    def _make_maintenance(self) -> Maintenance:
        return Maintenance(
            self.controller,
            self._control_loop,
            self.links,
            self.inventory_reloader,
            memory_limit_bytes=self.config.levels.memory,
        )

    # ---- Public state and notifications -------------------------------------------------------------------

    @property
    def url(self) -> str:
        """The URL of the REST API."""
        return f"http://{self.config.placer.listen.rpartition(':')[0]}:{self.http.port}"

    @property
    def grpc_target(self) -> str:
        """HOST:PORT of the gRPC API; empty if it is not served."""
        if self.grpc is None or self.config.placer.grpc is None:
            return ""
        return f"{self.config.placer.grpc.rpartition(':')[0]}:{self.grpc.port}"

    def health(self) -> Health:
        """Return whether the placer accepts jobs."""
        return Health(ready=self.operations.rejection_message)

    def notify_changed(self) -> None:
        """Execute the controller's intents soon. Must be called after each report to the controller."""
        self._control_loop.schedule()

    def _common_time(self, loop_time_s: float) -> float:
        """Convert a time of the event loop to milliseconds of the common clock."""
        age_s = asyncio.get_running_loop().time() - loop_time_s
        return self.clock.now() - age_s * MS_PER_S

    def _apply_inventory(self, inventory: Inventory) -> None:
        self.controller.apply_inventory(self.clock.now(), inventory)
        self.notify_changed()

    # ---- Start and shutdown -------------------------------------------------------------------------------

    async def run(self, on_start: Callable[[PlacerService], None] | None = None) -> None:
        """Serve until SIGTERM or SIGINT, then answer all accepted jobs. A second signal exits immediately.

        `on_start` is called once the APIs are served, before jobs are accepted.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        await self.start()
        max_pause_ms = self.controller.cluster.settings.timer_resolution_ms
        with GarbageCollectionPacer(max_pause_ms, lambda: not self.controller.open_tasks) as collections:
            self._tasks.spawn(collections.run())
            if on_start is not None:
                on_start(self)
            await self._stopped.wait()
        await self.close()

    def _on_signal(self) -> None:
        if self._is_signalled:
            self._stopped.set()
            return
        self._is_signalled = True
        self._tasks.spawn(self.stop())

    async def start(self) -> None:
        """Serve the APIs and connect to the machines. Jobs are accepted after the machines have reported."""
        host, _, port = self.config.placer.listen.rpartition(":")
        await self.http.start(host, int(port))
        if self.grpc is not None:
            await self.grpc.start(self.config.placer.grpc or "")
        self._apply_inventory(self._inventory)
        self._tasks.spawn(self._accept_jobs_when_reconciled())
        self._tasks.spawn(self._maintenance.run())
        log.info("placer started", url=self.url, machines=len(self._inventory.hosts))

    async def _accept_jobs_when_reconciled(self) -> None:
        """Wait for the machines' reports, because a resubmitted job may be running on one of them already."""
        entries = self.controller.registry.entries

        def all_reconciled() -> bool:
            return all(entry.reconciled for entry in entries.values())

        await self._control_loop.wait_until(all_reconciled, MAX_RECONCILIATION_WAIT_S)
        self.operations.starting = False
        if self._is_stopping:
            return
        self.operations.rejection_message = ""
        if self.grpc is not None:
            await self.grpc.set_ready(ready=True)
        reconciled = sum(entry.reconciled for entry in entries.values())
        log.info("placer ready", machines_reconciled=reconciled, machines=len(entries))

    async def stop(self) -> None:
        """Reject new jobs, answer all accepted ones, then end the watches and close."""
        if self._is_stopping:
            return
        self._is_stopping = True
        self.operations.rejection_message = STOPPING
        if self.grpc is not None:
            await self.grpc.set_ready(ready=False)
        log.info("placer stopping", open_tasks=self.controller.open_tasks)
        await self._control_loop.wait_until(
            lambda: not self.controller.open_tasks, self._longest_answer_s() + SHUTDOWN_SLACK_S
        )
        # If a second signal cancels this method before this line, open tasks stay unanswered. After it, all
        # tasks are answered, and a cancellation only interrupts the streams.
        self.controller.flush(self.clock.now())
        self.rest.end_watches()
        if self.grpc is not None:
            self.grpc.end_streams()
            await self.grpc.close()
        await self.http.close()
        await self.close()
        log.info("placer stopped", open_tasks=self.controller.open_tasks)
        self._stopped.set()

    def _longest_answer_s(self) -> float:
        """Return the maximum time until all accepted tasks are answered."""
        longest_deadline_ms = max(cls.deadline_ms for cls in self.controller.cluster.settings.classes)
        remaining_ms = self.controller.longest_remaining_ms(self.clock.now())
        return max(longest_deadline_ms, remaining_ms) / MS_PER_S

    async def close(self) -> None:
        """Close everything immediately, leaving open tasks unanswered. A second call does nothing."""
        if self._is_closed:
            return
        self._control_loop.close()
        self.http.abort()
        if self.grpc is not None:
            await self.grpc.close(0.0)
        self._tasks.cancel()
        await self.links.close()
        await self._tasks.wait()
        if self._tracer is not None:
            self._tracer.close()
        self._is_closed = True
