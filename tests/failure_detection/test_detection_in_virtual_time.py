"""Failure detectors, placers and machines in virtual time, with faults injected between them.

No observation is dated later than the true time, and no live, reachable machine is declared lost.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.failure_detection.detector import ListedMachine
from kelpfront.failure_detection.log_events import (
    DetectorRestarted,
    MembershipDiverged,
    ReachabilityRestored,
    ZoneAvailabilityChanged,
)
from kelpfront.lab.liveness import ALL_ZONES, Process, Worker, World
from kelpfront.lab.platform import offer
from kelpfront.platform.intents import Offer
from kelpfront.platform.messages import decode
from kelpfront.scheduling.events import LivenessObserved

TWO_DETECTORS = (ALL_ZONES, ALL_ZONES)
RELEASE_LIMIT_MS = 8_000.0  # from a machine's failure to the release of its tasks by the placer


def settled_world(detector_zones: tuple[tuple[int, ...], ...] = TWO_DETECTORS, placers: int = 2) -> World:
    """A world after some seconds: each placer runs a task on each of 40 machines and receives digests."""
    world = World(40, placers, 40, detector_zones)
    world.run(7_000.0)
    world.forget()
    return world


def max_own_checks(world: World) -> int:
    """The largest number of health checks that one placer made since counts were reset."""
    return max(placer.counts["tests"] for placer in world.placers)


def assert_lost_in_time(world: World, *workers: Worker) -> None:
    """Assert that each placer declares vanished machines lost within the limit, and no others."""
    world.vanish(*workers)
    world.run(RELEASE_LIMIT_MS)
    assert world.left(*workers) == 0
    assert len(world.known_after(*workers)) == len(world.placers) * len(workers)
    assert max(world.known_after(*workers)) <= RELEASE_LIMIT_MS
    assert world.false_alarms() == []
    assert world.newer_than_true == []


def zone_recovered(change: ZoneAvailabilityChanged) -> bool:
    """Whether machines of the large zone recovered and all of its machines answer now."""
    return (
        change.recovered_count > 0
        and change.zone_unresponsive_count == 0
        and change.zone_machine_count == 157
    )


# ---- Lost and reordered datagrams -------------------------------------------------------------------------


@settings(max_examples=25)
@given(st.integers(0, 2**32), st.sampled_from([0.0, 0.3, 0.7]), st.sampled_from([0.0, 2_000.0, 9_000.0]))
def test_no_observation_is_dated_too_late_and_no_live_machine_is_declared_lost(
    seed: int, loss: float, max_delay_ms: float
) -> None:
    """Datagrams are lost, duplicated, delayed, reordered; processes are suspended; machines fail, recover."""
    world = World(12, 2, 12, TWO_DETECTORS, seed)
    world.datagrams = lambda rng: [
        rng.uniform(0.5, 0.5 + max_delay_ms) for _ in range(2) if rng.random() >= loss
    ]
    rng = random.Random(seed)
    workers = list(world.workers.values())
    stable, unstable = workers[:8], workers[8:]
    for _ in range(10):
        world.run(rng.uniform(100.0, 4_000.0))
        worker = rng.choice(unstable)
        (world.vanish if worker.up else world.come_back)(worker)
        process = rng.choice([*world.placers, *world.watchers])
        process.paused_until = world.now + rng.uniform(0.0, 3_000.0)
    world.run(4_000.0)
    assert world.newer_than_true == []
    assert not {name for _, name in world.false_alarms()} & {worker.name for worker in stable}


# ---- With failure detectors, and without ------------------------------------------------------------------


def test_with_detectors_a_placer_checks_one_machine_a_second_and_detects_losses_in_time() -> None:
    before, after = settled_world(()), settled_world()
    for world in (before, after):
        world.run(20_000.0)
        assert world.false_alarms() == []
    assert before.spending(20.0)["tests_a_s"] == 8.0  # 40 machines, each every 5 s
    assert after.spending(20.0)["tests_a_s"] <= 1.1
    for world in (before, after):
        assert_lost_in_time(world, world.zone(1)[0])
        assert_lost_in_time(world, *world.zone(2))


def test_vanished_machines_are_declared_lost_a_second_before_the_limit() -> None:
    """The margin of a second is for placers on a busy host, which are delayed by some tenths of a second."""
    for seed in range(1, 13):
        world = World(40, 1, 40, TWO_DETECTORS, seed)
        world.run(7_000.0 + 137.0 * seed)
        vanished = [*world.zone(1), *world.zone(2)]
        assert_lost_in_time(world, *vanished)
        assert max(world.known_after(*vanished)) <= RELEASE_LIMIT_MS - 1_000.0


def test_a_zone_that_is_unresponsive_for_3_5_seconds_loses_no_task() -> None:
    world = World(4 * 157, 2, 4 * 157, TWO_DETECTORS)
    world.run(7_000.0)
    world.vanish(*world.zone(1))
    world.run(3_500.0)
    world.come_back(*world.zone(1))
    world.run(15_000.0)
    assert world.false_alarms() == []
    assert world.left(*world.zone(1)) == 2 * 157
    for sender in world.watchers:
        events = sender.watcher.log_events
        changes = [event for event in events if isinstance(event, ZoneAvailabilityChanged)]
        assert len(changes) == len(events)
        assert {change.zone for change in changes} <= {1}
        assert any(zone_recovered(change) for change in changes)
        assert len(changes) <= 6  # not one event for each machine


# ---- Faults of detectors ----------------------------------------------------------------------------------


def test_one_of_two_detectors_suffices_and_without_any_placers_check_machines_themselves() -> None:
    world = settled_world()
    world.watchers[0].kill()
    world.run(10_000.0)
    assert max_own_checks(world) <= 11
    assert world.false_alarms() == []
    assert_lost_in_time(world, world.zone(1)[0])
    world.watchers[1].kill()
    world.forget()
    world.run(20_000.0)
    assert max_own_checks(world) >= 100  # 39 machines, every 5 s
    assert world.false_alarms() == []
    assert_lost_in_time(world, *world.zone(2))
    for watcher in world.watchers:
        watcher.start()
    world.run(5_000.0)
    world.forget()
    world.run(10_000.0)
    assert max_own_checks(world) <= 11


@pytest.mark.parametrize("suspended", [(0,), (0, 1)])
def test_losses_during_a_suspension_of_detectors_are_detected(suspended: tuple[int, ...]) -> None:
    """Answers that were unread during the suspension are dated by the sending of their checks."""
    world = settled_world()
    for index in suspended:
        world.watchers[index].paused_until = world.now + 5_000.0
    world.run(1.0)
    assert_lost_in_time(world, world.zone(1)[0], world.zone(3)[2])
    world.run(10_000.0)
    assert world.false_alarms() == []
    assert world.newer_than_true == []


@pytest.mark.parametrize("zones", [(1, 2), ALL_ZONES])
def test_a_partition_of_one_detector_causes_no_false_loss(zones: tuple[int]) -> None:
    world = settled_world()
    first, placer = world.watchers[0], world.placers[0]
    world.cut = lambda process, worker: process is first and worker.zone in zones
    world.deaf = lambda sender, receiver: {sender, receiver} == {world.watchers[1], placer}
    world.run(15_000.0)
    assert world.false_alarms() == []  # one detector suffices; a placer without observations checks itself
    assert world.placers[1].counts["tests"] <= 16 < placer.counts["tests"]
    assert_lost_in_time(world, world.zone(1)[0], world.zone(0)[0])


def test_an_older_list_and_digests_of_a_former_incarnation_cause_no_false_loss() -> None:
    world = settled_world(detector_zones=(ALL_ZONES,))
    sender, placer = world.watchers[0], world.placers[0]
    digests = sender.watcher.build_digests(sender.clock)
    delayed = [digest.data for digest in digests if digest.address[0] == placer.name]
    sender.start()
    listed = [ListedMachine(worker.id, worker.name) for worker in world.workers.values()]
    older_list = {0: listed[:-4:4], 1: listed[1::4], 2: listed[2::4], 3: listed[3::4]}
    sender.watcher.apply_endpoint_list(sender.clock, older_list)
    world.run(6_000.0)
    assert placer.news is not None
    outdated_before = placer.news.counters.digests_outdated
    for data in delayed:
        placer.digest(0, data)
    assert placer.news.counters.digests_outdated == outdated_before + 1
    assert DetectorRestarted(0) in placer.news.log_events
    world.run(10_000.0)
    assert placer.news.counters.unknown_membership_sections >= 10
    assert MembershipDiverged(0) in placer.news.log_events
    assert world.false_alarms() == []
    assert_lost_in_time(world, world.zone(0)[-1], world.zone(1)[0])


def test_older_observations_after_newer_ones_cause_no_checks() -> None:
    world = settled_world()
    machine_ids = tuple(world.by_id)
    for _ in range(100):
        world.run(100.0)
        for placer in world.placers:
            placer.core.health_checks.on_liveness_observed(
                placer.clock, LivenessObserved(machine_ids, placer.clock - 60_000.0)
            )
    assert max_own_checks(world) <= 11


# ---- Paths ------------------------------------------------------------------------------------------------


def test_a_machine_that_answers_only_detectors_keeps_its_tasks_and_is_rechecked() -> None:
    world = settled_world()
    worker, placer = world.zone(1)[0], world.placers[0]
    world.cut = lambda process, other: process is placer and other is worker
    world.run(60_000.0)
    assert world.false_alarms() == []
    assert world.left(worker) == 2
    assert placer.news is not None
    assert placer.news.counters.zone_checks >= 1
    assert placer.counts["tests"] <= 60 + 2 * 60 / 5 + 2 * 6 * len(world.zone(1))
    assert_lost_in_time(world, worker)  # now no path reaches it


@pytest.mark.parametrize("killed_detector", [None, 0, 1])
def test_a_zone_unreachable_from_one_placer_is_detected_and_not_declared_lost(
    killed_detector: int | None,
) -> None:
    """One detector suffices to find the zone."""
    world = settled_world()
    if killed_detector is not None:
        world.watchers[killed_detector].kill()
    placer = world.placers[0]
    world.cut = lambda process, other: process is placer and other.zone == 1
    world.run(20_000.0)
    assert placer.news is not None
    assert placer.news.counters.unreachable_from_here == len(world.zone(1))
    assert world.false_alarms() == []
    assert world.placers[1].counts["tests"] <= 21
    world.cut = lambda _who, _other: False
    world.run(20_000.0)
    assert placer.news.log_events[-1] == ReachabilityRestored()


def test_a_machine_that_answers_only_placers_is_checked_by_them_and_not_declared_lost() -> None:
    world = settled_world()
    worker = world.zone(1)[0]
    world.cut = lambda process, other: process in world.watchers and other is worker
    world.run(30_000.0)
    assert world.false_alarms() == []
    assert world.left(worker) == 2
    assert max_own_checks(world) <= 30 + 30 / 4.5 + 1


def test_a_partition_between_regions_loses_exactly_the_unreachable_machines() -> None:
    """Twenty simulated seconds stand for a long partition; tasks across it are released in time."""
    world = settled_world(detector_zones=((0, 1), (0, 1), (2, 3), (2, 3)))
    side: dict[Process, int] = {process: index for index, process in enumerate(world.placers)}
    side |= {process: index // 2 for index, process in enumerate(world.watchers)}
    zones_across = {0: (2, 3), 1: (0, 1)}
    world.cut = lambda process, worker: worker.zone in zones_across[side[process]]
    world.deaf = lambda sender, receiver: side[sender] != side[receiver]
    world.run(20_000.0)
    lost = {(process, name) for process, name in world.false_alarms()}
    assert lost == {
        (placer.name, worker.name)
        for placer in world.placers
        for zone in zones_across[side[placer]]
        for worker in world.zone(zone)
    }
    world.cut = lambda _who, _worker: False
    world.deaf = lambda _sender, _receiver: False
    world.run(10_000.0)
    assert {(process, name) for process, name in world.false_alarms()} == lost


# ---- Restarts, and tasks that start -----------------------------------------------------------------------


def test_a_machine_that_restarts_within_a_check_interval_is_checked_by_the_placers() -> None:
    world = settled_world()
    worker = world.zone(1)[0]
    checking: set[Process] = set()

    def record(process: Process, other: Worker) -> bool:
        if other is worker:
            checking.add(process)
        return False

    world.cut = record
    world.vanish(worker)
    world.come_back(worker)
    world.run(5_500.0)
    assert {*world.placers} <= checking
    assert world.false_alarms() == []


def test_restarted_placers_receive_digests_again_and_declare_no_machine_lost() -> None:
    world = settled_world()
    for placer in world.placers:
        placer.start()
    world.run(10_000.0)
    world.forget()
    world.run(10_000.0)
    assert max_own_checks(world) <= 11
    assert world.false_alarms() == []
    assert_lost_in_time(world, world.zone(2)[1])


def test_an_observation_does_not_replace_the_check_of_a_machine_with_an_open_offer() -> None:
    """A task was just sent to a machine that detectors see alive but this placer cannot reach."""
    world = settled_world(placers=1)
    placer = world.placers[0]
    checked: list[Worker] = []
    placer.core.on_client_message(placer.clock, 0, decode(offer(left="20000")))
    placer.core.submit_arrivals(placer.clock)
    (sent,) = [intent for intent in placer.core.outbox if isinstance(intent, Offer)]

    def cut(process: Process, worker: Worker) -> bool:
        if process is placer and worker.id == sent.machine:
            checked.append(worker)
            return True
        return False

    world.cut = cut
    placer.flush()
    for _ in range(22):
        world.run(100.0)
        placer.core.health_checks.on_liveness_observed(
            placer.clock, LivenessObserved((sent.machine,), placer.clock)
        )
    assert checked
