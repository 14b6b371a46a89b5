"""A placer as it runs: the controller with its clock, its links to machines and its REST front."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import signal
import time
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import psutil
import structlog

from kelpfront.api.errors import ApiError
from kelpfront.clock import CommonClock
from kelpfront.config import Config, build_cluster, build_levels
from kelpfront.controller.intents import AbandonOffer, LogLine, SendHealthCheck, SendOffer, SendStop
from kelpfront.controller.job_controller import ControllerIdentity, ControllerOptions, JobController
from kelpfront.controller.jobs import JobLimits
from kelpfront.controller.operations import Operations
from kelpfront.fronts.rest import Health, RestFront, WatchTimes, error_body
from kelpfront.http.client import HttpError
from kelpfront.http.limits import HttpLimits
from kelpfront.http.pacing import RequestPacer
from kelpfront.http.server import HttpServer
from kelpfront.inventory import Inventory, InventoryError, KindSize, read_inventory
from kelpfront.service.garbage import FREEZE_S, Collector
from kelpfront.service.links import MachineLink, make_link
from kelpfront.store import ResourceStore, StoreLimits

if TYPE_CHECKING:
    from kelpfront.fronts.grpc import GrpcFront
    from kelpfront.tracing.export import Tracer

log = structlog.get_logger("kelpfront.controller")

START_WAIT_S = 3.0  # for machines to say what they hold, before jobs are taken
INVENTORY_LOOK_S = 2.0
STOP_SLACK_S = 2.0  # past the last task's deadline
LAG_LOOK_S = 0.25
STOOD_STILL_MS = 100.0  # a timer that is later than this: the process was stopped, or its host
HEARING_TURNS = 6  # of the loop: from bytes in a socket to the controller it takes up to four ...
HEARING_MOST_MS = 20.0  # ... and no longer than this where turns are long: what is due is late already
STARTING = "the placer starts: it asks its machines what they hold"
STOPPING = "the placer stops: it answers what it has taken and takes no more"


class PlacerService:
    """One placer process. `controller_class` is for tests and the laboratory, which need others."""

    def __init__(
        self,
        config: Config,
        inventory: Inventory,
        *,
        seed: int | None = None,
        clock: CommonClock | None = None,
        controller_class: type[JobController] = JobController,
        times: WatchTimes | None = None,
        stopwatch: Callable[[], float] = time.perf_counter,
        threads: bool = True,
    ) -> None:
        """`stopwatch` tells seconds of the process's own time, for what work costs.

        `threads` False: there are none, and traces are written at once.
        """
        self.config = config
        self.clock = clock or CommonClock()
        chance = random.Random(seed if seed is not None else config.placer.seed)
        limits = config.limits
        self.store = ResourceStore(
            int(self.clock.now()) << 10,  # above all that an earlier start can have given out
            StoreLimits(
                objects=limits.jobs + limits.finished_jobs + len(inventory.hosts) + 10_000,
                history_weight=limits.history,
                watches=limits.watches,
                watch_buffer_events=limits.watch_buffer,
            ),
        )
        self._threads = threads
        self._tracer = self._make_tracer(chance)
        self.controller = controller_class(
            build_cluster(config),
            self.store,
            ControllerIdentity(config.placer.name, self._uid(chance), chance.getrandbits(48)),
            lambda: self._uid(chance),
            ControllerOptions(
                JobLimits(limits.open_tasks, limits.jobs, limits.finished_jobs),
                levels=build_levels(config),
                stopwatch=lambda: stopwatch() * 1000.0,
            ),
        )
        if self._tracer is not None:
            from kelpfront.tracing.finished_tasks import trace_finished_tasks

            trace_finished_tasks(self.controller, self._tracer.write, self.clock.now)
        self.controller.context.log.verbose = config.log.level == "debug"
        self.operations = Operations(self.controller, self.clock.now, chance)
        self.operations.closed, self.operations.starting = STARTING, True
        self.front = RestFront(self.operations, self._common_time, self.health, chance, times, self._read_log)
        pacer = RequestPacer(clock=stopwatch)  # of both fronts together
        self.http = HttpServer(
            self.front.handle,
            HttpLimits(
                connections=limits.connections,
                head_bytes=limits.head,
                body_bytes=limits.body,
                head_timeout_s=limits.request_time / 1000,
                body_timeout_s=limits.request_time / 1000,
                idle_timeout_s=limits.idle_time / 1000,
            ),
            error_body,
            pacer,
        )
        self.grpc: GrpcFront | None = None
        if config.placer.grpc is not None:
            from kelpfront.fronts.grpc import GrpcFront, GrpcLimits

            self.grpc = GrpcFront(
                self.operations,
                self.clock.now,
                pacer,
                self.changed,
                GrpcLimits(
                    connections=limits.connections,
                    message_bytes=limits.body,
                    metadata_bytes=limits.head,
                    streams=limits.watches,
                ),
            )
        self.links: dict[str, MachineLink] = {}
        self.lag_ms = 0.0  # how late the controller's timers were at the worst, between two looks
        self._latest_ms = 0.0
        self._chance = chance
        self._inventory = inventory
        self._jobs: dict[asyncio.Task[None], None] = {}  # in the order in which they began
        self._work_due = False
        self._worked = asyncio.Event()
        self._armed: asyncio.TimerHandle | None = None
        self._armed_at = math.inf
        self._hearing = self._closed = False
        self._process = None if config.levels.memory is None else psutil.Process()
        self._stopping = False
        self._stopped = asyncio.Event()

    def _make_tracer(self, chance: random.Random) -> Tracer | None:
        its = self.config.tracing
        if its.file is None:
            return None
        from kelpfront.tracing.export import Tracer, TracerSettings

        apart = random.Random(0)  # a run with traces draws what one without them draws
        apart.setstate(chance.getstate())
        return Tracer(
            Path(its.file),
            self.config.placer.name,
            TracerSettings(
                share=its.share,
                max_bytes=its.most,
                seed=apart.getrandbits(32),
                synchronous=not self._threads,
            ),
        )

    @staticmethod
    def _uid(chance: random.Random) -> str:
        return str(uuid.UUID(int=chance.getrandbits(128), version=4))

    def _common_time(self, loop_time: float) -> float:
        return self.clock.now() - (asyncio.get_running_loop().time() - loop_time) * 1000.0

    # ---- Life -----------------------------------------------------------------------------------------

    @property
    def url(self) -> str:
        return f"http://{self.config.placer.listen.rpartition(':')[0]}:{self.http.port}"

    @property
    def grpc_target(self) -> str:
        """HOST:PORT of the gRPC API; empty where it is not served."""
        if self.grpc is None or self.config.placer.grpc is None:
            return ""
        return f"{self.config.placer.grpc.rpartition(':')[0]}:{self.grpc.port}"

    async def start(self) -> None:
        """Listens and reaches out to the machines; jobs are taken once these have told what they hold."""
        host, _, port = self.config.placer.listen.rpartition(":")
        await self.http.start(host, int(port))
        if self.grpc is not None:
            await self.grpc.start(self.config.placer.grpc or "")
        self.controller.apply_inventory(self.clock.now(), self._inventory)
        self.changed()
        self._spawn(self._open_for_jobs())
        self._spawn(self._look_after())
        log.info("placer started", url=self.url, machines=len(self._inventory.hosts))

    def _spawn(self, coroutine: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)  # type: ignore[arg-type]
        self._jobs[task] = None
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._jobs.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            log.error("a background job failed", exc_info=task.exception())

    async def _open_for_jobs(self) -> None:
        """Until machines have told what they hold, a job that is asked for anew might run already."""
        entries = self.controller.registry.entries
        await self._until(lambda: all(entry.reconciled for entry in entries.values()), START_WAIT_S)
        self.operations.starting = False
        if not self._stopping:
            self.operations.closed = ""
            if self.grpc is not None:
                await self.grpc.set_ready(True)
            heard = sum(entry.reconciled for entry in entries.values())
            log.info("placer ready", machines_heard=heard, machines=len(self.controller.registry.entries))

    async def stop(self) -> None:
        """Takes no more jobs, answers all it has taken, then ends watches and closes."""
        if self._stopping:
            return
        self._stopping = True
        self.operations.closed = STOPPING
        if self.grpc is not None:
            await self.grpc.set_ready(False)
        longest = max(cls.deadline_ms for cls in self.controller.cluster.settings.classes)
        log.info("placer stops", open_tasks=self.controller.open_tasks)
        longest_s = max(longest, self.controller.longest_remaining_ms(self.clock.now())) / 1000.0
        await self._until(lambda: not self.controller.open_tasks, longest_s + STOP_SLACK_S)
        self.controller.flush(self.clock.now())
        self.front.end_watches()
        if self.grpc is not None:
            self.grpc.end_streams()
            await self.grpc.close()
        await self.http.close()
        await self.close()
        log.info("placer stopped", open_tasks=self.controller.open_tasks)
        self._stopped.set()

    async def _until(self, condition: Callable[[], bool], within_s: float) -> None:
        """Waits for a condition that only work on the controller can bring about, at most so long."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                while not condition():
                    self._worked.clear()
                    await self._worked.wait()

    async def close(self) -> None:
        """Closes everything at once."""
        self._closed = True
        self.http.abort()
        if self.grpc is not None:
            await self.grpc.close(0.0)
        if self._armed is not None:
            self._armed.cancel()
        for task in list(self._jobs):
            if task is not asyncio.current_task():
                task.cancel()
        await asyncio.gather(*(link.close() for link in self.links.values()))
        if self._tracer is not None:
            self._tracer.close()

    async def run(self, on_start: Callable[[PlacerService], None] = lambda service: None) -> None:
        """Serves until SIGTERM or SIGINT; a second one ends at once."""
        loop = asyncio.get_running_loop()
        ends: list[asyncio.Task[None]] = []

        def signalled() -> None:
            if ends:
                self._stopped.set()
            else:
                ends.append(loop.create_task(self.stop()))

        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, signalled)
        await self.start()
        collector = Collector(
            self.controller.cluster.settings.timer_resolution_ms, lambda: not self.controller.open_tasks
        )
        collector.start()
        self._spawn(self._collect(collector))
        on_start(self)
        await self._stopped.wait()
        collector.stop()

    async def _read_log(self, host: str, task: str, attempt: int, most: int) -> bytes:
        link = self.links.get(host)
        if link is None:
            raise ApiError(404, f"machine {host} is gone, and the output of its tasks with it")
        try:
            status, body = await link.read_log(task, attempt, most)
        except (HttpError, TimeoutError) as error:
            why = str(error) or "no answer in time"
            raise ApiError(503, f"machine {host} does not tell: {why}", retry_after_s=1) from None
        if status != 200:
            raise ApiError(404, f"machine {host} keeps no output of attempt {attempt} of task {task}")
        return body

    def health(self) -> Health:
        return Health(ready=self.operations.closed)

    # ---- Work -----------------------------------------------------------------------------------------

    def changed(self) -> None:
        """To be called after anything was told to the controller: its work is done in this turn's end."""
        if not self._work_due:
            self._work_due = True
            asyncio.get_running_loop().call_soon(self._work)

    def _work(self) -> None:
        self._work_due = False
        self._worked.set()
        controller = self.controller
        controller.publish_due(self.clock.now())
        for intent in controller.take_intents():
            match intent:
                case SendOffer(host):
                    self._link(host).offer(intent)
                case AbandonOffer(host):
                    self._link(host).abandon(intent)
                case SendStop(host):
                    self._link(host).stop(intent)
                case SendHealthCheck(host):
                    self._link(host).probe(intent)
                case LogLine(level, event, fields):
                    getattr(log, level)(event, **fields)
        if len(self.links) != len(controller.registry.entries):
            self._sync_links()
        self._arm()

    def _link(self, host: str) -> MachineLink:
        if host not in self.links:
            self._sync_links()
        return self.links[host]

    def _sync_links(self) -> None:
        """One link for each machine of the directory; a machine that holds nothing and is out has none."""
        entries = self.controller.registry.entries
        for name, entry in entries.items():
            link = self.links.get(name)
            if link is not None and (
                link.address != entry.host.address or (entry.removed and not entry.task_count)
            ):
                self._drop_link(name)
                link = None
            if link is None and not (entry.removed and not entry.task_count):
                self.links[name] = make_link(
                    name, entry.host.address, self.controller, self.clock.now, self.changed, self._chance
                )
        for name in [name for name in self.links if name not in entries]:
            self._drop_link(name)

    def _drop_link(self, name: str) -> None:
        self._spawn(self.links.pop(name).close())
        self.controller.on_link_down(self.clock.now(), name)

    def _arm(self) -> None:
        """Sets the timer for the controller's next; one that is armed for an earlier time is left."""
        at = self.controller.next_timer()
        if at >= self._armed_at:
            return
        if self._armed is not None:
            self._armed.cancel()
        loop = asyncio.get_running_loop()
        self._armed_at = at
        delay = (at - self.clock.now()) / 1000.0
        self._armed = loop.call_later(delay, self._tick) if delay > 0 else loop.call_soon(self._tick)  # type: ignore[assignment]

    def _tick(self) -> None:
        now = self.clock.now()
        if self._armed_at > -math.inf:
            late_ms = now - self._armed_at
            self._latest_ms = max(self._latest_ms, late_ms)
            self.controller.degradation.process_load.record_timer_lag(late_ms)
            if late_ms > STOOD_STILL_MS and not self._hearing:
                self._hearing = True
                self._hear_first(HEARING_TURNS, now + HEARING_MOST_MS)
        self._armed, self._armed_at = None, math.inf
        if not self._hearing:
            self._advance()

    def _hear_first(self, turns: int, until: float) -> None:
        """The process stood still: what lies in its sockets came before much of what is due now.

        Without this an offer whose answer has come is timed out, and its task goes out once more.
        """
        if self._closed:
            return
        if turns and self.clock.now() < until:
            asyncio.get_running_loop().call_soon(self._hear_first, turns - 1, until)
            return
        self._hearing = False
        self._advance()

    def _advance(self) -> None:
        self.controller.advance(self.clock.now())
        self._work()  # at once: what is due now may be an answer

    async def _look_after(self) -> None:
        """Timers that are late, machines that were taken out, and the inventory file."""
        loop = asyncio.get_running_loop()
        path = Path(self.config.placer.inventory)
        stamp = _stamp(path)
        look_at = loop.time() + INVENTORY_LOOK_S
        while True:
            await asyncio.sleep(LAG_LOOK_S)
            self.lag_ms, self._latest_ms = self._latest_ms, 0.0
            if self.config.levels.memory is not None and self._process is not None:
                used = self._process.memory_info().rss
                self.controller.degradation.process_load.memory_share = used / self.config.levels.memory
            if self.lag_ms > self.controller.cluster.settings.timer_resolution_ms:
                log.warning("timers are late", lag_ms=round(self.lag_ms))
            self._sync_links()
            if loop.time() >= look_at:
                look_at = loop.time() + INVENTORY_LOOK_S
                if (now := _stamp(path)) != stamp:
                    stamp = now
                    await self.reload_inventory()

    @staticmethod
    async def _collect(collector: Collector) -> None:
        while True:
            await asyncio.sleep(FREEZE_S)
            collector.look()

    async def reload_inventory(self) -> None:
        """Reads the inventory anew; a faulty file is told of and changes nothing."""
        try:
            inventory = await asyncio.to_thread(load_inventory, self.config)
        except InventoryError as error:
            for problem in error.problems:
                log.error("inventory not taken", problem=str(problem))
            return
        self.controller.apply_inventory(self.clock.now(), inventory)
        self.changed()
        log.info("inventory taken", machines=len(inventory.hosts))


def load_inventory(config: Config) -> Inventory:
    """The inventory that the settings name; InventoryError where it cannot be used."""
    kinds = {name: KindSize(kind.cores, kind.memory) for name, kind in config.kinds.items()}
    inventory, warnings = read_inventory(Path(config.placer.inventory), kinds, config.cluster.rooms or ())
    for warning in warnings:
        log.warning("inventory", problem=str(warning))
    return inventory


def _stamp(path: Path) -> tuple[int, int, int]:
    with contextlib.suppress(OSError):
        stat = path.stat()
        return stat.st_mtime_ns, stat.st_size, stat.st_ino
    return 0, 0, 0
