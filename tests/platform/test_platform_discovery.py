"""Tests of the coordinator's endpoint list: gaps, restarts, silence, and a placer without a list."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import platforms
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platforms import DelayedConnections, Placer, PlacerFixture, expect_ops
from waiting import until

from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.platform import Coordinator, Json, Machine, event, line, member, offer
from kelpfront.platform import discovery_freshness, service
from kelpfront.platform.endpoint_events import EndpointEvent, parse_events
from kelpfront.platform.endpoint_table import EndpointTable, merge_events
from kelpfront.platform.log_records import LogRecords, OffersPaused, OffersResumed
from kelpfront.platform.messages import Cause, decode, machine_id
from kelpfront.platform.timeouts import DISCOVERY_STALE_MS
from kelpfront.scheduling.events import MachineState
from kelpfront.timers import Timers

SECOND = "00000000000000a2"
QUIET_PERIOD_S = 0.5  # time in which nothing may arrive
CONFIG = platforms.config(member("m-1"))


@pytest.fixture
async def stage(tmp_path: Path) -> AsyncIterator[PlacerFixture]:
    new_stage = PlacerFixture(tmp_path)
    yield new_stage
    await new_stage.stop()


def apply_answer(table: EndpointTable, index: int, *updates: Json) -> list[int]:
    """Apply an answer; return the indexes of the events that changed something."""
    changed_indexes = []
    for change in table.apply(*parse_events({"index": index, "updates": list(updates)}, CONFIG)):
        changed_indexes.append(change.event.index)
        for machine in change.removed:
            table.machines.pop(machine.id, None)
    return changed_indexes


def table_with_two_machines() -> EndpointTable:
    table = EndpointTable()
    assert apply_answer(table, 1, event(1, member("m-1"), member("m-2"), whole=True)) == [1]
    assert table.poll_index == 1
    return table


# ---- Gaps -------------------------------------------------------------------------------------------------


def test_events_without_endpoints_are_no_gap() -> None:
    table = table_with_two_machines()
    assert apply_answer(table, 4, {"index": 2}, event(3, member("m-3")), {"index": 4}) == [3]
    assert table.poll_index == 4
    assert not table.has_gap


@pytest.mark.parametrize(
    ("index", "updates"),
    [
        (4, [event(2, member("m-3")), event(4, member("m-4"))]),
        (3, [event(3, member("m-3"))]),
        (5, [event(2, member("m-3"))]),
        (5, []),
        (0, []),
    ],
    ids=["in the middle", "in front", "behind", "all", "numbers go back"],
)
def test_a_gap_leads_to_a_request_for_the_complete_list(index: int, updates: list[Json]) -> None:
    """Guards against a missed drain that is never requested again because the index has advanced past it."""
    table = table_with_two_machines()
    apply_answer(table, index, *updates)
    assert table.poll_index == 0
    whole = event(1, member("m-1"), member("m-2"), whole=True)
    assert apply_answer(table, 2, whole, event(2, member("m-1", phase="Terminating"))) == [2]
    assert table.machines[machine_id("m-1")].state is MachineState.DRAINING
    assert set(table.machines) == {machine_id("m-1"), machine_id("m-2")}
    assert not table.has_gap


def test_a_service_that_gives_no_complete_list_is_asked_for_it_again() -> None:
    table = table_with_two_machines()
    apply_answer(table, 4, event(4, member("m-4")))
    apply_answer(table, 5, event(4, member("m-4")), event(5, member("m-5")))
    assert table.poll_index == 0
    assert machine_id("m-5") in table.machines


NAMES = [f"m-{number}" for number in range(5)]
CHANGES = st.lists(st.tuples(st.sampled_from(NAMES), st.sampled_from(["Ready", "Terminating", "Gone"])))


@given(CHANGES, st.data())
def test_whatever_events_are_lost_the_endpoint_table_converges_to_the_services(
    changes: list[tuple[str, str]], data: st.DataObject
) -> None:
    """Answers omit events or end early; after each, the table is polled with its `poll_index`."""
    history = [event(1, member("m-0"), member("m-1"), whole=True)]
    history += [event(2 + n, member(name, phase=phase)) for n, (name, phase) in enumerate(changes)]
    table = EndpointTable()
    apply_answer(table, 1, history[0])
    answer_index = 1
    while answer_index < len(history):
        answer_index = data.draw(st.integers(answer_index, len(history)))
        later = history[table.poll_index : answer_index]
        kept = [update for update in later if table.poll_index == 0 or data.draw(st.integers(0, 3))]
        apply_answer(table, answer_index, *kept)
        assert table.poll_index == 0 or table.poll_index <= answer_index
        if answer_index == len(history):
            break
    while table.poll_index < len(history):
        apply_answer(table, len(history), *history[table.poll_index :])
    expected = merge_events(parse_events({"index": len(history), "updates": history}, CONFIG)[1])
    assert {m.id: m.state for m in table.machines.values()} == {
        entry.endpoint.id: entry.endpoint.state for entry in expected.entries
    }


def test_events_merge_into_one_list_from_the_last_complete_one_on() -> None:
    raw = [
        event(1, member("m-1"), whole=True),
        event(2, member("m-2")),
        event(3, member("m-3"), member("m-4"), whole=True),
        event(4, member("m-3", phase="Gone"), member("m-5")),
    ]
    merged = merge_events(parse_events({"index": 4, "updates": raw}, CONFIG)[1])
    assert isinstance(merged, EndpointEvent)
    assert (merged.index, merged.complete) == (4, True)
    assert [entry.name for entry in merged.entries] == ["m-4", "m-5"]


async def test_a_drain_that_was_left_out_of_an_answer_is_received(stage: PlacerFixture) -> None:
    machine = Machine("m-1")
    placer = await stage.start(machine)
    stage.coordinator.events += [
        event(1, member("m-1", machine.address), whole=True),
        event(2, member("m-1", machine.address, "Terminating")),
        event(3, member("m-9")),
    ]
    stage.coordinator.noise = [json.dumps({"index": 3, "updates": [event(3, member("m-9"))]}).encode()]
    await until(lambda: placer.core.endpoints.index == 3)
    await until(lambda: placer.core.endpoints.machines[machine_id("m-1")].state is MachineState.DRAINING)
    assert placer.core.counters.endpoint_list_gaps == 1
    assert 0 in stage.coordinator.asked


# ---- Before the first answer ------------------------------------------------------------------------------


async def test_clients_are_accepted_when_the_list_has_answered_not_when_it_failed(
    stage: PlacerFixture,
) -> None:
    """Guards against offers to draining machines: a placer started in an outage knows only its file."""
    await stage.coordinator.start()
    port = int(stage.coordinator.address.rpartition(":")[2])
    await stage.coordinator.stop()
    machine = Machine("m-1")
    await machine.start()
    stage.machines["m-1"] = machine
    raw = platforms.raw_config(member("m-1", machine.address), coordinator=f"127.0.0.1:{port}")
    placer = stage.placer = Placer(stage.path / "config.json", raw)
    placer.task = asyncio.create_task(placer.service.run())
    await until(lambda: placer.service.discovery.is_failing)
    assert not placer.service.port
    stage.coordinator.stopped = False
    stage.coordinator.events.append(event(2, member("m-1", machine.address, "Terminating")))
    await stage.coordinator.start(port)
    await until(lambda: placer.service.port)
    client = await placer.client()
    client.say(offer(left="400"))
    await expect_ops(client, "end")
    assert machine.offers() == []


async def test_a_placer_that_is_told_to_end_before_it_serves_ends(stage: PlacerFixture) -> None:
    stage.coordinator.mute = True
    await stage.coordinator.start()
    raw = platforms.raw_config(member("m-1"), coordinator=stage.coordinator.address)
    placer = stage.placer = Placer(stage.path / "config.json", raw)
    placer.task = asyncio.create_task(placer.service.run())
    await until(lambda: stage.coordinator.asked)
    os.kill(os.getpid(), signal.SIGTERM)
    async with asyncio.timeout(5):
        await placer.task
    assert not placer.service.port


async def test_a_start_that_finds_its_address_in_use_waits_for_it(stage: PlacerFixture) -> None:
    """A previous process keeps the address until the longest deadline; the new one may start before that."""
    previous = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = previous.sockets[0].getsockname()[1]
    await stage.coordinator.start()
    raw = platforms.raw_config(
        member("m-1"), coordinator=stage.coordinator.address, listen=f"127.0.0.1:{port}"
    )
    placer = stage.placer = Placer(stage.path / "config.json", raw)
    placer.task = asyncio.create_task(placer.service.run())
    await until(lambda: placer.service.discovery.has_answer)
    await asyncio.sleep(0.1)
    assert not placer.service.port
    assert not placer.task.done()
    previous.close()
    await previous.wait_closed()
    await until(lambda: placer.service.port == port)


# ---- New configurations -----------------------------------------------------------------------------------


async def test_a_configuration_that_came_during_the_start_is_taken(stage: PlacerFixture) -> None:
    """Guards against a SIGHUP lost before its handler was installed; the old address has no events."""
    old, new = Coordinator(), stage.coordinator
    await old.start()
    await new.start()
    new.events.append(event(2, member("m-1", phase="Terminating")))
    raw = platforms.raw_config(member("m-1"), coordinator=old.address)
    placer = stage.placer = Placer(stage.path / "config.json", raw)
    (stage.path / "config.json").write_text(json.dumps(raw | {"coordinator": new.address}))
    await placer.start()
    await until(lambda: placer.core.endpoints.index == 2)
    await old.stop()


async def test_the_events_of_a_new_configuration_are_applied_though_its_coordinator_is_silent(
    stage: PlacerFixture,
) -> None:
    machine = Machine("m-1")
    placer = await stage.start(machine)
    silent = Coordinator()
    silent.mute = True
    await silent.start()
    raw = json.loads((stage.path / "config.json").read_text())
    raw["coordinator"] = silent.address
    raw["known"]["index"] = 2
    raw["known"]["updates"].append(event(2, member("m-1", machine.address, "Terminating")))
    (stage.path / "config.json").write_text(json.dumps(raw))
    os.kill(os.getpid(), signal.SIGHUP)
    await until(lambda: placer.core.endpoints.machines[machine_id("m-1")].state is MachineState.DRAINING)
    raw["known"] = {"index": 1, "updates": raw["known"]["updates"][:1]}  # older: does not undo the drain
    (stage.path / "config.json").write_text(json.dumps(raw))
    os.kill(os.getpid(), signal.SIGHUP)
    await asyncio.sleep(0.1)
    assert placer.core.endpoints.machines[machine_id("m-1")].state is MachineState.DRAINING
    assert placer.core.endpoints.poll_index == 2
    await silent.stop()


async def test_a_placer_without_an_answer_of_the_list_serves_in_the_end(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It passes tests, answers each request in time, and offers nothing while the list may hide a drain."""
    monkeypatch.setattr(service, "first_answer_wait_ms", lambda _alive_ms: 200.0)
    machine = Machine("m-1")
    await machine.start()
    stage.machines["m-1"] = machine
    port = free_port()  # nothing listens there yet
    raw = platforms.raw_config(member("m-1", machine.address), coordinator=f"127.0.0.1:{port}")
    placer = stage.placer = Placer(stage.path / "config.json", raw)
    await placer.start()
    client = await placer.client()
    client.say(line("test", "00000000000000f0", why=0) + offer(left="20000") + offer(SECOND, left="1000"))
    tested, rejected = await expect_ops(client, "tested", "end")
    assert tested["why"] == 1
    assert (rejected["call"], rejected["why"]) == (SECOND, Cause.CONGESTION)
    assert machine.offers() == []
    await stage.coordinator.start(port)
    await expect_ops(client, "accept")


# ---- Drains that coincide with a request ------------------------------------------------------------------


def receive_drain(stage: PlacerFixture, *machines: Machine, phase: str = "Terminating") -> None:
    """Apply a drain event in the current iteration of the event loop."""
    placer = stage.running
    index = placer.core.endpoints.index + 1
    update = event(index, *(member(m.name, m.address, phase) for m in machines))
    placer.core.apply_endpoint_events(
        placer.now(), *parse_events({"index": index, "updates": [update]}, placer.service._config)
    )
    stage.coordinator.events.append(update)


@pytest.mark.parametrize("phase", ["Terminating", "Gone"])
@pytest.mark.parametrize("order", ["set-up first", "word first"])
async def test_a_drain_received_in_the_same_iteration_as_the_decision_stops_the_offer(
    stage: PlacerFixture, phase: str, order: str
) -> None:
    machine = Machine("m-1")
    placer = await stage.start(machine)
    client = await placer.client()
    client.say(line("test", "00000000000000f0", why=0))
    await expect_ops(client, "tested")
    if order == "word first":
        receive_drain(stage, machine, phase=phase)
    placer.core.on_client_message(placer.now(), 1, decode(offer(left="300", cls="once")))
    placer.core.submit_arrivals(placer.now())
    if order == "set-up first":
        receive_drain(stage, machine, phase=phase)
    placer.service._runner.flush()
    (refused,) = await expect_ops(client, "end")
    assert refused["why"] == 42
    assert machine.offers() == []


@pytest.mark.parametrize("phase", ["Terminating", "Gone"])
async def test_a_drain_received_while_the_connection_comes_up_stops_the_offer(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch, phase: str
) -> None:
    """The connection opens after the drain; the request goes to another machine, as it was not executed."""
    info = platforms.info()
    info["Permissions"]["ConnectTimeoutMs"] = 10_000.0
    machine, other = Machine("m-1"), Machine("m-2")
    placer = await stage.start(machine, settings=info)
    delayed_connections = DelayedConnections(stage, monkeypatch, prompt=0)
    client = await placer.client()
    client.say(offer(cls="once"))
    await until(lambda: delayed_connections.begun)
    await other.start()
    stage.machines["m-2"] = other
    receive_drain(stage, machine, phase=phase)
    receive_drain(stage, other, phase="Ready")
    placer.service._runner.flush()
    delayed_connections.up.set()
    (accepted,) = await expect_ops(client, "accept")
    assert accepted["desc"] == "at m-2"
    assert machine.offers() == []


async def test_a_drain_in_an_event_that_broke_off_is_received_after_it(stage: PlacerFixture) -> None:
    machine = Machine("m-1")
    placer = await stage.start(machine)
    await until(lambda: len(stage.coordinator.asked) > 1)
    stage.coordinator.garble = 1
    stage.coordinator.events.append(event(2, member("m-1", machine.address, "Terminating")))
    await until(lambda: placer.core.endpoints.index == 2)
    client = await placer.client()
    client.say(offer(left="300"))
    await expect_ops(client, "end")
    assert machine.offers() == []


async def test_events_of_both_addresses_around_a_move_are_applied(stage: PlacerFixture) -> None:
    """The old address reports a drain as SIGHUP arrives, the new one the next; then the old one is silent."""
    first, second = Machine("m-1"), Machine("m-2")
    placer = await stage.start(first, second)
    new = Coordinator()
    await new.start()
    raw = json.loads((stage.path / "config.json").read_text())
    (stage.path / "config.json").write_text(json.dumps(raw | {"coordinator": new.address}))
    drain = [event(2, member("m-1", first.address, "Terminating"))]
    stage.coordinator.events += drain
    os.kill(os.getpid(), signal.SIGHUP)
    new.events += [*drain, event(3, member("m-2", second.address, "Terminating"))]
    await until(lambda: placer.core.endpoints.index == 3)
    stage.coordinator.mute = True
    new.events.append(event(4, member("m-2", second.address)))
    await until(lambda: placer.core.endpoints.index == 4)
    client = await placer.client()
    client.say(offer(cls="once"))
    (accepted,) = await expect_ops(client, "accept")
    assert accepted["desc"] == "at m-2"
    assert first.offers() == []
    await new.stop()


# ---- Stale lists ------------------------------------------------------------------------------------------


async def test_nothing_is_sent_while_a_stale_endpoint_list_may_hide_a_drain(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against offers after a drain that counts as reported 7 s after an outage began."""
    monkeypatch.setattr(discovery_freshness, "DISCOVERY_STALE_MS", 1_500.0)
    machine = Machine("m-1")
    placer = await stage.start(machine)
    await until(lambda: len(stage.coordinator.asked) > 1)
    stage.coordinator.mute = True
    await until(lambda: placer.core.freshness.is_stale)
    client = await placer.client()
    client.say(offer(left="20000", cls="once"))
    await until(lambda: placer.core.requests.unanswered_count)
    await asyncio.sleep(QUIET_PERIOD_S)
    assert machine.offers() == []
    stage.coordinator.mute = False  # the list is unchanged: no machine drains
    await expect_ops(client, "accept")
    assert not placer.core.freshness.is_stale


async def test_a_placer_started_in_an_outage_offers_nothing_to_a_machine_that_drains_meanwhile(
    stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against offers by the list of the file, which an outage that began earlier has made stale."""
    monkeypatch.setattr(service, "first_answer_wait_ms", lambda _alive_ms: 200.0)
    draining, ready = Machine("m-1"), Machine("m-2")
    stage.coordinator.mute = True
    placer = await stage.start(draining, ready)
    stage.coordinator.events.append(event(2, member("m-1", draining.address, "Terminating")))
    client = await placer.client()
    for number in range(4):
        client.say(offer(f"{number:016x}", left="20000", extras=f"cores:1;memory:2;service:{number:016x}"))
    await until(lambda: placer.core.requests.unanswered_count == 4)
    await asyncio.sleep(QUIET_PERIOD_S)
    assert draining.offers() == ready.offers() == []
    stage.coordinator.mute = False
    await expect_ops(client, *["accept"] * 4)
    assert draining.offers() == []


def test_a_list_is_stale_at_the_start_of_service_only_without_an_answer() -> None:
    """Guards against a pause of a placer whose list is current, and against a second report of one outage."""
    submitted: list[str] = []
    log = LogRecords()
    freshness = discovery_freshness.DiscoveryFreshness(
        Timers(), lambda _now, submitted_event: submitted.append(type(submitted_event).__name__), log
    )
    freshness.on_serving(1_000.0)
    freshness.on_serving(1_001.0)
    freshness.on_answer(2_000.0)
    freshness.on_serving(2_001.0)
    assert submitted == ["EndpointListStale", "EndpointListCurrent"]
    assert log.drain() == [OffersPaused(0.0), OffersResumed(1_000.0)]
    assert not freshness.is_stale


@given(st.lists(st.floats(1.0, 30_000.0), max_size=30))
def test_each_long_silence_of_discovery_is_reported_once_and_no_short_one(gaps: list[float]) -> None:
    submitted: list[tuple[float, str]] = []
    timers = Timers()
    freshness = discovery_freshness.DiscoveryFreshness(
        timers,
        lambda now, submitted_event: submitted.append((now, type(submitted_event).__name__)),
        LogRecords(),
    )
    now = 0.0
    expected: list[tuple[float, str]] = []
    for gap in [0.0, *gaps]:
        if gap >= DISCOVERY_STALE_MS:
            expected += [(now + DISCOVERY_STALE_MS, "EndpointListStale"), (now + gap, "EndpointListCurrent")]
        end = now + gap
        while timers.next() <= end:
            now = timers.next()
            timers.run(now)
        now = end
        freshness.on_answer(now)
    assert [name for _, name in submitted] == [name for _, name in expected]
    assert [at for at, _ in submitted] == pytest.approx([at for at, _ in expected])
