"""A watcher's sockets: the coordinator's list, a connection to each machine, datagrams to placers."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Callable
from typing import Any

import structlog

from kelpfront.clock import CommonClock
from kelpfront.failure_detection.detector import TELL_MS, TURN_MS, FailureDetector
from kelpfront.failure_detection.digest import DigestError, Hello, unpack
from kelpfront.failure_detector.config import FailureDetectorConfig
from kelpfront.platform import messages
from kelpfront.platform.config import Address
from kelpfront.platform.discovery_client import DiscoveryClient
from kelpfront.platform.endpoint_events import parse_events
from kelpfront.platform.endpoint_table import EndpointTable
from kelpfront.platform.messages import InvalidMessageError, LineSplitter
from kelpfront.platform.timeouts import POLL_CONNECT_MS
from kelpfront.scheduling.events import MachineId

log = structlog.get_logger("kelpfront.failure_detector")

FIGURES_S = 5.0  # between two lines of counters in the log


class Link(asyncio.Protocol):
    """The connection to one machine, made when a test is due and there is none."""

    def __init__(
        self,
        ident: MachineId,
        address: Address,
        watcher: FailureDetector,
        now: Callable[[], float],
        connect_s: float,
    ) -> None:
        self._ident, self.address, self._watcher, self._now = ident, address, watcher, now
        self._connect_s = connect_s
        self._transport: asyncio.Transport | None = None
        self._lines = LineSplitter()
        self._dialling: asyncio.Task[None] | None = None

    def test(self, anew: bool) -> None:
        if anew:
            self._abort()
        if self._transport is None:
            if self._dialling is None:
                self._dialling = asyncio.get_running_loop().create_task(self._dial())
        elif self._transport.get_write_buffer_size():  # the machine's end takes nothing
            self._watcher.unsent(self._ident)
        else:
            self._write()

    def _write(self) -> None:
        call = self._watcher.sent(self._now(), self._ident)
        if call is not None and self._transport is not None:
            self._transport.write(messages.encode("test", call, {}, 0))

    async def _dial(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._connect_s):
                await loop.create_connection(lambda: self, self.address.host, self.address.port)
            self._write()
        except (OSError, TimeoutError):
            self._watcher.unsent(self._ident)
        finally:
            self._dialling = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport, self._lines = transport, LineSplitter()
        self._watcher.connected(self._now(), self._ident)

    def data_received(self, data: bytes) -> None:
        try:
            for line in self._lines.feed(data):
                message = messages.decode(line)
                if message.op == "tested":
                    self._watcher.answered(self._ident, message.call)
        except InvalidMessageError:
            self._abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
            self._transport = None

    def close(self) -> None:
        if self._dialling is not None:
            self._dialling.cancel()
        self._abort()


async def _wait(ending: asyncio.Event) -> None:
    await ending.wait()


class FailureDetectorService(asyncio.DatagramProtocol):
    """One watcher. `epoch` must not come again in another life. `run` returns when it is told to end."""

    def __init__(self, config: FailureDetectorConfig, epoch: int) -> None:
        self._config = config
        self._clock = CommonClock()
        self.watcher = FailureDetector(epoch, config.test_ms)
        self._fleet = EndpointTable()
        self._links: dict[MachineId, Link] = {}
        platform = config.platform
        self._connect_s = (platform.settings.connect_timeout_ms or POLL_CONNECT_MS) / 1000.0
        self._follower = DiscoveryClient(
            platform.coordinator,
            lambda: self._fleet.poll_index,
            self._take,
            random.Random(epoch),
            platform.settings.connect_timeout_ms or POLL_CONNECT_MS,
        )
        self._transport: asyncio.DatagramTransport | None = None

    async def run(self) -> None:
        """OSError where the port cannot be had."""
        loop = asyncio.get_running_loop()
        ending = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, ending.set)
        self._take(self._config.platform.known)
        listen = self._config.listen
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, listen.port)
        )
        self._follower.start()
        jobs = [loop.create_task(job) for job in (self._tests(), self._tells(), self._figures())]
        ended = loop.create_task(_wait(ending))
        log.info("watching", machines=len(self.watcher.machines), port=listen.port)
        try:
            await asyncio.wait([*jobs, ended], return_when=asyncio.FIRST_COMPLETED)
            for job in jobs:  # none ends by itself
                if job.done():
                    job.result()
        finally:
            for job in (*jobs, ended):
                job.cancel()
            self._follower.stop()
            for link in self._links.values():
                link.close()
            self._transport.close()
        log.info("ended", **self.watcher.counts)

    # ---- The list -------------------------------------------------------------------------------------

    def _take(self, raw: Any) -> None:
        generation = self._fleet.generation
        index, events = parse_events(raw, self._config.platform)
        for change in self._fleet.apply(index, events):
            for machine in change.removed:
                self._fleet.machines.pop(machine.id, None)
        if self._fleet.generation != generation:
            machines = self._fleet.machines
            zones = {
                zone: [(ident, machines[ident].name) for ident in members]
                for zone, members in self._fleet.machines_by_zone().items()
                if zone in self._config.zones
            }
            for ident in self.watcher.listed(self._clock.now(), zones):
                link = self._links.pop(ident, None)
                if link is not None:
                    link.close()

    # ---- Tests and digests ----------------------------------------------------------------------------

    async def _tests(self) -> None:
        while True:
            for ident, anew in self.watcher.due(self._clock.now()):
                address = self._fleet.machines[ident].address
                link = self._links.get(ident)
                if link is None or link.address != address:
                    if link is not None:
                        link.close()
                    link = Link(ident, address, self.watcher, self._clock.now, self._connect_s)
                    self._links[ident] = link
                link.test(anew)
            await asyncio.sleep(TURN_MS / 1000.0)

    async def _tells(self) -> None:
        while True:
            await asyncio.sleep(TELL_MS / 1000.0)
            assert self._transport is not None
            for source, data in self.watcher.tell(self._clock.now()):
                self._transport.sendto(data, source)
            for text in self.watcher.logs:
                log.info("liveness", text=text)
            self.watcher.logs.clear()

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        try:
            hello = unpack(data)
        except DigestError:
            self.watcher.counts["bad datagrams"] += 1
            return
        if isinstance(hello, Hello):
            self.watcher.heard(self._clock.now(), addr, hello)

    def error_received(self, exc: Exception) -> None:
        pass  # a placer that has gone: it says no hello, and is told for some seconds more

    async def _figures(self) -> None:
        while True:
            await asyncio.sleep(FIGURES_S)
            counts = self.watcher.counts
            log.info("figures", subscribers=self.watcher.subscribers, connections=len(self._links), **counts)
