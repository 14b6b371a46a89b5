"""A relay of datagrams that does what networks do: loses, doubles, delays and so reorders them."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

Address = tuple[str, int]

PEERS_MOST = 256


def whole(rng: random.Random) -> list[float]:
    return [0.0]


class _Port(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes, Address], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self._take(data, (str(addr[0]), addr[1]))

    def error_received(self, exc: Exception) -> None:
        pass


class DatagramRelay:
    """Leads to `target`, and back to whoever sent first. `fate` holds for both ways and may be changed."""

    def __init__(self, target: Address, seed: int) -> None:
        self.target, self.fate = target, whole
        self._rng = random.Random(f"relay/{seed}")
        self._near: asyncio.DatagramTransport | None = None
        self._far: dict[Address, asyncio.DatagramTransport] = {}
        self._opening: dict[Address, asyncio.Task[None]] = {}
        self.address: Address = ("", 0)
        self.passed: Counter[str] = Counter()
        """Datagrams and their bytes that came, before any fate: `out` to the target, `in` from it."""

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._near, _ = await loop.create_datagram_endpoint(
            lambda: _Port(self._out), local_addr=("127.0.0.1", 0)
        )
        name = self._near.get_extra_info("sockname")
        self.address = name[0], name[1]

    def close(self) -> None:
        for job in self._opening.values():
            job.cancel()
        for transport in [self._near, *self._far.values()]:
            if transport is not None:
                transport.close()

    def _out(self, data: bytes, peer: Address) -> None:
        far = self._far.get(peer)
        if far is not None:
            self._pass(far, data, None)
        elif peer not in self._opening and len(self._opening) < PEERS_MOST:
            self._opening[peer] = asyncio.get_running_loop().create_task(self._open(peer))

    async def _open(self, peer: Address) -> None:
        """What comes until then is lost, as datagrams are."""

        def back(data: bytes, addr: Address) -> None:
            if self._near is not None:
                self._pass(self._near, data, peer)

        self._far[peer], _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Port(back), remote_addr=self.target
        )

    def _pass(self, transport: asyncio.DatagramTransport, data: bytes, to: Address | None) -> None:
        loop = asyncio.get_running_loop()
        way = "out" if to is None else "in"
        self.passed[way] += 1
        self.passed[f"bytes_{way}"] += len(data)
        for delay in self.fate(self._rng):
            loop.call_later(delay, self._send, transport, data, to)

    def _send(self, transport: asyncio.DatagramTransport, data: bytes, to: Address | None) -> None:
        if not transport.is_closing():
            transport.sendto(data, to)
