"""All placers start at once: what that does to the list service, and when each is ready and knows the list.

Half of the placers have an old list in their file and half have none, as after a power cut. The service works
through so many requests a second, may come up late, and may go down in the middle of its first answers.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from kelpfront.lab.fleet.lists import ListService
from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.fleet.settings import config_json, whole_list
from kelpfront.lab.process import raise_file_limit

MARKS = (0.5, 0.9, 0.99, 1.0)
BUCKET_S = 0.01


@dataclass(frozen=True, slots=True)
class ColdStart:
    placers: int
    machines: int = 40
    rate: float = 20.0  # requests a second that the list service works through
    up_after_s: float = 0.0
    down_at_s: float = -1.0  # from the service's being up; -1: never
    down_for_s: float = 2.0
    with_file: float = 0.5  # share of the placers that have a list in their file
    longest_s: float = 60.0


def address_of(net: int, number: int) -> str:
    return f"127.{net}.{number >> 8}.{number & 255}"


class Run:
    """One cold start in one folder."""

    def __init__(self, shape: ColdStart, work: Path, say: Callable[[str], None] = lambda text: None) -> None:
        self.shape, self._work, self._say = shape, work, say
        self.service = ListService(rate=shape.rate, updates=[whole_list(1, shape.machines)])
        self.service.port = port = free_port()
        while port == self.service.port:
            port = free_port()
        self._port = port  # the same on each placer's own address
        self.placers: list[PlacerProcess] = []
        self._began = 0.0
        self.ready: dict[str, float] = {}

    def _make(self) -> None:
        shape = self.shape
        old = {"index": 1, "updates": [whole_list(1, shape.machines)]}
        for number in range(shape.placers):
            listed = number < shape.with_file * shape.placers
            config = config_json(
                number,
                shape.placers,
                f"{address_of(10, number)}:{self._port}",
                f"{address_of(20, number)}:{self.service.port}",
                old if listed else {"index": 0, "updates": []},
            )
            self.placers.append(PlacerProcess(f"p{number}", config, self._work))

    async def _until_ready(self, placer: PlacerProcess) -> None:
        await placer.until_ready()
        self.ready[placer.name] = time.monotonic() - self._began

    async def _serve_list(self) -> None:
        shape = self.shape
        await asyncio.sleep(shape.up_after_s)
        await self.service.start()
        if shape.down_at_s >= 0:
            await asyncio.sleep(shape.down_at_s)
            await self.service.stop()
            await asyncio.sleep(shape.down_for_s)
            await self.service.start()

    async def _until_told(self) -> None:
        """Until each placer has had an answer of the list service."""
        while len(self.service.first("answer")) < self.shape.placers:  # noqa: ASYNC110
            await asyncio.sleep(0.1)

    async def run(self) -> dict[str, Any]:
        raise_file_limit()
        self._make()
        serving: asyncio.Task[None] | None = None
        waits: list[asyncio.Task[None]] = []
        try:
            self._began = time.monotonic()
            shift = self.service.now()
            serving = asyncio.create_task(self._serve_list())
            await asyncio.gather(*(placer.start() for placer in self.placers))
            self._say(f"{len(self.placers)} placers were started in {time.monotonic() - self._began:.1f} s")
            waits = [asyncio.create_task(self._until_ready(placer)) for placer in self.placers]
            waits.append(asyncio.create_task(self._until_told()))
            await asyncio.wait(waits, timeout=self.shape.longest_s)
            died = [placer.name for placer in self.placers if not placer.alive]
            if serving.done():
                serving.result()  # a service that could not listen is no result of the run
        finally:
            for task in [*waits, *([serving] if serving else [])]:
                task.cancel()
            await asyncio.gather(*(placer.kill() for placer in self.placers))
            await self.service.stop()
        told = {who: at - shift for who, at in self.service.first("answer").items()}
        return self._figures(told, died)

    def _figures(self, told: dict[str, float], died: list[str]) -> dict[str, Any]:
        shape, service = self.shape, self.service
        span = max([*told.values(), 1.0])
        return {
            "placers": shape.placers,
            "rate": shape.rate,
            "up_after_s": shape.up_after_s,
            "died": died,
            "deaths": [
                str(end)
                for placer in self.placers
                for end in placer.ends
                if placer.name in died and not end.wanted
            ],
            "ready_s": _marks(self.ready, shape.placers),
            "told_s": _marks(told, shape.placers),
            "least_told_s": round(shape.up_after_s + shape.placers / shape.rate, 1) if shape.rate else 0.0,
            "connects": service.count("connect"),
            "asks": service.count("ask"),
            "asks_a_placer": round(service.count("ask") / shape.placers, 2),
            "asks_a_s": round(service.count("ask") / span, 1),
            "answers": service.count("answer"),
            "turned": service.count("turned"),
            "peak_asks_10ms": service.peak("ask", BUCKET_S),
            "peak_asks_1s": service.peak("ask", 1.0),
        }


def _marks(times: dict[str, float], of: int) -> dict[str, float | None]:
    """Seconds until a share of all; None where it was not reached."""
    ordered = sorted(times.values())
    found: dict[str, float | None] = {}
    for mark in MARKS:
        wanted = max(1, round(mark * of))
        found[f"{mark:.0%}"] = round(ordered[wanted - 1], 2) if len(ordered) >= wanted else None
    return found


async def cold_start(shape: ColdStart, say: Callable[[str], None] = lambda text: None) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="kelpfront-rig-") as folder:
        return await Run(shape, Path(folder), say).run()
