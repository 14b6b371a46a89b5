"""Tests of events long after the start: complete lists, reloads with drains, silence, idle hours.

The table in docs/design/platform.md lists these combinations of events.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from collections import deque
from collections.abc import AsyncIterator
from pathlib import Path

import platforms
import psutil
import pytest
from core_stage import NOW, CoreFixture
from placers import ready
from placers_under_load import PlacersUnderLoad
from platforms import PlacerFixture, expect_ops
from test_platform_discovery import apply_answer, table_with_two_machines
from waiting import until

from kelpfront.lab.fleet.lists import ListService
from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.fleet.settings import config_json
from kelpfront.lab.platform import CALL, Coordinator, Json, Machine, Peer, event, line, member, offer
from kelpfront.platform import endpoint_table
from kelpfront.platform.intents import KeepConnected, Offer, SendHealthCheck
from kelpfront.platform.messages import machine_id
from kelpfront.platform.timeouts import POLL_WAIT_MS
from kelpfront.scheduling.events import MachineState

SECOND, THIRD = "00000000000000a2", "00000000000000a3"
QUIET_PERIOD_S = 0.5  # time in which nothing further may arrive
HOUR_MS = 3_600_000.0
M1, M2, M3 = (machine_id(f"m-{number}") for number in (1, 2, 3))


@pytest.fixture
async def stage(tmp_path: Path) -> AsyncIterator[PlacerFixture]:
    new_stage = PlacerFixture(tmp_path)
    yield new_stage
    await new_stage.stop()


# ---- Complete lists while tasks run -----------------------------------------------------------------------


async def place_tasks_on(stage: PlacerFixture, *machines: Machine) -> dict[str, tuple[Peer, str]]:
    """Place a task on each of the machines; return client and request id by machine name."""
    placer = await stage.start(*machines)
    tasks: dict[str, tuple[Peer, str]] = {}
    for number in range(1, 100):
        client, call = await placer.client(), f"{number:016x}"
        client.say(offer(call, cls=("easy", "keyed", "once")[number % 3]))
        (accepted,) = await expect_ops(client, "accept")
        tasks.setdefault(accepted["desc"].removeprefix("at "), (client, call))
        if len(tasks) == len(machines):
            return tasks
    raise AssertionError(f"only {', '.join(tasks)} received a task")


async def test_a_later_complete_list_ends_tasks_on_machines_that_it_lacks(stage: PlacerFixture) -> None:
    """Of five machines, one is unchanged, one restarted, one drains, one is missing and one is new."""
    machines = [Machine(f"m-{number}") for number in range(1, 5)]
    running = await place_tasks_on(stage, *machines)
    placer, addresses = stage.running, {m.name: m.address for m in machines}
    opened = machines[0].opened
    whole = event(
        2,
        member("m-1", addresses["m-1"]),
        member("m-2", addresses["m-2"], up_since_ms=placer.now()),
        member("m-3", addresses["m-3"], "Terminating"),
        member("m-5", addresses["m-4"]),  # at the address of the missing machine
        whole=True,
    )
    stage.coordinator.events.append(whole)
    for name in ("m-2", "m-4"):
        client, call = running[name]
        while (message := await client.read()) is not None and message["call"] != call:
            pass
        assert message is not None
        assert (message["op"], message["why"]) == ("end", 41)
    assert placer.core.endpoints.index == 2
    assert set(placer.core.endpoints.machines) == {machine_id(name) for name in ("m-1", "m-2", "m-3", "m-5")}
    for name in ("m-1", "m-3"):  # their tasks run on, and their ends are reported
        client, call = running[name]
        next(m for m in machines if m.name == name).peers[0].say(line("end", call, why=16))
        (ended,) = await expect_ops(client, "end")
        assert (ended["call"], ended["why"]) == (call, 16)
    assert machines[0].opened == opened  # its connections were not touched
    offers_before = len(machines[2].offers())
    for number in range(0xB1, 0xC1):
        client = await placer.client()
        client.say(offer(f"{number:016x}"))
        await expect_ops(client, "accept")
    assert len(machines[2].offers()) == offers_before


async def test_the_same_complete_list_again_changes_nothing(stage: PlacerFixture) -> None:
    machines = [Machine("m-1"), Machine("m-2")]
    running = await place_tasks_on(stage, *machines)
    opened = [machine.opened for machine in machines]
    members = [member(m.name, m.address) for m in machines]
    stage.coordinator.events += [event(index, *members, whole=True) for index in (2, 3)]
    await until(lambda: stage.running.core.endpoints.index == 3)
    await asyncio.sleep(QUIET_PERIOD_S)
    assert [machine.opened for machine in machines] == opened
    assert stage.running.core.counters.tasks_lost == 0
    for machine in machines:
        client, call = running[machine.name]
        machine.peers[0].say(line("end", call, why=16))
        (ended,) = await expect_ops(client, "end")
        assert ended["why"] == 16


@pytest.mark.parametrize(("cls", "answer"), [("easy", "accept"), ("once", "end")])
async def test_a_complete_list_without_the_machine_of_an_offer_in_flight(
    stage: PlacerFixture, cls: str, answer: str
) -> None:
    """The offer may have been executed: a repeatable task is retried elsewhere, any other one fails."""
    held: list[Peer] = []

    async def hold_offer(_machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer":
            held.append(peer)

    machine, other = Machine("m-1", hold_offer), Machine("m-2")
    placer = await stage.start(machine)
    await other.start()
    stage.machines["m-2"] = other
    client = await placer.client()
    client.say(offer(cls=cls))
    await until(lambda: held)
    stage.coordinator.events.append(event(2, member("m-2", other.address), whole=True))
    (reply,) = await expect_ops(client, answer)
    assert reply.get("why") == (None if cls == "easy" else 41)
    held[0].say(line("accept", CALL, desc="late"))
    client.say(line("test", "00000000000000f0", why=0))
    await expect_ops(client, "tested")  # no other message precedes it
    assert len(other.offers()) == (cls == "easy")
    assert len(machine.offers()) == 1


def test_an_older_list_reverses_neither_drains_nor_removals() -> None:
    """Guards against offers to a draining machine that a service with an older list reports as ready."""
    table = table_with_two_machines()
    apply_answer(
        table, 3, event(2, member("m-1", phase="Terminating")), event(3, member("m-2", phase="Gone"))
    )
    apply_answer(table, 1)
    assert table.poll_index == 0  # the index went back: the complete list is requested
    apply_answer(table, 1, event(1, member("m-1"), member("m-2"), whole=True))
    assert {ident: m.state for ident, m in table.machines.items()} == {M1: MachineState.DRAINING}
    assert table.poll_index == 1  # later events are requested from this index on
    apply_answer(table, 2, event(2, member("m-1"), member("m-2"), member("m-3")))  # still behind
    assert {ident: m.state for ident, m in table.machines.items()} == {
        M1: MachineState.DRAINING,
        M3: MachineState.READY,
    }
    apply_answer(table, 4, event(3), event(4, member("m-1"), member("m-2")))  # the service has caught up
    assert {m.state for m in table.machines.values()} == {MachineState.READY}
    assert len(table.machines) == 3


def test_a_newer_incarnation_of_a_machine_is_taken_from_an_older_list() -> None:
    table = table_with_two_machines()
    apply_answer(
        table, 3, event(2, member("m-1", phase="Terminating")), event(3, member("m-2", phase="Gone"))
    )
    apply_answer(table, 1)
    restarted = [member("m-1", up_since_ms=5.0), member("m-2", up_since_ms=5.0)]
    apply_answer(table, 1, event(1, *restarted, whole=True))
    assert {ident: m.state for ident, m in table.machines.items()} == dict.fromkeys(
        (M1, M2), MachineState.READY
    )


# ---- Reloads with drains ----------------------------------------------------------------------------------


def reload_with_updates(stage: PlacerFixture, coordinator: str, *updates: Json) -> None:
    """Add updates to the configuration file, and send SIGHUP."""
    raw = json.loads((stage.path / "config.json").read_text())
    raw["coordinator"] = coordinator
    raw["known"]["updates"] += updates
    raw["known"]["index"] = updates[-1]["index"]
    (stage.path / "config.json").write_text(json.dumps(raw))
    os.kill(os.getpid(), signal.SIGHUP)


@pytest.mark.parametrize("moved", [True, False], ids=["moved", "the same address"])
@pytest.mark.parametrize("reported", ["nothing", "an older list", "more at once"])
async def test_a_drain_by_reload_is_kept_whatever_the_coordinator_sends(
    stage: PlacerFixture, reported: str, *, moved: bool
) -> None:
    """`known` reports a drain; the coordinator has an older list or reports more events at the same time."""
    drained, other = Machine("m-1"), Machine("m-2")
    placer = await stage.start(drained, other)
    await until(lambda: len(stage.coordinator.asked) > 1)
    new = Coordinator()
    await new.start()
    whole = event(1, *(member(m.name, m.address) for m in (drained, other)), whole=True)
    drain = event(2, member("m-1", drained.address, "Terminating"))
    polled = new if moved else stage.coordinator
    if reported == "an older list":
        polled.events.append(whole)
        if moved:  # it answers with its own last index, not with the requested one
            polled.noise = [json.dumps({"index": 1, "updates": []}).encode()]
    elif reported == "more at once":
        polled.events += [whole, drain, event(3, member("m-3", phase="Terminating"))]
    reload_with_updates(stage, polled.address, drain)
    await until(lambda: placer.core.endpoints.index >= 2)
    asked = len(polled.asked)
    await until(lambda: len(polled.asked) >= asked + 3)
    for number in range(0xB1, 0xC1):
        client = await placer.client()
        client.say(offer(f"{number:016x}", cls=("easy", "keyed", "once")[number % 3]))
        (accepted,) = await expect_ops(client, "accept")
        assert accepted["desc"] == "at m-2"
    assert drained.offers() == []
    await new.stop()


async def test_a_drain_in_a_file_that_came_during_the_start_is_applied(stage: PlacerFixture) -> None:
    """Guards against a SIGHUP lost because its handler was not installed yet; the coordinator is silent."""
    await stage.coordinator.start()
    stage.coordinator.mute = True
    raw = platforms.raw_config(member("m-1"), coordinator=stage.coordinator.address)
    placer = stage.placer = platforms.Placer(stage.path / "config.json", raw)
    drain = event(2, member("m-1", phase="Terminating"))
    known = {"index": 2, "updates": [*raw["known"]["updates"], drain]}
    (stage.path / "config.json").write_text(json.dumps(raw | {"known": known}))
    placer.task = asyncio.create_task(placer.service.run())
    await until(lambda: placer.core.endpoints.index == 2)
    assert placer.core.endpoints.machines[M1].state is MachineState.DRAINING


async def test_a_drain_by_reload_is_kept_under_load_while_the_coordinator_is_behind(tmp_path: Path) -> None:
    """With three processes. The service lists the draining machine as ready until it has caught up."""
    service = ListService()
    await service.start()
    loaded = PlacersUnderLoad(tmp_path, service)
    try:
        await loaded.start()
        for placer in loaded.placers:
            placer.config["known"] = {"index": 2, "updates": [loaded.complete, loaded.drain]}
            placer.write_config()
            placer.signal(signal.SIGHUP)
        notified_at = time.monotonic()
        await until(lambda: len(loaded.offers_after("m-2", notified_at)) > 30)
        service.tell(loaded.drain)
        answers = service.count("answer")
        await until(lambda: service.count("answer") > answers + 6)
        assert loaded.offers_after("m-1", notified_at) == []
        assert all(placer.alive for placer in loaded.placers)
    finally:
        await loaded.stop()
        await service.stop()


# ---- After many hours -------------------------------------------------------------------------------------


class VirtualTimeFixture(CoreFixture):
    """A core in virtual time; machines answer health checks unless they are in `silent`.

    The coordinator answers once a second, as a poll is held open for that long.
    """

    def __init__(self, *members: Json) -> None:
        super().__init__(*members)
        self.silent: set[int] = set()
        self._answered = 0

    def pass_time(self, ms: float, *, list_answers: bool = True, step: float = 100.0) -> None:
        end = self.now + ms
        while self.now < end:
            self.advance(min(step, end - self.now))
            for health_check in self.intents_of(SendHealthCheck)[self._answered :]:
                self._answered += 1
                if health_check.machine not in self.silent:
                    self.machine(health_check.machine, "tested", health_check.check_id, why=1)
            if list_answers and self.now >= self.core.freshness.last_answer_at + POLL_WAIT_MS:
                self.events({"index": self.core.endpoints.index, "updates": []})

    @property
    def ops(self) -> list[str]:
        return [message["op"] for _, message in self.sent_to_clients]


@pytest.mark.parametrize("cls", ["easy", "keyed", "once"])
def test_a_machine_that_becomes_unresponsive_after_an_hour_is_declared_lost_in_time(cls: str) -> None:
    stage = VirtualTimeFixture(member("m-1"), member("m-2"))
    ident = stage.place(cls=cls)
    stage.pass_time(HOUR_MS)
    assert stage.ops == ["accept"]
    stage.silent.add(ident)
    stage.pass_time(1_900.0)  # its last message may be 5 s old
    assert stage.ops == ["accept"]
    stage.pass_time(6_000.0)
    assert stage.ops == ["accept", "end"]
    assert not stage.core.requests
    stage.silent.clear()  # an end reported after its return is not forwarded again
    stage.machine(ident, "end", why=16)
    stage.pass_time(60_000.0)
    assert stage.ops == ["accept", "end"]


def test_a_list_that_becomes_stale_after_an_hour_defers_offers_and_its_drain_is_kept() -> None:
    stage = VirtualTimeFixture(member("m-1"))
    machine = stage.place()
    stage.pass_time(HOUR_MS)
    stage.pass_time(6_000.0, list_answers=False)
    stage.client(offer(SECOND))
    stage.send_offer(SECOND)
    stage.machine(machine, "accept", SECOND, desc="given")
    stage.pass_time(1_500.0, list_answers=False)
    stage.client(offer(THIRD, left="20000"))
    stage.pass_time(1_000.0, list_answers=False)
    assert not [intent for intent in stage.intents_of(Offer) if intent.request_id == THIRD]
    stage.events({"index": 2, "updates": [event(2, member("m-1", phase="Terminating"))]})
    stage.pass_time(60_000.0)
    assert not [intent for intent in stage.intents_of(Offer) if intent.request_id == THIRD]
    assert stage.ops == ["accept", "accept", "end"]  # the third was refused; the running tasks continue
    stage.machine(machine, "end", why=16)
    assert stage.ops[-1] == "end"
    assert stage.sent_to_clients[-1][1]["call"] == CALL


def test_a_placer_idle_for_half_a_day_has_not_grown_and_serves() -> None:
    """For half a day no requests and only empty list answers; then a request and a health check arrive."""
    stage = VirtualTimeFixture(*(member(f"m-{number}") for number in range(40)))
    stage.pass_time(60_000.0, step=1_000.0)
    timers, logs = len(stage.core.timers._heap), len(stage.core.log)
    stage.pass_time(12 * HOUR_MS, step=1_000.0)
    core = stage.core
    assert stage.now >= NOW + 12 * HOUR_MS
    assert len(core.timers._heap) <= timers
    assert len(core.log) == logs
    assert not core.outbox
    assert not core.requests
    assert not core.health_checks
    assert not core.freshness.is_stale
    assert not stage.intents_of(Offer)
    assert not stage.intents_of(KeepConnected)
    stage.place()
    stage.client(line("test", "00000000000000f0", why=0))
    assert stage.ops == ["accept", "tested"]
    assert stage.sent_to_clients[-1][1]["why"] == 1


def count_entries(core: object) -> int:
    """Return the total number of entries of all containers that kelpfront objects below `core` hold."""
    entries, seen, pending = 0, {id(core)}, [core]
    while pending:
        current = pending.pop()
        children: list[object] = []
        if isinstance(current, dict):
            children = [*current.keys(), *current.values()]
        elif isinstance(current, list | tuple | set | deque):
            children = list(current)
        elif type(current).__module__.startswith("kelpfront"):
            names = {*getattr(current, "__dict__", {})}
            names |= {name for base in type(current).__mro__ for name in getattr(base, "__slots__", ())}
            children = [getattr(current, name) for name in names if hasattr(current, name)]
        entries += len(children) if isinstance(current, dict | list | set | deque) else 0
        for child in children:
            if id(child) not in seen:
                seen.add(id(child))
                pending.append(child)
    return entries


def test_an_idle_placer_does_not_grow_as_its_machines_are_replaced(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All 20 machines are replaced thirty times over, each by one with a new name."""
    monkeypatch.setattr(endpoint_table, "MAX_REMEMBERED_REMOVALS", 10)
    stage = VirtualTimeFixture(*(member(f"m-{number}") for number in range(20)))

    def replace_machines(times: int) -> int:
        for _ in range(times):
            index = stage.core.endpoints.index + 1
            removed, added = f"m-{index - 2}", f"m-{index + 18}"
            update = event(index, member(removed, phase="Gone"), member(added, up_since_ms=stage.now))
            stage.events({"index": index, "updates": [update]})
            stage.pass_time(1_000.0, step=1_000.0)
        return count_entries(stage.core)

    before = replace_machines(100)
    assert replace_machines(500) <= before * 1.05
    assert len(stage.core.endpoints.machines) == 20
    stage.place()
    assert stage.ops == ["accept"]


async def test_idle_processes_do_not_grow_and_still_serve(tmp_path: Path) -> None:
    """Two processes without requests receive 300 list changes; descriptors and memory do not grow."""
    machine = Machine("m-1")
    await machine.start()
    whole = event(1, member("m-1", machine.address), whole=True)
    service = ListService(updates=[whole])
    await service.start()
    placers = []
    for number in range(2):
        addresses = f"127.0.0.1:{free_port()}", f"127.0.0.1:{service.port}"
        config = config_json(number, 2, *addresses, {"index": 1, "updates": [whole]})
        placers.append(PlacerProcess(f"p{number}", config, tmp_path))

    async def report_changes(first: int, last: int) -> None:
        for index in range(first, last):
            removed = member(f"x-{index - 1}", phase="Gone")
            service.tell(event(index, removed, member(f"x-{index}", f"127.0.0.1:{9 + index % 2}")))
            await asyncio.sleep(0.01)
        answers = service.count("answer")
        await until(lambda: service.count("answer") >= answers + 4)

    try:
        for placer in placers:
            await placer.start()
        for placer in placers:
            (await ready(placer)).cut()
        await report_changes(2, 102)
        processes = [psutil.Process(placer.pid) for placer in placers]
        before = [(process.num_fds(), process.memory_info().rss) for process in processes]
        await report_changes(102, 302)
        for process, (descriptors, memory) in zip(processes, before, strict=True):
            assert process.num_fds() <= descriptors + 2
            assert process.memory_info().rss <= memory + (4 << 20)
        for placer in placers:
            client = await ready(placer)
            client.say(offer(f"{placer.port:016x}"))
            await expect_ops(client, "accept")
            assert placer.alive
            assert not placer.ends
    finally:
        for placer in placers:
            await placer.kill()
        await service.stop()
        machine.die()
