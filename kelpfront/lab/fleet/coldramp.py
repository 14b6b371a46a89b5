"""Machines that come up cold under load, before placers that are killed and started anew all the while.

Each machine counts the set-ups that arrive in any window of the time that the settings name, by the wall
clock at which this process reads them: what its own loop was late by, at most, stands beside.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import random
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from kelpfront.lab.fleet.coldstart import address_of
from kelpfront.lab.fleet.lists import ListService
from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.fleet.settings import config_json
from kelpfront.lab.platform import Json, Machine, Peer, event, line, member
from kelpfront.lab.process import raise_file_limit

HOLD_S = 0.3  # for which a task stands
LOOK_S = 0.02
READY_S = 60.0  # for all placers
AGAIN_S = 0.05  # until an owner's next try to connect
TEST_CALL = "00000000000000f0"
LEFT_MS = 2500


def release(peer: Peer, data: bytes) -> None:
    """Said where the placer's end is still there: it may have been killed meanwhile."""
    if not peer.writer.is_closing():
        peer.say(data)


@dataclass(frozen=True, slots=True)
class ColdRamp:
    placers: int = 24
    machines: int = 8
    budget: int = 9  # offers in a window that a cold machine bears, of all placers together
    load: float = 5.0  # tasks a second and placer
    seconds: float = 12.0  # from when the machines come up
    kill_every_s: float = 0.5  # one placer, which is started anew at once; 0: none
    restarts: int = 2  # machines that come up cold a second time, half way
    seed: int = 1


class ColdMachine:
    """A machine over its lives. `lives` holds when each began and its arrivals, wall clock milliseconds."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.lives: list[tuple[int, list[float]]] = []
        self._machine: Machine | None = None

    async def boot(self) -> Json:
        """Its entry in the list, up since now."""
        self.die()
        arrivals: list[float] = []
        up_since = int(time.time() * 1000.0)
        self.lives.append((up_since, arrivals))

        async def script(machine: Machine, peer: Peer, message: Json) -> None:
            machine.seen.clear()
            match message["op"]:
                case "offer":
                    arrivals.append(time.time() * 1000.0)
                    peer.say(line("accept", message["call"], desc="at " + self.name))
                    over = line("end", message["call"], why=16)
                    asyncio.get_running_loop().call_later(HOLD_S, release, peer, over)
                case "test":
                    peer.say(line("tested", message["call"], why=1, with_={"load": "x0:20;x1:38"}))
                case "end" if message.get("why") != 16:
                    peer.say(line("end", message["call"], why=31))

        self._machine = Machine(self.name, script)
        await self._machine.start()
        return member(self.name, self._machine.address, up_since_ms=up_since)

    def die(self) -> None:
        if self._machine is not None:
            self._machine.die()
            self._machine = None


class Owner:
    """Sends tasks to one placer at an even pace, to its next life too, and counts what comes back."""

    def __init__(self, placer: PlacerProcess, load: float, chance: random.Random) -> None:
        self._placer, self._load, self._chance = placer, load, chance
        self.sent = 0
        self.heard: Counter[str] = Counter()

    async def run(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                peer = Peer(*await asyncio.open_connection(self._placer.host, self._placer.port))
                hearing = asyncio.create_task(self._hear(peer))
                try:
                    await self._send(peer, hearing)
                finally:
                    hearing.cancel()
                    peer.cut()
            await asyncio.sleep(AGAIN_S)

    async def _send(self, peer: Peer, hearing: asyncio.Task[None]) -> None:
        while not hearing.done():
            number = f"{self._chance.getrandbits(64):016x}"
            fields = {"class": "easy", "left": str(LEFT_MS), "key": number}
            fields["extras"] = f"cores:0.2;memory:0.3;service:{self._chance.getrandbits(32):016x}"
            peer.say(line("offer", number, with_=fields, desc="v=0\r\n"))
            self.sent += 1
            await asyncio.sleep(1.0 / self._load)

    async def _hear(self, peer: Peer) -> None:
        with contextlib.suppress(TimeoutError, ValueError):
            while (message := await peer.read()) is not None:
                self.heard[message["op"]] += 1


class Run:
    """One ramp in one folder."""

    def __init__(self, shape: ColdRamp, work: Path, say: Callable[[str], None] = lambda text: None) -> None:
        self.shape, self._work, self._say = shape, work, say
        self._chance = random.Random(shape.seed)
        # A placer that knows no machine passes no test: one that drains is there from the start.
        self.service = ListService(updates=[event(1, member("s-drains", phase="Terminating"), whole=True)])
        self.service.port = free_port()
        self.machines = [ColdMachine(f"s-{number:08x}") for number in range(shape.machines)]
        self.placers = self._make()
        self._settings = self.placers[0].config["settings"]
        self._kills = 0
        self._died: list[str] = []
        self._over = False
        self._late_s = 0.0

    def _make(self) -> list[PlacerProcess]:
        shape, port, made = self.shape, free_port(), []
        for number in range(shape.placers):
            listen = f"{address_of(10, number)}:{port}"
            coordinator = f"{address_of(20, number)}:{self.service.port}"
            config = config_json(number, shape.placers, listen, coordinator, self._known())
            config["settings"]["FamilyInfo"]["YoungLimit"] = float(shape.budget)
            made.append(PlacerProcess(f"p{number}", config, self._work))
        return made

    def _known(self) -> Json:
        return {"index": len(self.service.updates), "updates": list(self.service.updates)}

    async def _boot(self, machines: list[ColdMachine]) -> None:
        entries = [await machine.boot() for machine in machines]
        self.service.tell(event(len(self.service.updates) + 1, *entries))

    async def _kill(self) -> None:
        """One placer after another, at random times; each comes back at once with the list as it is."""
        while self.shape.kill_every_s > 0:
            await asyncio.sleep(self.shape.kill_every_s * self._chance.uniform(0.5, 1.5))
            if self._over:
                return
            placer = self._chance.choice(self.placers)
            if not placer.alive:
                self._died.append(placer.name)
            await placer.kill()
            placer.config["known"] = self._known()
            placer.config["seed"] = f"{self._chance.getrandbits(32):08x}"
            self._kills += 1
            await placer.start()

    async def _watch(self) -> None:
        """How late this process is with what it reads."""
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            await asyncio.sleep(LOOK_S)
            self._late_s = max(self._late_s, loop.time() - began - LOOK_S)

    async def run(self) -> dict[str, Any]:
        raise_file_limit()
        shape = self.shape
        owners = [Owner(placer, shape.load, self._chance) for placer in self.placers]
        jobs: list[asyncio.Task[None]] = []
        await self.service.start()
        try:
            await asyncio.gather(*(placer.start() for placer in self.placers))
            async with asyncio.timeout(READY_S):
                await asyncio.gather(*(placer.until_ready() for placer in self.placers))
            self._say(f"{len(self.placers)} placers are ready")
            jobs = [asyncio.create_task(owner.run()) for owner in owners]
            await asyncio.sleep(0.5)  # tasks wait by now
            jobs.append(asyncio.create_task(self._watch()))
            await self._boot(self.machines)
            killing = asyncio.create_task(self._kill())
            jobs.append(killing)
            await asyncio.sleep(shape.seconds / 2)
            await self._boot(self.machines[: shape.restarts])
            await asyncio.sleep(shape.seconds / 2)
            self._over = True
            await killing  # a placer between its kill and its start would count as one that died
            self._died += [placer.name for placer in self.placers if not placer.alive]
        finally:
            for job in jobs:
                job.cancel()
            await asyncio.gather(*jobs, return_exceptions=True)
            await asyncio.gather(*(placer.kill() for placer in self.placers))
            for machine in self.machines:
                machine.die()
            await self.service.stop()
        return self._figures(owners)

    def _figures(self, owners: list[Owner]) -> dict[str, Any]:
        shape, window = self.shape, float(self._settings["Rules"]["FallMs"])
        cold_ms = float(self._settings["Rules"]["ColdMs"])
        lives = [
            [at for at in arrivals if at < up_since + cold_ms]  # it is warm then
            for machine in self.machines
            for up_since, arrivals in machine.lives
        ]
        worst = max((most_within(arrivals, window) for arrivals in lives), default=0)
        offers = sum(len(arrivals) for arrivals in lives)
        heard: Counter[str] = sum((owner.heard for owner in owners), Counter())
        budgets = shape.machines * min(shape.seconds * 1000.0, cold_ms) / window
        return {
            "placers": shape.placers,
            "machines": shape.machines,
            "budget": shape.budget,
            "window_ms": window,
            "kills": self._kills,
            "died": self._died,
            "tasks": sum(owner.sent for owner in owners),
            "placed": heard["accept"],
            "offers": offers,
            "worst_window": worst,
            "bound": round(shape.budget + 2 * math.sqrt(shape.budget) + 2, 2),
            "excess_in_root_n": round((worst - shape.budget) / math.sqrt(shape.budget), 2),
            "used_of_budget": round(offers / (budgets * shape.budget), 3),
            "loop_late_ms": round(self._late_s * 1000.0, 1),
        }


def most_within(times: list[float], window_ms: float) -> int:
    """The most of these, in order, in any half-open window."""
    most = first = 0
    for last, at in enumerate(times):
        while times[first] <= at - window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most


async def cold_ramp(shape: ColdRamp, say: Callable[[str], None] = lambda text: None) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="kelpfront-ramp-") as folder:
        return await Run(shape, Path(folder), say).run()
