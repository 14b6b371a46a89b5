"""Owners that leave, at many placers under load: how long after its close does an attempt still begin?

Owners come at a rate to each placer and leave by `end`, half close, close or reset, some while their placer
is stopped. A case is an owner that left before it had its answer. When it left is taken right after the
system call; when an attempt began is the kernel's stamp on the machine's socket, so that the delay of neither
program counts. Machines answer late, refuse, or let connections come up late.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import struct
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
from kelpfront.lab.fleet.settings import CLASSES, ZONES, config_json
from kelpfront.lab.fleet.slowmachines import MachinesProcess
from kelpfront.lab.platform import Peer, event, line, member, offer
from kelpfront.lab.process import raise_file_limit

WAYS = ("end", "half close", "close", "reset")
READ_SIZE = 1 << 16
CONNECT_MS = 2_000.0  # longer than a second SYN takes: connections that come up late are waited for
LEAVE_S = 0.6  # an owner that leaves does so within this
STANDS_S = 0.3  # a task stands for so long
WAITS_S = 4.0  # for an answer, and for what comes after an owner has left
STOP_S = 0.4  # a placer stands still for so long
READY_S = 60.0
BREAK_MS = 100.0
MARKS = (("p50", 0.5), ("p99", 0.99))


@dataclass(frozen=True, slots=True)
class Leavers:
    """`rate`: set-ups a second at each placer; `leave`: share that leaves; `stops`: in all, a second."""

    placers: int = 16
    machines: int = 60
    seconds: float = 20.0
    rate: float = 20.0
    leave: float = 0.6
    stops: float = 2.0
    seed: int = 1


@dataclass(slots=True)
class Case:
    way: str
    left_ms: float
    stopped: bool


class Run:
    def __init__(self, shape: Leavers, work: Path, say: Callable[[str], None] = lambda text: None) -> None:
        self.shape, self._work, self._say = shape, work, say
        self._rng = random.Random(f"leavers/{shape.seed}")
        self.placers: list[PlacerProcess] = []
        self._stopped: set[str] = set()
        self._numbers = itertools.count(1)
        self._jobs: set[asyncio.Task[None]] = set()
        self.cases: dict[str, Case] = {}
        self.counts: Counter[str] = Counter()

    # ---- Owners ---------------------------------------------------------------------------------------

    async def _owner(self, placer: PlacerProcess) -> None:
        rng, loop = self._rng, asyncio.get_running_loop()
        call = f"{next(self._numbers):016x}"
        way = rng.choice(WAYS) if rng.random() < self.shape.leave else ""
        stays_s = rng.uniform(0.0, LEAVE_S) if way else WAITS_S
        cls = rng.choice(CLASSES)[0]
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, (placer.host, placer.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.counts["set-ups"] += 1
            with_ = {"key": f"{int(call, 16) * 0x9E3779B97F4A7C15 & (1 << 64) - 1:016x}", "idem": call * 2}
            fields = {"class": cls, "left": "3000", "extras": "cores:1;memory:1;service:00000000b4d65521"}
            await loop.sock_sendall(sock, offer(call, with_=fields | with_))
            answer = b""
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(stays_s):
                    answer = await loop.sock_recv(sock, READ_SIZE)
            if answer:
                await self._answered(sock, call, answer)
            elif way:
                self._leave(sock, call, way, placer.name in self._stopped)
                if way in ("end", "half close"):
                    await asyncio.sleep(WAITS_S)
            else:
                self.counts["unanswered"] += 1
        except OSError:
            self.counts["broken"] += 1
        finally:
            sock.close()

    async def _answered(self, sock: socket.socket, call: str, answer: bytes) -> None:
        loop = asyncio.get_running_loop()
        placed = b'"accept"' in answer
        self.counts["placed" if placed else "refused"] += 1
        if placed:
            await asyncio.sleep(STANDS_S)
            await loop.sock_sendall(sock, line("end", call, why=31))
            async with asyncio.timeout(WAITS_S):
                await loop.sock_recv(sock, READ_SIZE)

    def _leave(self, sock: socket.socket, call: str, way: str, stopped: bool) -> None:
        match way:
            case "end":
                sock.send(line("end", call, why=16))
            case "half close":
                sock.shutdown(socket.SHUT_WR)
            case "close":
                sock.close()
            case "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
        self.cases[call] = Case(way, time.time() * 1e3, stopped)

    async def _come(self, placer: PlacerProcess, until: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self._rng.expovariate(self.shape.rate))
            self._spawn(self._owner(placer))

    def _spawn(self, job: Any) -> None:
        task = asyncio.get_running_loop().create_task(job)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

    # ---- Placers --------------------------------------------------------------------------------------

    async def _stop_some(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        while self.shape.stops and loop.time() < until:
            await asyncio.sleep(self._rng.expovariate(self.shape.stops))
            going = [placer for placer in self.placers if placer.name not in self._stopped]
            if going:
                self._spawn(self._stop(self._rng.choice(going)))

    async def _stop(self, placer: PlacerProcess) -> None:
        self._stopped.add(placer.name)
        placer.stop()
        self.counts["stops"] += 1
        await asyncio.sleep(STOP_S)
        placer.go_on()
        self._stopped.discard(placer.name)

    async def _until_ready(self, placer: PlacerProcess) -> None:
        async with asyncio.timeout(READY_S):
            while True:
                with contextlib.suppress(OSError):
                    peer = Peer(*await asyncio.open_connection(placer.host, placer.port))
                    peer.cut()
                    return
                await asyncio.sleep(0.1)

    async def run(self) -> dict[str, Any]:
        raise_file_limit()
        shape, loop = self.shape, asyncio.get_running_loop()
        hosts = [MachinesProcess(shape.machines // 2, shape.seed * 2 + number) for number in range(2)]
        service = ListService()
        service.port = free_port()
        offers: list[tuple[str, float, str]] = []
        try:
            for host in hosts:
                await host.start()
            addresses = [address for host in hosts for address in host.addresses]
            members = [
                member(f"s-{number:08x}", address, locality=ZONES[number % len(ZONES)], cell=number // 8)
                for number, address in enumerate(addresses)
            ]
            service.updates = [event(1, *members, whole=True)]
            await service.start()
            port = free_port()
            for number in range(shape.placers):
                listen, lists = f"{address_of(10, number)}:{port}", f"{address_of(20, number)}:{service.port}"
                known = {"index": 1, "updates": service.updates}
                config = config_json(number, shape.placers, listen, lists, known)
                config["settings"]["Permissions"]["ConnectTimeoutMs"] = CONNECT_MS
                self.placers.append(PlacerProcess(f"p{number}", config, self._work))
            await asyncio.gather(*(placer.start() for placer in self.placers))
            await asyncio.gather(*(self._until_ready(placer) for placer in self.placers))
            self._say(f"{shape.placers} placers serve; owners come for {shape.seconds:.0f} s")
            until = loop.time() + shape.seconds
            await asyncio.gather(
                *(self._come(placer, until) for placer in self.placers), self._stop_some(until)
            )
            if self._jobs:
                await asyncio.wait(list(self._jobs), timeout=2 * WAITS_S)
            died = [placer.name for placer in self.placers if not placer.alive]
        finally:
            for job in list(self._jobs):
                job.cancel()
            await asyncio.gather(*(placer.kill() for placer in self.placers))
            for host in hosts:
                offers += await host.end()
            await service.stop()
        return self._figures(offers, died)

    # ---- What it came to ------------------------------------------------------------------------------

    def _figures(self, offers: list[tuple[str, float, str]], died: list[str]) -> dict[str, Any]:
        late: dict[str, float] = {}
        kinds: dict[str, Counter[str]] = {}
        for call, came_ms, kind in offers:
            case = self.cases.get(call)
            if case is not None and came_ms > case.left_ms:
                late[call] = max(came_ms - case.left_ms, late.get(call, 0.0))
                found = kinds.setdefault(kind, Counter())
                found["attempts_after"] += 1
                found["over_100_ms"] += came_ms - case.left_ms > BREAK_MS
        ways = {way: self._row(way, late) for way in WAYS}
        return {
            "placers": self.shape.placers,
            "seconds": self.shape.seconds,
            "rate": self.shape.rate,
            "died": died,
            **dict(sorted(self.counts.items())),
            "offers": len(offers),
            "cases": len(self.cases),
            "cases_while_stopped": sum(case.stopped for case in self.cases.values()),
            "attempts_after": len(late),
            "after_ms": _marks(sorted(late.values())),
            "over_100_ms": sum(ms > BREAK_MS for ms in late.values()),
            "ways": ways,
            "machines": {kind: dict(found) for kind, found in kinds.items()},
        }

    def _row(self, way: str, late: dict[str, float]) -> dict[str, Any]:
        calls = [call for call, case in self.cases.items() if case.way == way]
        found = sorted(late[call] for call in calls if call in late)
        return {
            "cases": len(calls),
            "attempts_after": len(found),
            "most_ms": round(found[-1], 1) if found else 0.0,
            "over_100_ms": sum(ms > BREAK_MS for ms in found),
        }


def _marks(ordered: list[float]) -> dict[str, float]:
    """Of the attempts that began after their owner had left; milliseconds after it."""
    if not ordered:
        return {"p50": 0.0, "p99": 0.0, "most": 0.0}
    marks = {name: ordered[min(len(ordered) - 1, int(share * len(ordered)))] for name, share in MARKS}
    return {name: round(ms, 1) for name, ms in (marks | {"most": ordered[-1]}).items()}


async def leavers(shape: Leavers, say: Callable[[str], None] = lambda text: None) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="kelpfront-rig-") as folder:
        return await Run(shape, Path(folder), say).run()
