"""A network in memory, as TCP shows itself to a program: connections that are slow, cut, held up or full.

Each party runs in a context that says where it is (`at`); what it opens comes from there. Between two places
a link has latency, jitter and bandwidth, and may be cut one way or both: then bytes are held, as TCP sends
them again, until it heals or an end gives up. All chance is of one seed.
"""

from __future__ import annotations

import asyncio
import contextvars
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from kelpfront.lab.timeline.loop import HERE, VirtualLoop

HIGH_WATER = 65_536
FIRST_PORT = 49_152


@contextmanager
def at(place: str) -> Iterator[None]:
    """What is begun within runs at this place."""
    token = HERE.set(place)
    try:
        yield
    finally:
        HERE.reset(token)


@dataclass(slots=True)
class Link:
    """One way between two places."""

    latency_s: float = 0.000_2
    jitter_s: float = 0.000_1
    bytes_a_second: float = 125e6
    cut: bool = False


class Listener:
    """What `create_server` returns."""

    def __init__(self, network: Network, address: tuple[str, int], factory: Callable[[], Any]) -> None:
        self._network, self.address, self.factory = network, address, factory
        self.sockets = (self,)
        self.context = contextvars.copy_context()

    def getsockname(self) -> tuple[str, int]:
        return self.address

    def close(self) -> None:
        if self._network.listeners.get(self.address) is self:
            del self._network.listeners[self.address]

    def is_serving(self) -> bool:
        return self._network.listeners.get(self.address) is self

    async def wait_closed(self) -> None:
        return


class MemoryTransport(asyncio.Transport):
    """One end of a connection."""

    def __init__(
        self,
        network: Network,
        place: str,
        own: tuple[str, int],
        far: tuple[str, int],
        context: contextvars.Context,
    ) -> None:
        super().__init__({"peername": far, "sockname": own})
        self._network, self.place, self._context = network, place, context
        self._protocol: Any = None
        self._peer: MemoryTransport | None = None
        self._closing = self._lost = self._eof_sent = self.aborted = False
        self._paused = self._pausing_writer = False
        self._inbox: deque[bytes | None] = deque()  # what came while reading was paused; None: the end
        self._under_way = 0  # bytes written that the other end has not taken
        self._last_arrival = 0.0
        self._high, self._low = HIGH_WATER, HIGH_WATER // 4

    # ---- For the protocol -----------------------------------------------------------------------------

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        protocol: asyncio.BaseProtocol = self._protocol
        return protocol

    def is_closing(self) -> bool:
        return self._closing

    def write(self, data: Any) -> None:
        if self._closing or self._eof_sent or not data:
            return
        self._under_way += len(data)
        self._send(bytes(data))
        if self._under_way > self._high and not self._pausing_writer:
            self._pausing_writer = True
            self._protocol.pause_writing()

    def write_eof(self) -> None:
        if not (self._closing or self._eof_sent):
            self._eof_sent = True
            self._send(None)

    def can_write_eof(self) -> bool:
        return True

    def get_write_buffer_size(self) -> int:
        return self._under_way

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high = HIGH_WATER if high is None else high
        self._low = self._high // 4 if low is None else low

    def pause_reading(self) -> None:
        self._paused = True

    def resume_reading(self) -> None:
        self._paused = False
        asyncio.get_running_loop().call_soon(self._take_inbox)

    def is_reading(self) -> bool:
        return not self._paused

    def close(self) -> None:
        """The end after what is written; the other end may go on writing, to nobody."""
        if self._closing:
            return
        self.write_eof()
        self._closing = True
        self._soon(self._lose, None)

    def abort(self) -> None:
        """Breaks the connection at once; the other end hears of it when the network lets it."""
        if self._lost:
            return
        self._closing = True
        peer = self._peer
        if peer is not None:
            self._network.carry(self, 0, lambda: peer._reset(), again=False)
        self.aborted = True
        self._soon(self._lose, None)

    # ---- The way over ---------------------------------------------------------------------------------

    def _soon(self, call: Callable[..., None], *args: Any) -> None:
        asyncio.get_running_loop().call_soon(call, *args, context=self._context)

    def _run(self, call: Callable[..., Any], *args: Any) -> Any:
        """Calls the protocol where its party is; a copy, since a context is not entered twice."""
        return self._context.copy().run(call, *args)

    def _send(self, data: bytes | None) -> None:
        peer = self._peer
        if peer is not None:
            self._network.carry(self, len(data or b""), lambda: peer._arrive(data))

    def _stands(self, call: Callable[..., None], *args: Any) -> bool:
        """Whether this end's party stands still; if so, it hears of this once it goes on."""
        loop = asyncio.get_running_loop()
        if not (isinstance(loop, VirtualLoop) and loop.is_stalled(self.place)):
            return False
        self._soon(call, *args)
        return True

    def _arrive(self, data: bytes | None) -> None:
        if self._stands(self._arrive, data):
            return
        if self._lost:
            peer = self._peer
            if data and peer is not None and not peer._lost:  # nobody is there any more: a reset comes back
                self._network.carry(self, 0, lambda: peer._reset(), again=False)
            return
        self._inbox.append(data)
        self._take_inbox()

    def _take_inbox(self) -> None:
        while self._inbox and not self._paused and not self._lost:
            data = self._inbox.popleft()
            if data is None:
                keep = self._run(self._protocol.eof_received)
                if not keep:
                    self.close()
                continue
            if self._peer is not None:
                self._peer._taken(len(data))
            self._run(self._protocol.data_received, data)

    def _taken(self, size: int) -> None:
        if self._stands(self._taken, size):
            return
        self._under_way -= size
        if self._pausing_writer and self._under_way <= self._low and not self._lost:
            self._pausing_writer = False
            self._run(self._protocol.resume_writing)

    def _reset(self) -> None:
        if self._stands(self._reset):
            return
        if not self._lost:
            self._closing = True
            self._run(self._lose, ConnectionResetError(104, "Connection reset by peer"))

    def _lose(self, error: Exception | None) -> None:
        if self._lost:
            return
        self._lost = True
        self._inbox.clear()
        self._protocol.connection_lost(error)


class Network:
    """All places and what is between them."""

    def __init__(self, seed: int) -> None:
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.connections = 0
        self.bytes = 0
        self.usual = Link()
        self._rng = random.Random(f"network/{seed}")
        self._links: dict[tuple[str, str], Link] = {}
        self._held: dict[tuple[str, str], list[Callable[[], None]]] = {}
        self._ports = itertools.count(FIRST_PORT)
        self._places: dict[str, str] = {}  # host name: place, where they differ

    def link(self, source: str, target: str) -> Link:
        """The way from one place to another, to be changed."""
        found = self._links.get((source, target))
        if found is None:
            usual = self.usual
            found = Link(usual.latency_s, usual.jitter_s, usual.bytes_a_second)
            self._links[source, target] = found
        return found

    def cut(self, source: str, target: str) -> None:
        """From now on nothing goes from one to the other; what is sent is held."""
        self.link(source, target).cut = True

    def heal(self, source: str, target: str) -> None:
        self.link(source, target).cut = False
        for send in self._held.pop((source, target), []):
            send()

    def _delay(self, link: Link, size: int) -> float:
        return link.latency_s + self._rng.random() * link.jitter_s + size / link.bytes_a_second

    def carry(
        self, source: MemoryTransport, size: int, deliver: Callable[[], None], again: bool = True
    ) -> None:
        """Brings something from one end to the other, behind all that went before.

        What meets a cut is sent again until the cut heals, unless its end was broken off meanwhile: then it
        is forgotten. A reset is sent once (`again` False): where it is lost, the other end stays half open.
        """
        peer = source._peer
        assert peer is not None
        way = source.place, peer.place
        link = self.link(*way)
        if link.cut:
            if again:
                self._held.setdefault(way, []).append(
                    lambda: None if source.aborted else self.carry(source, size, deliver)
                )
            return
        self.bytes += size
        loop = asyncio.get_running_loop()
        arrives = max(source._last_arrival, loop.time() + self._delay(link, size))
        source._last_arrival = arrives
        loop.call_at(arrives, deliver)

    # ---- Connections ----------------------------------------------------------------------------------

    def listen(self, factory: Callable[[], Any], host: str, port: int) -> Listener:
        if port == 0:
            port = next(self._ports)
        address = host, port
        if address in self.listeners:
            raise OSError(98, f"{host}:{port} is taken")
        listener = self.listeners[address] = Listener(self, address, factory)
        return listener

    async def connect(self, factory: Callable[[], Any], host: str, port: int) -> Any:
        here = HERE.get()
        await self._pass(here, host)
        listener = self.listeners.get((host, port))
        if listener is None:
            await self._pass(host, here)
            raise ConnectionRefusedError(111, f"Connect call failed ({host!r}, {port})")
        own = here, next(self._ports)
        near = MemoryTransport(self, here, own, (host, port), contextvars.copy_context())
        far = MemoryTransport(self, host, (host, port), own, listener.context.copy())
        near._peer, far._peer = far, near
        self.connections += 1
        await self._pass(host, here)
        protocol = factory()
        near._protocol = protocol
        protocol.connection_made(near)
        self.carry(near, 64, lambda: self._accept(listener, far))
        return near, protocol

    def _accept(self, listener: Listener, far: MemoryTransport) -> None:
        """The other end hears that the connection stands, before anything that comes over it."""
        if far._stands(self._accept, listener, far):
            return
        if not listener.is_serving():
            far._protocol = asyncio.Protocol()
            far.abort()
            return
        far._protocol = far._run(listener.factory)
        far._run(far._protocol.connection_made, far)

    async def _pass(self, source: str, target: str) -> None:
        """One packet's way; waits for as long as it is cut."""
        link = self.link(source, target)
        if link.cut:
            healed = asyncio.get_running_loop().create_future()
            self._held.setdefault((source, target), []).append(
                lambda: None if healed.done() else healed.set_result(None)
            )
            await healed
        await asyncio.sleep(self._delay(link, 64))
