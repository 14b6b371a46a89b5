"""Placers as processes, with faults between them and what they talk to."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from pathlib import Path

import psutil
import pytest
from placers import reached, ready
from placers_under_load import PlacersUnderLoad
from waiting import until

from kelpfront.lab.fleet.lists import ListService
from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.fleet.settings import config_json, whole_list
from kelpfront.lab.platform import Json, Machine, Peer, accepts, event, line, member, offer

READY_S, SHARE = 10.0, 0.2  # of the process's own time, at a fifth of a core


@pytest.fixture
async def service() -> AsyncIterator[ListService]:
    its = ListService()
    await its.start()
    yield its
    await its.stop()


@pytest.mark.parametrize("state", ["up", "silent", "slow", "down"])
async def test_a_start_with_400_machines_is_ready_in_its_share_of_a_core(
    service: ListService, tmp_path: Path, state: str
) -> None:
    service.updates = [whole_list(1, 400)]
    if state == "silent":
        service.rate = 0.001  # an answer each 1,000 s
    elif state == "slow":
        service.rate = 0.5
    elif state == "down":
        await service.stop()
    known = {"index": 1, "updates": [whole_list(1, 400)]}
    port = free_port()
    placer = PlacerProcess(
        "p0", config_json(0, 16, f"127.0.0.1:{port}", f"127.0.0.1:{service.port}", known), tmp_path
    )
    try:
        await placer.start()
        await ready(placer)
        times = psutil.Process(placer.pid).cpu_times()
        assert (times.user + times.system) / SHARE < READY_S
        assert await placer.end() == 0
    finally:
        await placer.kill()


@pytest.fixture
async def loaded(service: ListService, tmp_path: Path) -> AsyncIterator[PlacersUnderLoad]:
    made = PlacersUnderLoad(tmp_path, service)
    yield made
    await made.stop()


async def test_placers_restarted_in_a_discovery_outage_offer_nothing_to_a_draining_machine(
    loaded: PlacersUnderLoad,
) -> None:
    """Their files know of no drain. It is notified when the list is back, two of three placers restarted."""
    await loaded.start()
    service, restarted = loaded.service, loaded.placers[:2]
    await service.stop()
    service.updates.append(loaded.drain)
    for placer in restarted:
        await placer.kill()
        await placer.start()
    for placer in restarted:
        await until(lambda placer=placer: b"coordinator lost" in placer.log_path.read_bytes())  # type: ignore[misc]
        assert await reached(placer) is None
    await service.start()
    notified_at = time.monotonic()
    for placer in restarted:
        (await ready(placer)).cut()
    await until(lambda: len(loaded.offers_after("m-2", notified_at)) > 30)
    assert loaded.offers_after("m-1", notified_at) == []
    assert all(placer.alive for placer in loaded.placers)


class Client:
    """An client on one connection: what it asked, and all that it was told, by call."""

    def __init__(self, peer: Peer, first: int) -> None:
        self.peer, self.number = peer, first
        self.asked: list[str] = []
        self.told: dict[str, list[str]] = {}
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while (message := await self.peer.read()) is not None:
            self.told.setdefault(message["call"], []).append(message["op"])

    def ask(self) -> None:
        self.number += 1
        self.asked.append(f"{self.number:016x}")
        self.peer.say(offer(self.asked[-1], cls=("easy", "keyed", "once")[self.number % 3]))

    @property
    def answered(self) -> bool:
        return all(call in self.told for call in self.asked)


class CountingMachines:
    """Machines that accept what they are offered after 30 ms, end it after 150 ms, and count offers by id."""

    def __init__(self, count: int) -> None:
        self.starts: dict[str, int] = {}
        self.machines = [Machine(f"m-{number}", self._count) for number in range(count)]

    async def _count(self, machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] != "offer":
            await accepts(machine, peer, message)
            return
        call = message["call"]
        self.starts[call] = self.starts.get(call, 0) + 1
        loop = asyncio.get_running_loop()
        loop.call_later(0.03, peer.say, line("accept", call, desc="here"))
        loop.call_later(0.15, peer.say, line("end", call, why=16))


async def three_incarnations(placer: PlacerProcess, first: int, clients: list[Client]) -> None:
    """Starts and ends the placer three times; its client goes on for 0.6 s after each SIGTERM."""
    for incarnation in range(3):
        await placer.start()
        client = Client(await ready(placer), first + 10_000 * incarnation)
        clients.append(client)
        for _ in range(40):
            client.ask()
            await asyncio.sleep(0.01)
        ending = asyncio.create_task(placer.end())
        ends_at = time.monotonic() + 0.6
        while time.monotonic() < ends_at:
            client.ask()
            await asyncio.sleep(0.01)
        assert await ending == 0
        await client.reading
        assert client.answered


async def test_restarts_under_load_answer_each_request_once_and_start_nothing_twice(
    service: ListService, tmp_path: Path
) -> None:
    """Three lives of two placers each. Clients go on for 0.6 s after SIGTERM: they do not know of it yet."""
    counting = CountingMachines(3)
    for machine in counting.machines:
        await machine.start()
    whole = event(1, *(member(m.name, m.address) for m in counting.machines), whole=True)
    service.updates = [whole]
    placers = []
    for number in range(2):
        listen, coordinator = f"127.0.0.1:{free_port()}", f"127.0.0.1:{service.port}"
        config = config_json(number, 2, listen, coordinator, {"index": 1, "updates": [whole]})
        placers.append(PlacerProcess(f"p{number}", config, tmp_path))
    clients: list[Client] = []
    try:
        await asyncio.gather(
            *(three_incarnations(placer, 1_000_000 * n, clients) for n, placer in enumerate(placers, 1))
        )
    finally:
        for placer in placers:
            await placer.kill()
        for machine in counting.machines:
            machine.die()
    asked = [call for client in clients for call in client.asked]
    told = {call: ops for client in clients for call, ops in client.told.items()}
    assert len(asked) > 300
    assert {told[call][0] for call in asked} <= {"accept", "end"}
    assert all(ops == ["end"] or ops == ["accept", "end"] or ops == ["accept"] for ops in told.values())
    assert sum(told[call][0] == "accept" for call in asked) > 0.9 * len(asked)
    assert [call for call in asked if counting.starts.get(call, 0) > 1] == []
