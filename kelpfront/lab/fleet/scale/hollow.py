"""Hollow workers: hundreds of machines in one process, an address each, that hold tasks and answer tests.

One listener on all of 127.0.0.0/8; the address at which a connection came in says which machine is meant and
which placer means it. Tasks end in the order in which they began, at a rate, so that their number stands.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

from kelpfront.lab.fleet.scale.children import obey
from kelpfront.lab.fleet.scale.shape import (
    CORES,
    MEMORY_GB,
    NET,
    TASK_CORES,
    TASK_MEMORY_GB,
    Shape,
    machine_name,
    number_of,
    standing_call,
)
from kelpfront.lab.fleet.scale.traffic import IN, OUT, Traffic
from kelpfront.lab.platform import Json
from kelpfront.platform.messages import (
    MAX_LINE_BYTES,
    Cause,
    InvalidMessageError,
    LineSplitter,
    decode,
    encode,
)

DRAIN_S = 0.5  # within which a told drain has to be kept
LEAST_S = 1.0  # a task runs at least so long
END_EVERY_S = 0.05
UNSAID_MOST = 1_000  # releases of one machine that wait for a connection of their placer
LISTEN_QUEUE = 4_096


@dataclass(slots=True)
class Held:
    machine: int
    placer: int
    since: float


class Workers:
    """Those machines of a shape whose number leaves `number` when divided by `processes`."""

    def __init__(self, shape: Shape, number: int, processes: int) -> None:
        self.shape = shape
        self.mine = range(number, shape.machines, processes)
        self.traffic = Traffic()
        self.held: dict[str, Held] = {}
        self.load = dict.fromkeys(self.mine, 0)
        self.links: dict[tuple[int, int], dict[Link, None]] = {}
        self.unsaid: dict[tuple[int, int], deque[bytes]] = {}
        self.silent: set[int] = set()
        self.link_cut = False
        self.drained: dict[int, float] = {}
        self.tests = self.accepted = self.ended = self.late_offers = self.unreadable = 0
        self.offered: dict[int, float] = {}  # when it was last offered something
        self._rate, self._owed, self._looked_at = 0.0, 0.0, time.monotonic()
        now = time.monotonic() - LEAST_S
        for count in range(shape.tasks_of(0)):
            for placer in range(shape.placers):
                machine = shape.machine_of_task(placer, count)
                if count < shape.tasks_of(placer) and machine in self.load:
                    self._hold(standing_call(placer, count), machine, placer, now)

    async def start(self) -> int:
        server = await asyncio.get_running_loop().create_server(
            lambda: Link(self), "0.0.0.0", 0, backlog=LISTEN_QUEUE
        )
        return int(server.sockets[0].getsockname()[1])

    def hears(self, machine: int, placer: int) -> bool:
        if machine in self.silent:
            return False
        return not self.link_cut or self.shape.region_of(machine) == self.shape.region_of_placer(placer)

    def _hold(self, call: str, machine: int, placer: int, now: float) -> None:
        self.held[call] = Held(machine, placer, now)
        self.load[machine] += 1

    def _drop(self, call: str) -> Held | None:
        held = self.held.pop(call, None)
        if held is not None:
            self.load[held.machine] -= 1
        return held

    def report_of(self, machine: int) -> str:
        load = self.load[machine]
        return f"x0:{CORES - load * TASK_CORES:.1f};x1:{MEMORY_GB - load * TASK_MEMORY_GB:.1f};q:0"

    # ---- What placers say -----------------------------------------------------------------------------

    def said(self, link: Link, line: bytes) -> None:
        message = decode(line)
        self.traffic.add(link.placer, IN, message.op, len(line) + 1)
        machine, call = link.machine, message.call
        match message.op:
            case "test":
                self.tests += 1
                load = {"load": self.report_of(machine)}
                link.say("tested", encode("tested", call, load, 1))
            case "offer":
                now = time.monotonic()
                self.offered[machine] = now
                self.late_offers += now > self.drained.get(machine, now) + DRAIN_S
                self.accepted += 1
                self._hold(call, machine, link.placer, now)
                link.say("accept", encode("accept", call, {}, desc=machine_name(machine)))
            case "end":
                held = self._drop(call)
                if held is not None or message.why != Cause.NORMAL:
                    link.say("end", encode("end", call, {}, Cause.UNSPECIFIED))

    def tell(self, machine: int, placer: int, data: bytes) -> None:
        """On a connection that is open, or on the next."""
        links = self.links.get((machine, placer))
        if links:
            next(iter(links)).say("end", data)
        else:
            waiting = self.unsaid.setdefault((machine, placer), deque(maxlen=UNSAID_MOST))
            waiting.append(data)

    def end_some(self, now: float) -> None:
        """Ends as many of the oldest tasks as the rate has it; those at silent machines wait."""
        self._owed = min(self._owed + (now - self._looked_at) * self._rate, max(1.0, self._rate))
        self._looked_at = now
        passed_over = []
        while self._owed >= 1.0 and self.held:
            call, held = next(iter(self.held.items()))
            if held.since > now - LEAST_S:
                break
            if not self.hears(held.machine, held.placer):
                passed_over.append((call, self.held.pop(call)))
                continue
            self._drop(call)
            self._owed -= 1.0
            self.ended += 1
            load = {"load": self.report_of(held.machine)}
            self.tell(held.machine, held.placer, encode("end", call, load, Cause.NORMAL))
        self.held |= passed_over

    async def run(self) -> None:
        while True:
            await asyncio.sleep(END_EVERY_S)
            self.end_some(time.monotonic())

    # ---- What the run says ----------------------------------------------------------------------------

    async def act(self, told: Json) -> Any:
        match told["do"]:
            case "ends":
                self._rate = float(told["rate"])
            case "silence":
                self.silent |= set(told["machines"]) & self.load.keys()
            case "wake":
                self._wake(set(told["machines"]) & self.load.keys())
            case "link":
                self.link_cut = bool(told["cut"])
            case "drained":
                self.drained[told["machine"]] = told["at"]
            case "report":
                return self.report()
        return {}

    def _wake(self, machines: set[int]) -> None:
        """They are back as after a crash: connections are reset, and what ran there is over."""
        for call in [call for call, held in self.held.items() if held.machine in machines]:
            self._drop(call)
        for (machine, _), links in list(self.links.items()):
            if machine in machines:
                for link in list(links):
                    link.transport.abort()
        self.silent -= machines

    def report(self) -> Json:
        of_each: dict[int, int] = {}
        for (machine, _), links in self.links.items():
            of_each[machine] = of_each.get(machine, 0) + len(links)
        return {
            "traffic": self.traffic.json(),
            "tests": self.tests,
            "accepted": self.accepted,
            "ended": self.ended,
            "held": len(self.held),
            "late_offers": self.late_offers,
            "unreadable": self.unreadable,
            "connections": sum(of_each.values()),
            "connections_most": max(of_each.values(), default=0),
            "last_offers": {str(machine): self.offered.get(machine, 0.0) for machine in self.drained},
        }


class Link(asyncio.Protocol):
    """One connection of a placer to a machine."""

    transport: asyncio.Transport

    def __init__(self, workers: Workers) -> None:
        self._workers, self._lines = workers, LineSplitter()
        self.machine = self.placer = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        net, self.machine = number_of(transport.get_extra_info("sockname")[0])
        self.placer = net - NET
        if self.machine not in self._workers.load:
            transport.abort()
            return
        key = self.machine, self.placer
        self._workers.links.setdefault(key, {})[self] = None
        if self._workers.hears(*key):
            for data in self._workers.unsaid.pop(key, ()):
                self.say("end", data)

    def connection_lost(self, exc: Exception | None) -> None:
        links = self._workers.links.get((self.machine, self.placer))
        if links is not None:
            links.pop(self, None)
            if not links:
                del self._workers.links[self.machine, self.placer]

    def data_received(self, data: bytes) -> None:
        if not self._workers.hears(self.machine, self.placer):
            return
        try:
            for line in self._lines.feed(data):
                self._workers.said(self, line)
        except InvalidMessageError:
            self._workers.unreadable += 1
            self.transport.abort()

    def say(self, op: str, data: bytes) -> None:
        self._workers.traffic.add(self.placer, OUT, op, len(data))
        if self.transport.get_write_buffer_size() < 16 * MAX_LINE_BYTES:
            self.transport.write(data)
        else:  # it does not read
            self.transport.abort()


async def main() -> None:
    told = json.loads(sys.argv[1])
    workers = Workers(Shape.of(told["shape"]), told["number"], told["processes"])
    port = await workers.start()
    print(json.dumps({"port": port}), flush=True)
    running = asyncio.create_task(workers.run())
    await obey(workers.act)
    running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running


if __name__ == "__main__":
    asyncio.run(main())
