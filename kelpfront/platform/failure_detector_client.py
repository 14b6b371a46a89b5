"""UDP endpoint for failure detectors' digests. Imported only if the configuration names failure detectors.

`kelpfront.failure_detection.view` decides which reports are accepted, and the scheduler what follows from
them.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable
from typing import Any

import structlog

from kelpfront.failure_detection.digest import pack_hello
from kelpfront.failure_detection.path_checks import PATH_CHECK_INTERVAL_MS
from kelpfront.failure_detection.view import HELLO_INTERVAL_MS, LivenessView
from kelpfront.platform.background_tasks import BackgroundTasks
from kelpfront.platform.config import Address
from kelpfront.platform.core_access import CoreAccess
from kelpfront.scheduling.events import HealthCheckCompleted, LivenessObserved, MachineId

log = structlog.get_logger("kelpfront.platform.failure_detector_client")


class FailureDetectorClient(asyncio.DatagramProtocol):
    """Receives the detectors' datagrams and passes their reports to the core.

    Attributes:
        view: the state of the machines as the detectors report it, and counters of their digests.
    """

    def __init__(
        self,
        host: str,
        detectors: tuple[Address, ...],
        access: CoreAccess,
        *,
        nonce: int,
    ) -> None:
        """Create a client; it receives after `start`.

        Args:
            host: the address to listen at; the system chooses the port.
            detectors: the failure detectors; datagrams from other addresses are ignored.
            access: gives access to the core, which receives the reports.
            nonce: identifies this incarnation; must not be reused by another one.
        """
        self.view = LivenessView(nonce, len(detectors))
        self._host = host
        self._core = access.core
        self._now = access.now
        self._flush = access.flush
        self._addresses = [(address.host, address.port) for address in detectors]
        self._index_by_address = {address: index for index, address in enumerate(self._addresses)}
        self._generation = -1  # of the endpoint table that was last applied to the view
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks = BackgroundTasks()

    async def start(self) -> None:
        """Start listening, and send hello messages to the detectors.

        Raises:
            OSError: no port is available.
        """
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self._host, 0))
        self._core.health_checks.observer = self._record_health_check
        self._tasks.start(self._send_hellos())
        self._tasks.start(self._check_periodically())

    async def close(self) -> None:
        """Stop, and wait until all background tasks have ended."""
        self._core.health_checks.observer = None
        self._tasks.cancel()
        if self._transport is not None:
            self._transport.close()
        await self._tasks.wait()

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Handle a datagram; ignore it if the sender is not a detector."""
        index = self._index_by_address.get((addr[0], addr[1]))
        if index is None:
            return
        self._update_machines()
        now = self._now()
        self._report(now, self.view.receive(now, index, data))
        self._flush()

    def error_received(self, exc: Exception) -> None:
        """Ignore the error: a detector that does not listen is recognized by its missing digests."""

    def _report(self, now: float, observed: Iterable[LivenessObserved]) -> None:
        for event in observed:
            self._core.health_checks.on_liveness_observed(now, event)
        for record in self.view.log_events:
            log.info(record.event, **record.fields())
        self.view.log_events.clear()

    def _update_machines(self) -> None:
        endpoints = self._core.endpoints
        if self._generation != endpoints.generation:
            self._generation = endpoints.generation
            self.view.apply_endpoint_list(endpoints.machines_by_zone())

    async def _send_hellos(self) -> None:
        while True:
            hello = pack_hello(self.view.hello(self._now()))
            for address in self._addresses:
                assert self._transport is not None
                with contextlib.suppress(OSError):
                    self._transport.sendto(hello, address)
            await asyncio.sleep(HELLO_INTERVAL_MS / 1000.0)

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(PATH_CHECK_INTERVAL_MS / 1000.0)
            self._update_machines()
            now = self._now()
            self._report(now, self.view.checks_due(now, self._has_running_tasks))
            self._flush()

    def _record_health_check(self, now: float, completed: HealthCheckCompleted) -> None:
        self.view.record_health_check(now, completed.machine, missed=completed.no_response)

    def _has_running_tasks(self, machine: MachineId) -> bool:
        return self._core.has_running_tasks(machine)
