"""The same days in real time on loopback sockets: whether virtual time tells the truth."""

from __future__ import annotations

import asyncio
import time
from typing import Any, cast

from kelpfront.config import Config
from kelpfront.lab.standin import StandIn
from kelpfront.lab.timeline.emulation import EmulatedPlacer, Emulation
from kelpfront.lab.timeline.loop import VirtualLoop
from kelpfront.lab.timeline.network import Network
from kelpfront.lab.timeline.script import Day, ScriptError


class SocketDay(Emulation):
    """A day of which all parties are in this process, on sockets of its host."""

    standin = StandIn

    def __init__(self, day: Day, seed: int, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(day, seed, cast(VirtualLoop, loop), Network(seed))
        self.epoch_s = time.time() - loop.time()

    def placer_config(self, placer: EmulatedPlacer) -> Config:
        return self._config(placer.number)

    def url_of(self, placer: EmulatedPlacer) -> str:
        assert placer.service is not None
        return placer.service.url


def play_on_sockets(day: Day, seed: int) -> dict[str, Any]:
    """What comes of a day in real time; ScriptError for what only a network in memory can do."""
    script = day.script
    for name in ("partitions", "stalls", "skews", "kills"):
        if getattr(script, name):
            raise ScriptError(f"{day.name}: {name}: not on sockets, only in virtual time")

    async def main() -> dict[str, Any]:
        return await SocketDay(day, seed, asyncio.get_running_loop()).run()

    return asyncio.run(main())
