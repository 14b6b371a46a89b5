"""A placer keeps the descriptors that it needs for its own use, whoever uses up the others."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st
from placers import ready
from waiting import until

from kelpfront.lab.fleet.lists import ListService
from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.fleet.settings import config_json
from kelpfront.lab.platform import Json, Machine, Peer, Script, accepts, event, line, member, offer
from kelpfront.lab.process import raise_file_limit
from kelpfront.platform.background_tasks import BackgroundTasks
from kelpfront.platform.config import Address
from kelpfront.platform.connection_pool import ConnectionPool, PoolContext
from kelpfront.platform.core_access import CoreAccess
from kelpfront.platform.descriptor_budget import DescriptorBudget
from kelpfront.platform.descriptor_shares import (
    MIN_CLIENT_CONNECTIONS,
    OPENED_AFTER_START,
    RESERVED_FOR_FILES,
    RESERVED_FOR_POLLS,
    DescriptorShares,
)
from kelpfront.platform.intents import SendHealthCheck
from kelpfront.platform.messages import Cause

IDLE_CLIENTS = 300
PARTIAL_LINE = b'{"op":"offer","ca'


class IdleClients:
    """Clients that keep connections open; a third each is silent, tests once, or sends part of a line.

    Clients whose connection is closed reconnect.
    """

    def __init__(self, port: int) -> None:
        self._port, self.open_count = port, 0
        self._jobs = [asyncio.create_task(self._hold_connection(number)) for number in range(IDLE_CLIENTS)]

    async def _hold_connection(self, number: int) -> None:
        sent = (b"", line("test", f"{number:016x}", why=0), PARTIAL_LINE)[number % 3]
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                self.open_count += 1
                try:
                    writer.write(sent)
                    while await reader.read(4096):
                        pass
                finally:
                    self.open_count -= 1
                    writer.transport.abort()
            await asyncio.sleep(0.05)

    async def stop(self) -> None:
        for job in self._jobs:
            job.cancel()
        await asyncio.gather(*self._jobs, return_exceptions=True)


@dataclass
class Scene:
    """A placer with a descriptor limit, the list service, and more machines than that limit."""

    path: Path
    service: ListService = field(default_factory=ListService)
    machines: list[Machine] = field(default_factory=list)
    placer: PlacerProcess | None = None
    idle_clients: IdleClients | None = None
    most_open: int = 0

    async def start(self, sockets: int, count: int, script: Script = accepts) -> PlacerProcess:
        raise_file_limit()
        self.machines = [Machine(f"s-{number:08x}", script) for number in range(count)]
        for machine in self.machines:
            await machine.start()
        await self.service.start()
        whole = event(1, *(member(machine.name, machine.address) for machine in self.machines), whole=True)
        self.service.updates = [whole]
        config = config_json(
            0,
            1,
            f"127.0.0.1:{free_port()}",
            f"127.0.0.1:{self.service.port}",
            {"index": 1, "updates": [whole]},
        )
        config["limits"]["sockets"] = sockets
        self.placer = PlacerProcess("p0", config, self.path, files=sockets)
        await self.placer.start()
        return self.placer

    async def watch(self, stop: asyncio.Event) -> None:
        """Record the highest number of open descriptors of the placer until `stop` is set."""
        assert self.placer is not None
        while not stop.is_set():
            with contextlib.suppress(OSError):
                self.most_open = max(self.most_open, len(os.listdir(f"/proc/{self.placer.pid}/fd")))
            await asyncio.sleep(0.002)

    async def stop(self) -> None:
        if self.idle_clients is not None:
            await self.idle_clients.stop()
        if self.placer is not None:
            await self.placer.kill()
        for machine in self.machines:
            machine.die()
        await self.service.stop()


@pytest.fixture
async def scene(tmp_path: Path) -> AsyncIterator[Scene]:
    made = Scene(tmp_path)
    yield made
    await made.stop()


async def is_served(placer: PlacerProcess, number: int, *, may_be_rejected: bool = False) -> bool:
    """Return whether a new client gets its task placed; it may have to reconnect.

    Args:
        placer: the placer to ask.
        number: the id of the first request.
        may_be_rejected: whether a rejection counts too, as nothing is offered in a long discovery outage.
    """
    wanted = {("accept", None), ("end", Cause.CONGESTION)} if may_be_rejected else {("accept", None)}
    async with asyncio.timeout(20.0):
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                peer = Peer(*await asyncio.open_connection("127.0.0.1", placer.port))
                try:
                    number += 1
                    peer.say(offer(f"{number:016x}", cls="easy", left="400" if may_be_rejected else "2000"))
                    answer = await peer.read()
                finally:
                    peer.cut()
                if answer is not None and (answer["op"], answer.get("why")) in wanted:
                    return True
            await asyncio.sleep(0.02)


@pytest.mark.parametrize(("sockets", "outage"), [(64, "refuses"), (64, "silent"), (256, "refuses")])
async def test_idle_clients_in_a_discovery_outage_leave_descriptors_for_the_placers_own_use(
    scene: Scene, sockets: int, outage: str
) -> None:
    """Guards against idle clients that use up the descriptors for polls, machines, logs and accepts.

    The placer has tasks on more machines than it has descriptors.
    """
    placer = await scene.start(sockets, count=sockets)
    client = await ready(placer)
    stop = asyncio.Event()
    watching = asyncio.create_task(scene.watch(stop))
    if outage == "silent":
        scene.service.rate = 0.001  # one answer per 1,000 s
    else:
        await scene.service.stop()
    for number, machine in enumerate(scene.machines):
        client.say(offer(f"{0xF000 + number:016x}", extras=f"cores:1;memory:1;service:1;at:{machine.name}"))
    scene.idle_clients = IdleClients(placer.port)
    await until(lambda: b"coordinator lost" in placer.log_path.read_bytes())
    for number in range(20):
        assert await is_served(placer, 0xA0000 + 0x100 * number, may_be_rejected=True)
    await until(lambda: placer.log_path.read_bytes().count(b'"figures"') >= 2)
    if outage == "silent":
        await scene.service.stop()
        scene.service = ListService(updates=scene.service.updates)
        scene.service.port = int(placer.config["coordinator"].rpartition(":")[2])
    answered = scene.service.count("answer")
    scene.service.updates.append(event(2, member(scene.machines[0].name, scene.machines[0].address, "Gone")))
    await scene.service.start()
    await until(lambda: scene.service.count("answer") > answered)
    for number in range(20):
        assert await is_served(placer, 0xB0000 + 0x100 * number)
    stop.set()
    await watching
    assert placer.alive
    log = placer.log_path.read_bytes()
    assert b"Errno 24" not in log
    assert b"out of system resource" not in log
    assert b"Traceback" not in log
    assert scene.most_open < sockets


@given(
    sockets=st.integers(64, 4096),
    at_start=st.integers(0, 30),
    steps=st.lists(st.sampled_from(["client", "machine", "client idles", "client left", "machine closed"])),
    initial_clients=st.integers(0, 4096),
)
def test_no_order_of_connections_uses_the_descriptors_reserved_for_the_placer(
    sockets: int, at_start: int, steps: list[str], initial_clients: int
) -> None:
    """Guards against shares that exceed the descriptors. The initial clients are idle, later ones in use."""
    shares = DescriptorShares.of(sockets, at_start)
    reserved = max(RESERVED_FOR_FILES, at_start + OPENED_AFTER_START) + RESERVED_FOR_POLLS
    assert shares.total + 2 * shares.burst + reserved <= sockets or shares.total == 4
    assert shares.min_clients >= 2
    assert shares.machines >= 2
    idle, used, machines = min(initial_clients, shares.max_clients_with(0)), 0, 0
    for step in [*["machine"] * min(initial_clients, 60), *steps]:
        match step:
            case "client":  # a new client, in use from then on
                while idle and idle + used >= shares.max_clients_with(machines):
                    idle -= 1
                used += idle + used < shares.max_clients_with(machines)
            case "machine":
                while idle and machines < shares.max_machines and idle + used + machines >= shares.total:
                    idle -= 1
                machines += machines < shares.machines or shares.machine_may_open(machines, idle + used)
            case "client idles" if used:
                idle, used = idle + 1, used - 1
            case "client left" if idle:
                idle -= 1
            case "machine closed" if machines:
                machines -= 1
        assert idle + used + machines <= shares.total
    assert shares.max_clients_with(machines) >= min(MIN_CLIENT_CONNECTIONS, shares.total // 2)


def test_machines_above_their_limit_or_with_too_many_clients_in_use_get_no_descriptor() -> None:
    shares = DescriptorShares.of(64)
    assert shares.machine_may_open(shares.max_machines - 1, shares.min_clients)
    assert not shares.machine_may_open(shares.max_machines, 0)
    assert not shares.machine_may_open(shares.max_machines - 1, shares.min_clients + 1)


async def test_a_pool_that_has_to_send_gets_a_descriptor_before_those_that_only_receive() -> None:
    """Guards against a health check that waits behind a thousand machines that have nothing to send."""
    order: list[str] = []

    class Pool:
        def __init__(self, name: str) -> None:
            self.name = name

        def open_if_needed(self) -> None:
            order.append(self.name)
            if self.name != "listens":
                budget.stop_waiting(cast(ConnectionPool, self))

    budget = DescriptorBudget(0, lambda: False)
    pools = [cast(ConnectionPool, Pool(name)) for name in ("listens", "listens too", "sends", "sends later")]
    for pool, to_send in zip(pools, (False, False, False, True), strict=True):
        budget.wait(pool, to_send=to_send)
    budget.wait(pools[2], to_send=True)
    budget.wait(pools[2], to_send=False)  # it keeps its place
    budget.in_use = 2
    budget.release()
    budget.release()
    await until(lambda: order)
    assert order == ["sends later", "sends", "listens"]
    assert budget.in_use == 0


async def test_a_pool_whose_message_was_abandoned_delays_no_pool_that_has_to_send() -> None:
    limits = SimpleNamespace(reached=lambda _limit: None)
    core: Any = SimpleNamespace(has_running_tasks=lambda _machine: True, limits=limits)
    budget = DescriptorBudget(0, lambda: False)
    context = PoolContext(CoreAccess(core, lambda: 0.0, lambda: None), budget, BackgroundTasks(), 1.0, 1.0)
    address = Address("127.0.0.1", 9)
    abandoned, sends = ConnectionPool(1, address, context), ConnectionPool(2, address, context)
    test = SendHealthCheck(2, "00000000000000a1", b"")
    budget.wait(abandoned, to_send=True)
    sends.send(test)
    tried: list[ConnectionPool] = []
    for pool in (abandoned, sends):
        pool.open_if_needed = partial(_record_and_try, tried, pool, pool.open_if_needed)  # type: ignore[method-assign]
    budget.serve_waiting()
    assert tried[:2] == [abandoned, sends]
    tried.clear()
    budget.serve_waiting()
    assert tried == [sends, abandoned]


def _record_and_try(tried: list[ConnectionPool], pool: ConnectionPool, again: Callable[[], None]) -> None:
    tried.append(pool)
    again()


async def test_the_ends_of_tasks_on_more_machines_than_descriptors_are_all_received(scene: Scene) -> None:
    """Guards against a machine that is considered dead because all descriptors are used for other machines.

    Each machine reports the end of its task when it receives a health check, not before.
    """

    async def script(machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "test":
            peer.say(line("tested", message["call"], why=1))
            peer.say(line("end", f"{0xF000 + int(machine.name[2:], 16):016x}", why=16))

    placer = await scene.start(64, count=80, script=script)
    client = await ready(placer)
    stop = asyncio.Event()
    watching = asyncio.create_task(scene.watch(stop))
    for number, machine in enumerate(scene.machines):
        client.say(offer(f"{0xF000 + number:016x}", extras=f"cores:1;memory:1;service:1;at:{machine.name}"))
    ends: dict[str, int] = {}
    while len(ends) < len(scene.machines):
        message = await client.read()
        assert message is not None
        assert message["op"] == "end"
        ends[message["call"]] = message["why"]
    stop.set()
    await watching
    assert set(ends.values()) == {16}
    assert scene.most_open < 64
    assert b"Errno 24" not in placer.log_path.read_bytes()
