"""Tests of placer processes under faults of the services that they depend on."""

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

READY_S, CORE_SHARE = 10.0, 0.2  # time limit to readiness, if the process has a fifth of a core


@pytest.fixture
async def service() -> AsyncIterator[ListService]:
    list_service = ListService()
    await list_service.start()
    yield list_service
    await list_service.stop()


@pytest.mark.parametrize("state", ["up", "silent", "slow", "down"])
async def test_a_start_with_400_machines_is_ready_in_its_share_of_a_core(
    service: ListService, tmp_path: Path, state: str
) -> None:
    service.updates = [whole_list(1, 400)]
    if state == "silent":
        service.rate = 0.001  # one answer per 1,000 s
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
        assert (times.user + times.system) / CORE_SHARE < READY_S
        assert await placer.end() == 0
    finally:
        await placer.kill()


@pytest.fixture
async def loaded(service: ListService, tmp_path: Path) -> AsyncIterator[PlacersUnderLoad]:
    placers = PlacersUnderLoad(tmp_path, service)
    yield placers
    await placers.stop()


async def test_placers_restarted_in_a_discovery_outage_offer_nothing_to_a_draining_machine(
    loaded: PlacersUnderLoad,
) -> None:
    """The files lack the drain, which is reported after the outage; two of three placers were restarted."""
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
    """A client on one connection: its request ids, and the messages received for each."""

    def __init__(self, peer: Peer, first: int) -> None:
        self.peer, self.number = peer, first
        self.request_ids: list[str] = []
        self.received: dict[str, list[str]] = {}
        self.reading = asyncio.create_task(self._read())

    async def _read(self) -> None:
        while (message := await self.peer.read()) is not None:
            self.received.setdefault(message["call"], []).append(message["op"])

    def send_request(self) -> None:
        self.number += 1
        self.request_ids.append(f"{self.number:016x}")
        self.peer.say(offer(self.request_ids[-1], cls=("easy", "keyed", "once")[self.number % 3]))

    @property
    def answered(self) -> bool:
        return all(call in self.received for call in self.request_ids)


class CountingMachines:
    """Machines that accept each offer after 30 ms, end it after 150 ms, and count offers by request id."""

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
    """Start and stop the placer three times; its client sends requests for 0.6 s after each SIGTERM."""
    for incarnation in range(3):
        await placer.start()
        client = Client(await ready(placer), first + 10_000 * incarnation)
        clients.append(client)
        for _ in range(40):
            client.send_request()
            await asyncio.sleep(0.01)
        ending = asyncio.create_task(placer.end())
        ends_at = time.monotonic() + 0.6
        while time.monotonic() < ends_at:
            client.send_request()
            await asyncio.sleep(0.01)
        assert await ending == 0
        await client.reading
        assert client.answered


async def test_restarts_under_load_answer_each_request_once_and_start_nothing_twice(
    service: ListService, tmp_path: Path
) -> None:
    """Two placers with three incarnations each. Clients, not yet notified, go on for 0.6 s after SIGTERM."""
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
    requested = [call for client in clients for call in client.request_ids]
    received = {call: ops for client in clients for call, ops in client.received.items()}
    assert len(requested) > 300
    assert {received[call][0] for call in requested} <= {"accept", "end"}
    assert all(ops == ["end"] or ops == ["accept", "end"] or ops == ["accept"] for ops in received.values())
    assert sum(received[call][0] == "accept" for call in requested) > 0.9 * len(requested)
    assert [call for call in requested if counting.starts.get(call, 0) > 1] == []
