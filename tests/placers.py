"""Connections of a client to placers that run as separate processes."""

from __future__ import annotations

import asyncio

from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.platform import Peer, line


async def reached(placer: PlacerProcess) -> Peer | None:
    """Return a connection to the placer that has passed a test, or None if it accepts no clients yet."""
    try:
        peer = Peer(*await asyncio.open_connection("127.0.0.1", placer.port))
    except OSError:
        return None
    peer.say(line("test", "00000000000000f0", why=0))
    answer = await peer.read()
    return peer if answer is not None and answer["why"] == 1 else None


async def ready(placer: PlacerProcess, within_s: float = 60.0) -> Peer:
    async with asyncio.timeout(within_s):
        while (peer := await reached(placer)) is None:
            assert placer.alive
            await asyncio.sleep(0.01)
    return peer
