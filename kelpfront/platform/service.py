"""Runs a placer on one event loop: core, clients, machines, endpoint list, signals and shutdown.

`core_runner` connects the core to the sockets.
"""

from __future__ import annotations

import asyncio
import errno
import gc
import os
import random
import signal
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import structlog

from kelpfront.clock import CommonClock
from kelpfront.platform import client_connections, connection_pool, process_figures
from kelpfront.platform.background_tasks import BackgroundTasks
from kelpfront.platform.client_connections import ClientServer, ServerContext
from kelpfront.platform.config import Config, ConfigError, read_config
from kelpfront.platform.connection_pool import PoolContext
from kelpfront.platform.core import PlacerCore
from kelpfront.platform.core_access import CoreAccess
from kelpfront.platform.core_runner import CoreRunner
from kelpfront.platform.descriptor_budget import DescriptorBudget
from kelpfront.platform.descriptor_shares import DescriptorShares
from kelpfront.platform.discovery_client import DiscoveryClient
from kelpfront.platform.endpoint_events import InvalidEventError, parse_events
from kelpfront.platform.intents import ClientPresence, ConnectionId
from kelpfront.platform.machine_pools import MachinePools
from kelpfront.platform.poll_pacing import first_answer_wait_ms
from kelpfront.platform.read_timing import TimedSelector
from kelpfront.platform.timeouts import (
    POLL_CONNECT_MS,
    REBIND_INTERVAL_MS,
    REBIND_TIMEOUT_MS,
    ShutdownSchedule,
)
from kelpfront.scheduling.scheduler import Scheduler

if TYPE_CHECKING:
    from kelpfront.platform.failure_detector_client import FailureDetectorClient

log = structlog.get_logger("kelpfront.platform")

FIGURES_INTERVAL_S = 5.0
"""Interval between log lines with counters."""

ANSWERED_CHECK_INTERVAL_S = 0.02
"""Interval, during shutdown, between checks whether all requests are answered."""

MAX_LOOP_DELAY_S = 0.2
"""A delay of the event loop that exceeds this is logged."""

# XORed with the configuration's seed, so that polling and scheduling use different random sequences.
_DISCOVERY_SEED = 1


class Service:
    """One placer.

    Attributes:
        core: state and decisions of this placer.
        clock: the time in Unix milliseconds.
        clients: the server for clients.
        machines: the connections to machines.
        budget: the file descriptors of the connections to machines.
        discovery: polls the endpoint list.
        port: the port at which clients are accepted; 0 before that.
    """

    def __init__(
        self, path: Path, config: Config, selector: TimedSelector | None = None, began_at: float = 0.0
    ) -> None:
        """Create a placer; it serves while `run` is executed.

        Args:
            path: the configuration file, which is read again at SIGHUP.
            config: the configuration that was read from `path`.
            selector: tracks since when received data may have been unread.
            began_at: start time of the process, in seconds of the monotonic clock; 0 if unknown.
        """
        self._path = path
        self._config = config
        self._began_at = began_at or time.monotonic()
        self.clock = CommonClock()
        self.core = PlacerCore(config, Scheduler(config.settings, config.seed), self._presence)
        self._runner = CoreRunner(self.core, self.clock.now)
        self._access = CoreAccess(self.core, self.clock.now, self._runner.flush)
        self._shares = DescriptorShares.of(
            process_figures.allowed_descriptors(config.sockets), process_figures.open_descriptors()
        )
        self.budget = DescriptorBudget(self._shares.machines, self._may_exceed_machines_share)
        self.clients = ClientServer(self._server_context(selector))
        self.machines = MachinePools(self._pool_context())
        self._runner.send_to_client = self.clients.send
        self._runner.send_to_machine = self.machines.carry_out
        self.discovery = DiscoveryClient(
            config.coordinator,
            lambda: self.core.endpoints.poll_index,
            self._on_discovery_answer,
            random.Random(config.seed ^ _DISCOVERY_SEED),
            config.settings.connect_timeout_ms or POLL_CONNECT_MS,
        )
        self._failure_detectors = self._failure_detector_client()
        self._shutdown = asyncio.Event()
        self._tasks = BackgroundTasks()
        self.port = 0

    def _server_context(self, selector: TimedSelector | None) -> ServerContext:
        return ServerContext(
            access=self._access,
            max_connections=lambda: self._shares.max_clients_with(self.budget.in_use),
            selector=selector,
            burst=self._shares.burst,
        )

    def _pool_context(self) -> PoolContext:
        return PoolContext(
            access=self._access,
            budget=self.budget,
            tasks=BackgroundTasks(),
            connect_timeout_s=self._config.settings.connect_timeout_ms / 1000.0,
            machine_idle_s=self._config.idle_ms / 1000.0,
        )

    def _failure_detector_client(self) -> FailureDetectorClient | None:
        """Return None if the configuration names no failure detectors, as is the case on the platform.

        The modules for failure detection are not imported then.
        """
        config = self._config
        if not config.watchers:
            return None
        from kelpfront.platform.failure_detector_client import FailureDetectorClient

        return FailureDetectorClient(
            config.listen.host,
            config.watchers,
            self._access,
            nonce=int.from_bytes(os.urandom(8)),
        )

    def _presence(self, connection: ConnectionId, request_id: str) -> ClientPresence:
        return self.clients.presence(connection, request_id)

    def _may_exceed_machines_share(self) -> bool:
        """Return whether a descriptor is available for another machine connection; may evict idle clients."""
        shares = self._shares
        in_use = self.budget.in_use
        if in_use < shares.max_machines:
            self.clients.shrink(shares.total - in_use - 1)
        return shares.machine_may_open(in_use, len(self.clients))

    # ---- Start and shutdown ---------------------------------------------------------------------------

    async def run(self) -> None:
        """Serve until shutdown is requested and all accepted requests are answered.

        Raises:
            OSError: the listening address is not available.
        """
        try:
            has_served = await self._serve()
        finally:
            await self.close()
        if has_served:
            log.info("ended", **self._counters())
        else:
            log.info("ended before it served")

    async def _serve(self) -> bool:
        """Serve until shutdown is requested; return whether clients were accepted before that."""
        await self._start()
        starting = self._tasks.start(self._accept_clients())
        ending = self._tasks.start(self._wait_for_shutdown())
        await asyncio.wait([starting, ending], return_when=asyncio.FIRST_COMPLETED)
        if not starting.done():
            return False
        starting.result()
        self._tasks.start(self._sweep())
        self._tasks.start(self._log_figures())
        machines = len(self.core.endpoints.machines)
        log.info("serving", name=self._config.name, port=self.port, machines=machines)
        gc.collect()
        gc.freeze()
        await ending
        await self._drain()
        return True

    async def _start(self) -> None:
        """Install signal handlers, apply the configuration's events, and start polling the endpoint list."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.add_signal_handler(signal.SIGTERM, self._shutdown.set)
        self._apply_endpoint_answer(self._config.known)
        self.discovery.start()
        if self._failure_detectors is not None:
            await self._failure_detectors.start()
        if self._has_file_changed():  # SIGHUP may have arrived before its handler was installed
            self._reload()

    async def _wait_for_shutdown(self) -> None:
        await self._shutdown.wait()

    async def _accept_clients(self) -> None:
        """Accept clients once the endpoint list was received, or the wait for it has timed out."""
        wait_ms = first_answer_wait_ms((time.monotonic() - self._began_at) * 1000.0)
        if not await self.discovery.wait_for_first_answer(wait_ms):
            log.warning("no answer of the coordinator at start", waited_ms=round(wait_ms))
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + REBIND_TIMEOUT_MS / 1000.0
        while True:
            try:
                self.port = await self.clients.start(self._config.listen)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or loop.time() >= give_up_at:
                    raise
            else:
                self.core.freshness.on_serving(self.clock.now())
                self._runner.flush()
                return
            await asyncio.sleep(REBIND_INTERVAL_MS / 1000.0)

    async def _drain(self) -> None:
        requests = self.core.requests
        log.info("told to end", unanswered=requests.unanswered_count, requests=len(requests))
        longest_ms = max(task_class.deadline_ms for task_class in self._config.settings.classes)
        schedule = ShutdownSchedule(self.clock.now(), longest_ms)
        while not schedule.may_exit(self.clock.now(), requests.unanswered_count, len(requests)):
            is_closing = schedule.rejects_requests(self.clock.now())
            self.core.client_messages.is_closing = is_closing
            await asyncio.sleep(ANSWERED_CHECK_INTERVAL_S)

    async def close(self) -> None:
        """Abort all connections, and wait until everything that this placer started has ended."""
        self.discovery.stop()
        self._tasks.cancel()
        await self._tasks.wait()
        if self._failure_detectors is not None:
            await self._failure_detectors.close()
        self._runner.stop()
        await self.clients.close()
        await self.machines.close()
        await self.discovery.close()

    # ---- The endpoint list and the configuration ------------------------------------------------------

    def _on_discovery_answer(self, raw: Any) -> None:
        """Handle an answer of the coordinator, with or without events."""
        self._apply_endpoint_answer(raw)
        self.core.freshness.on_answer(self.clock.now())
        self._runner.flush()

    def _apply_endpoint_answer(self, raw: Any) -> None:
        index, events = parse_events(raw, self._config)
        self.core.apply_endpoint_events(self.clock.now(), index, events)
        self._runner.flush()

    def _reload(self) -> None:
        """Read the configuration file again; apply its newer events and the coordinator's address."""
        try:
            config = read_config(self._path)
            index, events = parse_events(config.known, config)
        except (ConfigError, InvalidEventError) as error:
            # The message names the key and the allowed values; a traceback would add nothing.
            log.error("new configuration rejected", error=str(error))  # noqa: TRY400 - see above
            return
        if index > self.core.endpoints.index:  # otherwise the file is older than what was received since
            self.core.apply_endpoint_events(self.clock.now(), index, events)
            self._runner.flush()
        self.discovery.change_address(config.coordinator)

    def _has_file_changed(self) -> bool:
        """Return whether the file's coordinator or its events differ from those read at the start."""
        try:
            new = read_config(self._path)
        except ConfigError:
            return False
        return (new.coordinator, new.known) != (self._config.coordinator, self._config.known)

    # ---- Periodic tasks -------------------------------------------------------------------------------

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        machines_swept_at = 0.0
        while True:
            began_at = loop.time()
            await asyncio.sleep(client_connections.SWEEP_INTERVAL_S)
            late_s = loop.time() - began_at - client_connections.SWEEP_INTERVAL_S
            if late_s > MAX_LOOP_DELAY_S:
                log.warning("event loop late", late_ms=round(late_s * 1000))
            self.clients.sweep()
            if loop.time() - machines_swept_at > connection_pool.SWEEP_INTERVAL_S:
                machines_swept_at = loop.time()
                self.machines.sweep()

    async def _log_figures(self) -> None:
        while True:
            await asyncio.sleep(FIGURES_INTERVAL_S)
            log.info(
                "figures",
                memory_mb=process_figures.memory_mb(),
                request_bytes=self.core.requests.used_bytes,
                descriptors=process_figures.open_descriptors(),
                **self._counters(),
                **self._liveness_counters(),
            )

    def _counters(self) -> dict[str, int]:
        return self.core.counters.log_fields() | self.core.limits.fields()

    def _liveness_counters(self) -> dict[str, int]:
        return {} if self._failure_detectors is None else self._failure_detectors.view.counters.fields()
