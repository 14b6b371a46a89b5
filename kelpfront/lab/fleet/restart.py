"""Nine in ten placers are killed and started again: when each is ready, and what its start costs.

All hold tasks, which their owners hand over anew as soon as a placer has passed a test. The list service may
be down meanwhile. Machines are hollow: they answer tests and hold nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import psutil

from kelpfront.lab.fleet.coldstart import address_of
from kelpfront.lab.fleet.hollow import HollowMachines
from kelpfront.lab.fleet.lists import ListService
from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import TEST_CALL, PlacerProcess
from kelpfront.lab.fleet.settings import CLASSES, config_json, whole_list
from kelpfront.lab.platform import Peer, line, offer
from kelpfront.lab.process import raise_file_limit

READY_EVERY_S = 0.02  # between tests of a placer that does not let owners in yet
HAND_AT_ONCE = 500  # tasks in one go, so that owners' buffers stay small
FIGURES_S = 5.5  # a placer writes its counts into the log every 5 s


@dataclass(frozen=True, slots=True)
class Restart:
    placers: int = 10
    machines: int = 1_100
    tasks: int = 22_000
    killed: float = 0.9  # share of the placers
    outage: bool = False  # the list service is down from the kill until all are ready
    sockets: int = 2_048  # of each placer
    memory_mb: int = 192
    share: float = 0.25  # of a core, for the estimate of the time to ready
    longest_s: float = 60.0


@dataclass(slots=True)
class Start:
    """One placer's start: seconds until it passed a test, and the processor time that it took until then."""

    ready_s: float
    cpu_s: float

    def at_share(self, share: float) -> float:
        """Seconds until ready with so much of a core, at most: as if no wait passed while it computed."""
        return self.cpu_s / share + max(0.0, self.ready_s - self.cpu_s)


class Run:
    """One run in one folder."""

    def __init__(self, shape: Restart, work: Path, say: Callable[[str], None]) -> None:
        self.shape, self._work, self._say = shape, work, say
        self.service, self.machines = ListService(), HollowMachines()
        self.placers: list[PlacerProcess] = []
        self._owners: dict[str, Peer] = {}

    async def run(self) -> dict[str, Any]:
        raise_file_limit()
        shape = self.shape
        await self.machines.start()
        whole = whole_list(1, shape.machines, self.machines.port)
        self.service.updates = [whole]
        await self.service.start()
        port = free_port()
        for number in range(shape.placers):
            listen, lists = (
                f"{address_of(10, number)}:{port}",
                f"{address_of(20, number)}:{self.service.port}",
            )
            config = config_json(number, shape.placers, listen, lists, {"index": 1, "updates": [whole]})
            config["limits"] |= {"sockets": shape.sockets, "memory_mb": shape.memory_mb}
            self.placers.append(PlacerProcess(f"p{number}", config, self._work, files=shape.sockets))
        try:
            async with asyncio.timeout(shape.longest_s * 2):
                return await self._play()
        finally:
            for owner in self._owners.values():
                owner.cut()
            for placer in self.placers:
                await placer.kill()
            await self.machines.stop()
            await self.service.stop()

    async def _play(self) -> dict[str, Any]:
        shape = self.shape
        first = await asyncio.gather(*(self._start(placer) for placer in self.placers))
        self._say(f"{shape.placers} placers are ready; {shape.tasks} tasks are handed over")
        each = shape.tasks // shape.placers
        for number, placer in enumerate(self.placers):
            await self._hand_over(placer, number * each, each)
        await asyncio.sleep(FIGURES_S)
        before = [self._counts(placer) for placer in self.placers]
        killed = self.placers[: round(shape.killed * shape.placers)]
        for placer in killed:
            self._owners.pop(placer.name).cut()
            await placer.kill()
        if shape.outage:
            await self.service.stop()
        self._say(f"{len(killed)} are killed and started again")
        again = await asyncio.gather(*(self._start_and_hand_over(placer, each) for placer in killed))
        if shape.outage:
            await self.service.start()
        await asyncio.sleep(FIGURES_S)
        after = [self._counts(placer) for placer in killed]
        return {
            "placers": shape.placers,
            "machines": shape.machines,
            "tasks": shape.tasks,
            "restarted": len(killed),
            "outage": shape.outage,
            "died": [placer.name for placer in self.placers if not placer.alive],
            "first": _figures(first, shape.share),
            "again": _figures(again, shape.share),
            "handed_over": each * len(killed),
            "found": sum(counts.get("adopted_tasks", 0) for counts in after),
            "found_before": sum(counts.get("adopted_tasks", 0) for counts in before),
            "bounds": sum(
                value for counts in after for name, value in counts.items() if name.startswith("limit_")
            ),
            "tasks_lost": sum(counts.get("tasks_lost", 0) for counts in after),
            "memory_mb_most": max((counts.get("memory_mb", 0) for counts in after), default=0),
            "descriptors_most": max((counts.get("descriptors", 0) for counts in after), default=0),
        }

    async def _start(self, placer: PlacerProcess) -> Start:
        began = time.monotonic()
        await placer.start()
        while True:
            with contextlib.suppress(OSError):
                peer = Peer(*await asyncio.open_connection(placer.host, placer.port))
                peer.say(line("test", TEST_CALL, why=0))
                answer = await peer.read()
                if answer is not None and answer.get("why") == 1:
                    break
                peer.cut()
            await asyncio.sleep(READY_EVERY_S)
        ready = time.monotonic() - began
        times = psutil.Process(placer.pid).cpu_times()
        self._owners[placer.name] = peer
        return Start(ready, times.user + times.system)

    async def _start_and_hand_over(self, placer: PlacerProcess, count: int) -> Start:
        start = await self._start(placer)
        await self._hand_over(placer, self.placers.index(placer) * count, count)
        return start

    async def _hand_over(self, placer: PlacerProcess, first: int, count: int) -> None:
        """By one connection of one owner, as many machines as there are in turn."""
        peer = self._owners[placer.name]
        for start in range(first, first + count, HAND_AT_ONCE):
            for number in range(start, min(start + HAND_AT_ONCE, first + count)):
                machine = number % self.shape.machines
                extras = f"cores:0.5;memory:0.5;service:{number % 50:x};at:s-{machine:08x}"
                cls = CLASSES[number % len(CLASSES)][0]
                peer.say(offer(f"{0x10000 + number:016x}", cls=cls, extras=extras))
            await peer.writer.drain()

    def _counts(self, placer: PlacerProcess) -> dict[str, Any]:
        """The last counts that it wrote into its log."""
        lines = [text for text in placer.log_path.read_text().splitlines() if '"figures"' in text]
        return dict(json.loads(lines[-1])) if lines else {}


def _figures(starts: Sequence[Start], share: float) -> dict[str, Any]:
    return {
        "ready_s": marks([start.ready_s for start in starts]),
        "cpu_s": marks([start.cpu_s for start in starts]),
        "share": share,
        "ready_at_share_s": marks([start.at_share(share) for start in starts]),
    }


def marks(values: Sequence[float]) -> dict[str, float]:
    """The value that half, nine in ten and all of them do not exceed."""
    ordered = sorted(values)
    wanted = {"50%": 0.5, "90%": 0.9, "100%": 1.0}
    last = len(ordered)
    return {name: round(ordered[max(1, math.ceil(of * last)) - 1], 3) for name, of in wanted.items()}


async def restart(shape: Restart, say: Callable[[str], None] = lambda text: None) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="kelpfront-rig-") as folder:
        return await Run(shape, Path(folder), say).run()
