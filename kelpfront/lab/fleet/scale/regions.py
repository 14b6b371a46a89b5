"""A list service in each region and the link between: each tells of its own machines, and of others late.

Each listens on all of 127.0.0.0/8 at a port of its own. Every pair is joined by two proxies, one for each
that asks the other by the program's own long polls; both are the link, which delays, and can be cut.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from dataclasses import dataclass, field
from typing import Any

from kelpfront.lab.fleet.lists import ListService
from kelpfront.lab.fleet.proxy import FaultProxy
from kelpfront.lab.fleet.scale.children import obey
from kelpfront.lab.fleet.scale.shape import CORES, TASK_CORES, Shape, machine_number, number_of, seen_by
from kelpfront.lab.fleet.scale.traffic import IN, OUT, Traffic
from kelpfront.lab.platform import Json, event
from kelpfront.logs import configure_logs
from kelpfront.platform.config import Address
from kelpfront.platform.discovery_client import DiscoveryClient

RELAY = 250  # and above: addresses at which other regions' lists ask
TICK_S = 0.02
CONNECT_MS = 2_000.0


@dataclass(slots=True)
class Drain:
    """A machine told to drain: when, under which number in each region, and when each placer knew it."""

    machine: int
    told_at: float
    index: dict[int, int] = field(default_factory=dict)
    known: dict[int, float] = field(default_factory=dict)


class RegionList(ListService):
    """The list of one region: counts by placer, and shows each placer machines at its own addresses."""

    def __init__(self, shape: Shape, region: int, ports: list[int], drains: list[Drain]) -> None:
        super().__init__(updates=[whole(shape, ports)])
        self._shape, self.region, self._ports, self._drains = shape, region, ports, drains
        self.traffic = Traffic()
        self.index = 1

    def body(self, who: str, index: int, later: list[Json]) -> bytes:
        plain = super().body(who, index, later)
        number = number_of(who)[1]
        return plain if number >= RELAY else seen_by(plain, number)

    def on_ask(self, who: str, follow: int, size: int) -> None:
        number = number_of(who)[1]
        self.traffic.add(number, IN, "ask", size)
        if number < RELAY:
            for drain in self._drains:
                if drain.index.get(self.region, self.index + 1) <= follow:
                    drain.known.setdefault(number, time.monotonic())

    def on_answer(self, who: str, size: int) -> None:
        self.traffic.add(number_of(who)[1], OUT, "answer", size)

    def change(self, member: Json) -> int:
        """Tells of one machine, under the next number."""
        self.index += 1
        self.tell(event(self.index, member))
        if member["phase"] == "Terminating":
            for drain in self._drains:
                if drain.machine == machine_number(member["id"]):
                    drain.index[self.region] = self.index
        return self.index

    def relay(self, raw: Any, origin: int) -> None:
        """What another region's list has told of its own machines."""
        for update in raw["updates"]:
            if not update["endpoints"]["complete"]:
                for member in update["endpoints"]["members"]:
                    if self._shape.region_of(machine_number(member["id"])) == origin:
                        self.change(member)


def whole(shape: Shape, ports: list[int]) -> Json:
    """The whole list, as the first placer sees it; machine number i listens at one of so many ports."""
    members = [shape.member(machine, ports[machine % len(ports)]) for machine in range(shape.machines)]
    return event(1, *members, whole=True)


class Regions:
    def __init__(self, shape: Shape, ports: list[int], seed: int = 1) -> None:
        self._shape, self._ports, self._rng = shape, ports, random.Random(f"events/{seed}")
        self.drains: list[Drain] = []
        self.lists = [RegionList(shape, region, ports, self.drains) for region in range(shape.regions)]
        self.proxies: list[FaultProxy] = []
        self._followers: list[DiscoveryClient] = []
        self._rate, self._owed, self._looked_at = 0.0, 0.0, time.monotonic()
        self.told = 0

    async def start(self) -> list[int]:
        for one in self.lists:
            await one.start()
        for asker in self.lists:
            for asked in self.lists:
                if asker is not asked:
                    await self._join(asker, asked)
        return [one.port for one in self.lists]

    async def stop(self) -> None:
        for follower in self._followers:
            follower.stop()
        await asyncio.gather(*(proxy.close() for proxy in self.proxies))
        await asyncio.gather(*(one.stop() for one in self.lists))

    async def _join(self, asker: RegionList, asked: RegionList) -> None:
        proxy = FaultProxy((f"127.20.0.{RELAY + asker.region}", asked.port), asker.region)
        proxy.path.up.delay_ms = proxy.path.down.delay_ms = self._shape.delay_ms
        await proxy.start()
        self.proxies.append(proxy)
        heard = {"index": 0}

        def take(raw: Any) -> None:
            asker.relay(raw, asked.region)
            heard["index"] = int(raw["index"])

        follower = DiscoveryClient(
            Address(*proxy.address),
            lambda: heard["index"],
            take,
            random.Random(asker.region),
            CONNECT_MS,
        )
        follower.start()
        self._followers.append(follower)

    def _member(self, machine: int, phase: str = "Ready", cores: float = 40.0) -> Json:
        return self._shape.member(machine, self._ports[machine % len(self._ports)], phase, cores)

    def change_some(self, now: float) -> None:
        """As many machines as the rate has it tell of other cores to spare."""
        self._owed = min(self._owed + (now - self._looked_at) * self._rate, max(1.0, self._rate))
        self._looked_at = now
        drained = {drain.machine for drain in self.drains}
        while self._owed >= 1.0:
            self._owed -= 1.0
            machine = self._rng.randrange(self._shape.machines)
            if machine in drained:
                continue
            cores = round(CORES - self._rng.randrange(100) * TASK_CORES, 1)
            self.lists[self._shape.region_of(machine)].change(self._member(machine, cores=cores))
            self.told += 1

    async def run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.change_some(time.monotonic())

    async def act(self, told: Json) -> Any:
        match told["do"]:
            case "events":
                self._rate = float(told["rate"])
            case "drain":
                machine = int(told["machine"])
                drain = Drain(machine, time.monotonic())
                self.drains.append(drain)
                self.lists[self._shape.region_of(machine)].change(self._member(machine, "Terminating"))
                return {"at": drain.told_at}
            case "link":
                for proxy in self.proxies:
                    proxy.path.up.drops = proxy.path.down.drops = bool(told["cut"])
            case "report":
                return self.report()
        return {}

    def report(self) -> Json:
        return {
            "lists": [one.traffic.json() for one in self.lists],
            "connections": [one.open_connections for one in self.lists],
            "told": self.told,
            "drains": [
                {
                    "machine": drain.machine,
                    "told_at": drain.told_at,
                    "known": {str(placer): at for placer, at in drain.known.items()},
                }
                for drain in self.drains
            ],
        }


async def main() -> None:
    configure_logs("warning", "json")  # not on the output, which is for answers
    told = json.loads(sys.argv[1])
    regions = Regions(Shape.of(told["shape"]), told["ports"])
    print(json.dumps({"ports": await regions.start()}), flush=True)
    running = asyncio.create_task(regions.run())
    await obey(regions.act)
    running.cancel()
    await regions.stop()


if __name__ == "__main__":
    asyncio.run(main())
