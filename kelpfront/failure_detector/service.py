"""The service of a failure detector: runs the core with asyncio tasks and a datagram socket.

The service follows the coordinator's endpoint list, starts the health checks that the core requests, sends
digests and writes the log. Connections to machines are in `connections`.
"""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

import structlog

from kelpfront.clock import CommonClock
from kelpfront.failure_detection.detector import (
    CHECK_TICK_MS,
    DIGEST_INTERVAL_MS,
    FailureDetector,
    ListedMachine,
)
from kelpfront.failure_detection.digest import DigestError, Hello, unpack
from kelpfront.failure_detector.config import FailureDetectorConfig
from kelpfront.failure_detector.connections import MachineConnections
from kelpfront.platform.config import Address
from kelpfront.platform.discovery_client import DiscoveryClient
from kelpfront.platform.endpoint_events import parse_events
from kelpfront.platform.endpoint_table import EndpointTable
from kelpfront.platform.timeouts import POLL_CONNECT_MS

log = structlog.get_logger("kelpfront.failure_detector")

COUNTERS_INTERVAL_S = 5.0  # between two log lines with counters


class FailureDetectorService(asyncio.DatagramProtocol):
    """One failure detector. `incarnation` must be different for each start."""

    def __init__(self, config: FailureDetectorConfig, incarnation: int) -> None:
        self._config = config
        self._clock = CommonClock()
        self.detector = FailureDetector(incarnation, config.check_interval_ms)
        self._endpoint_table = EndpointTable()
        connect_timeout_ms = config.platform.settings.connect_timeout_ms or POLL_CONNECT_MS
        self._connections = MachineConnections(self.detector, self._clock.now, connect_timeout_ms / 1000.0)
        self._discovery_client = DiscoveryClient(
            config.platform.coordinator,
            lambda: self._endpoint_table.poll_index,
            self._apply_endpoint_list,
            random.Random(incarnation),
            connect_timeout_ms,
        )
        self._transport: asyncio.DatagramTransport | None = None

    async def run(self) -> None:
        """Run until SIGTERM. Raises OSError if the port cannot be bound."""
        loop = asyncio.get_running_loop()
        stopping = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        self._apply_endpoint_list(self._config.platform.known)
        async with self._sockets(self._config.listen):
            log.info(
                "failure detector started",
                machines=len(self.detector.machines),
                port=self._config.listen.port,
            )
            await self._run_tasks(stopping)
        log.info("failure detector stopped", **self.detector.counters.fields())

    @asynccontextmanager
    async def _sockets(self, listen: Address) -> AsyncIterator[None]:
        """Open the datagram socket and connect to the coordinator; close all connections at the end."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, listen.port)
        )
        self._discovery_client.start()
        try:
            yield
        finally:
            self._discovery_client.stop()
            self._transport.close()
            await self._connections.close()

    async def _run_tasks(self, stopping: asyncio.Event) -> None:
        """Run the service's tasks until `stopping` is set. An error in any of them stops the service."""
        loop = asyncio.get_running_loop()
        coroutines = (self._check_machines(), self._send_digests(), self._log_counters())
        tasks = [loop.create_task(coroutine) for coroutine in coroutines]
        stopped = loop.create_task(_wait_for(stopping))
        try:
            await asyncio.wait([*tasks, stopped], return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                if task.done():  # a task ends only with an error, which `result` raises
                    task.result()
        finally:
            await _cancel_all([*tasks, stopped])

    # ---- The endpoint list ----------------------------------------------------------------------------

    def _apply_endpoint_list(self, raw: Any) -> None:
        """Apply an answer of the coordinator. Raises InvalidEventError if it is malformed."""
        generation = self._endpoint_table.generation
        index, events = parse_events(raw, self._config.platform)
        for change in self._endpoint_table.apply(index, events):
            for machine in change.removed:
                self._endpoint_table.machines.pop(machine.id, None)
        if self._endpoint_table.generation != generation:
            self._monitor_machines()

    def _monitor_machines(self) -> None:
        machines = self._endpoint_table.machines
        zones = {
            zone: [ListedMachine(machine_id, machines[machine_id].name) for machine_id in members]
            for zone, members in self._endpoint_table.machines_by_zone().items()
            if zone in self._config.zones
        }
        for removed in self.detector.apply_endpoint_list(self._clock.now(), zones):
            self._connections.remove(removed)

    # ---- Health checks, digests and the log -----------------------------------------------------------

    async def _check_machines(self) -> None:
        while True:
            for check in self.detector.checks_due(self._clock.now()):
                self._connections.check(check, self._endpoint_table.machines[check.machine].address)
            await asyncio.sleep(CHECK_TICK_MS / 1000.0)

    async def _send_digests(self) -> None:
        while True:
            await asyncio.sleep(DIGEST_INTERVAL_MS / 1000.0)
            assert self._transport is not None
            for digest in self.detector.build_digests(self._clock.now()):
                self._transport.sendto(digest.data, digest.address)
            for event in self.detector.log_events:
                log.info(event.event, **event.fields())
            self.detector.log_events.clear()

    async def _log_counters(self) -> None:
        while True:
            await asyncio.sleep(COUNTERS_INTERVAL_S)
            log.info(
                "figures",
                subscribers=self.detector.subscriber_count,
                connections=len(self._connections),
                **self.detector.counters.fields(),
            )

    # ---- Placers' datagrams ---------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Subscribe the placer if the datagram is a hello."""
        try:
            hello = unpack(data)
        except DigestError:
            self.detector.counters.invalid_datagrams += 1
            return
        if isinstance(hello, Hello):
            self.detector.receive_hello(self._clock.now(), addr, hello)

    def error_received(self, exc: Exception) -> None:
        """Ignore that a placer no longer listens: its subscription expires after some seconds."""


async def _wait_for(event: asyncio.Event) -> None:
    await event.wait()


async def _cancel_all(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
