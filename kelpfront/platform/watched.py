"""A placer's port for watchers' digests. Loaded only where the configuration names watchers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from typing import Any

import structlog

from kelpfront.failure_detection.digest import pack_hello
from kelpfront.failure_detection.path_checks import PATH_CHECK_INTERVAL_MS
from kelpfront.failure_detection.view import HELLO_INTERVAL_MS, LivenessView
from kelpfront.platform.config import Address
from kelpfront.platform.core import Core
from kelpfront.scheduling.events import LivenessObserved, MachineId

log = structlog.get_logger("kelpfront.platform.watched")


class WatchPort(asyncio.DatagramProtocol):
    """Between the watchers' datagrams and the core. `nonce` must not come again in another life."""

    def __init__(
        self,
        host: str,
        watchers: tuple[Address, ...],
        core: Core,
        now: Callable[[], float],
        flush: Callable[[], None],
        nonce: int,
    ) -> None:
        self._host, self._core, self._now, self._flush = host, core, now, flush
        self._addresses = [(address.host, address.port) for address in watchers]
        self._places = {address: place for place, address in enumerate(self._addresses)}
        self.news = LivenessView(nonce, len(watchers))
        self._generation = -1
        self._transport: asyncio.DatagramTransport | None = None
        self._jobs: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """OSError where no port can be had."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self._host, 0))
        self._core.probes.heard = self._probed
        self._jobs = [loop.create_task(job) for job in (self._hellos(), self._spots())]

    def close(self) -> None:
        self._core.probes.heard = None
        for job in self._jobs:
            job.cancel()
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        place = self._places.get((addr[0], addr[1]))
        if place is not None:
            self._list()
            now = self._now()
            self._take(now, self.news.receive(now, place, data))
            self._flush()

    def error_received(self, exc: Exception) -> None:
        pass  # nobody listens there: no digests come, and that is what counts

    def _probed(self, now: float, ident: MachineId, silent: bool) -> None:
        self.news.record_health_check(now, ident, missed=silent)

    def _take(self, now: float, seen: Iterable[LivenessObserved]) -> None:
        for one in seen:
            self._core.probes.others_saw(now, one)
        for event in self.news.log_events:
            log.info(event.event, **event.fields())
        self.news.log_events.clear()

    def _list(self) -> None:
        if self._generation != self._core.fleet.generation:
            self._generation = self._core.fleet.generation
            self.news.apply_endpoint_list(self._core.fleet.zones())

    async def _hellos(self) -> None:
        while True:
            hello = pack_hello(self.news.hello(self._now()))
            for address in self._addresses:
                assert self._transport is not None
                with contextlib.suppress(OSError):
                    self._transport.sendto(hello, address)
            await asyncio.sleep(HELLO_INTERVAL_MS / 1000.0)

    async def _spots(self) -> None:
        while True:
            await asyncio.sleep(PATH_CHECK_INTERVAL_MS / 1000.0)
            self._list()
            now = self._now()
            self._take(now, self.news.checks_due(now, self._core.holds))
            self._flush()
