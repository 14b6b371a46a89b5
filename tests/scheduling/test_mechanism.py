"""The guardrails mechanism on the ordinary path."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from helpers import Driver, machine, of, only, settings, task_class

from kelpfront.scheduling.actions import Bind, Migrate, SetTimer
from kelpfront.scheduling.events import (
    AttemptClosed,
    AttemptOutcome,
    EndpointListKind,
    LoadReport,
    MachineState,
    OutcomeReason,
    StatusTopic,
    TaskStatusReported,
    TimerFired,
)
from kelpfront.scheduling.guardrails import MIN_TIGHTNESS
from kelpfront.scheduling.settings import SchedulerSettings


def crowded(**changes: Any) -> SchedulerSettings:
    """No machine serves in full, so the least-loaded pick decides; one placer, and sizes that make g least.

    The class is above the lowest priority, so it does not wait for room by use.
    """
    classes = task_class(full_service_utilization=0.01, degradation_range=0.0), task_class(priority=0)
    plain = settings(*classes, replica_count=1, **changes)
    return replace(plain, mean_cores=min(plain.kind_cores) * plain.cores_overcommit)


def place_many(driver: Driver, tasks: range, cores: float = 1.0) -> Counter[int]:
    counts: Counter[int] = Counter()
    for task in tasks:
        bound = driver.bind(task, cores=cores, after=20.0)
        driver.place(task, 0, bound, after=5.0)
        counts[bound] += 1
    return counts


def test_counters_bound_what_one_machine_gets_however_idle_it_looks() -> None:
    driver = Driver(crowded(kind_cores=(300.0,), kind_memory=(900.0,)))
    driver.listing(machine(0, free_cores=290.0, free_memory=900.0), *(machine(n) for n in range(1, 4)))
    counts = place_many(driver, range(120))
    assert (
        max(counts.values()) - min(counts.values()) <= 3 * MIN_TIGHTNESS
    )  # as the load moves the rank width


def test_a_machine_of_twice_the_size_gets_twice_as_much() -> None:
    driver = Driver(crowded(cores_overcommit=9.0, memory_overcommit=9.0))
    driver.listing(machine(0, kind=0), machine(1, kind=1, free_cores=40.0, free_memory=80.0))
    counts = place_many(driver, range(300), cores=0.1)
    assert 1.7 < counts[1] / counts[0] < 2.4


def test_the_least_loaded_of_the_safe_machines_is_picked() -> None:
    driver = Driver(crowded())
    driver.listing(machine(0, free_cores=2.0), machine(1, free_cores=25.0), machine(2, free_cores=3.0))
    assert driver.bind(1) == 1


def test_own_fresh_binds_are_added_to_the_view() -> None:
    driver = Driver(crowded())
    driver.listing(machine(0, free_cores=20.0), machine(1, free_cores=20.0))
    assert driver.bind(1, cores=0.5) != driver.bind(2, cores=0.5)


def test_a_machine_first_seen_later_or_returning_is_not_a_magnet() -> None:
    driver = Driver(crowded())
    driver.listing(machine(0), machine(1))
    place_many(driver, range(20))
    fair = 60 / 3 + 2 * MIN_TIGHTNESS
    driver.listing(machine(2, free_cores=29.0), kind=EndpointListKind.CHANGES)
    assert place_many(driver, range(100, 160), cores=0.1)[2] <= fair
    driver.listing(machine(2, state=MachineState.DRAINING), kind=EndpointListKind.CHANGES)
    place_many(driver, range(200, 220), cores=0.1)
    driver.listing(machine(2, free_cores=29.0), kind=EndpointListKind.CHANGES)
    assert place_many(driver, range(300, 360), cores=0.1)[2] <= fair


def test_a_machine_is_reset_only_when_empty_and_nothing_of_ours_is_out() -> None:
    driver = Driver()
    empty = machine(0, free_cores=30.0, free_memory=50.0)
    driver.listing(empty, machine(1, free_cores=1.0), machine(2, free_cores=1.0))
    machines = driver.scheduler._fleet.machines
    bound = driver.bind(1, cores=0.5)
    assert bound == 0
    driver.place(1, 0, 0)
    (raised,) = machines[0].counters.values()
    driver.listing(
        empty, kind=EndpointListKind.CHANGES, after=5000.0
    )  # an old view: a task of ours runs there
    assert list(machines[0].counters.values()) == [raised]
    driver.close(1, 0, 0, AttemptOutcome.ENDED, over=True)
    driver.bind(2, cores=4.0)  # the others' counters come to have ranks of their own
    driver.listing(empty, kind=EndpointListKind.CHANGES, after=5000.0)
    for rank, value in machines[0].counters.items():
        if not machines[0].open_attempts:
            assert value == min(machines[n].counters.get(rank, 0.0) for n in (1, 2))


def test_a_refusal_does_not_lower_the_counter_and_the_task_goes_elsewhere() -> None:
    driver = Driver()
    driver.listing(machine(0, free_cores=29.0), machine(1))
    first = driver.bind(1)
    before = dict(driver.scheduler._fleet.machines[first].counters)
    second = only(driver.close(1, 0, first, AttemptOutcome.REJECTED, after=5.0), Bind).machine
    assert second != first
    assert driver.scheduler._fleet.machines[first].counters == before


def test_the_same_events_give_the_same_actions() -> None:
    def run() -> list[object]:
        driver = Driver(seed=3)
        driver.listing(*(machine(n) for n in range(6)))
        place_many(driver, range(30))
        return list(driver.done)

    assert run() == run()


def test_a_start_goes_where_the_service_runs_while_that_machine_serves_in_full() -> None:
    driver = Driver()
    driver.listing(*(machine(n, free_cores=28.0, free_memory=48.0) for n in range(6)))
    driver.find(100, 4, service=9)
    assert {driver.bind(n, service=9, after=50.0) for n in range(3)} == {4}


def test_placers_that_know_nothing_of_each_other_choose_the_same_home() -> None:
    homes = set()
    for me in range(3):
        driver = Driver(settings(replica_index=me), seed=me)
        driver.listing(*(machine(n, free_cores=28.0, free_memory=48.0) for n in range(6)))
        homes.add(driver.bind(1, service=9))
    assert len(homes) == 1


@pytest.mark.parametrize(("age", "passed_over"), [(0.0, True), (5000.0, False)])
def test_a_machine_crowded_by_use_is_passed_over_though_little_is_asked(
    age: float, passed_over: bool
) -> None:
    driver = Driver()
    driver.listing(*(machine(n, free_cores=28.0, free_memory=48.0) for n in range(3)))
    driver.find(100, 2, service=9)
    driver.send(
        AttemptClosed(
            77, 0, 2, AttemptOutcome.ENDED, OutcomeReason.UNSPECIFIED, True, 5.0, LoadReport(1.0, 40.0)
        )
    )
    assert (driver.bind(1, service=9, after=age) != 2) == passed_over


def test_memory_that_runs_short_by_use_shuts_a_machine_out() -> None:
    driver = Driver()
    driver.listing(machine(0, free_memory=30.0), machine(1, free_memory=30.0))
    driver.find(100, 1, service=9)
    driver.send(
        AttemptClosed(
            77, 0, 1, AttemptOutcome.ENDED, OutcomeReason.UNSPECIFIED, True, 5.0, LoadReport(20.0, 2.0)
        )
    )
    assert driver.bind(1, service=9) == 0


def test_a_task_hardly_served_is_moved_where_another_machine_has_room() -> None:
    driver = Driver()
    driver.listing(machine(0))
    first = driver.bind(1)
    driver.place(1, 0, first)
    assert driver.send(TaskStatusReported(1, 0, first, StatusTopic.SERVICE, 0.05), after=3000.0) == []
    driver.listing(machine(0), machine(1), after=10.0)
    assert driver.send(TaskStatusReported(1, 0, first, StatusTopic.SERVICE, 0.9)) == []
    assert only(driver.send(TaskStatusReported(1, 0, first, StatusTopic.SERVICE, 0.05)), Migrate).task == 1
    assert driver.send(TaskStatusReported(1, 0, first, StatusTopic.SERVICE, 0.05)) == []


def test_room_that_others_take_is_learned_from_refusals_and_forgotten_as_offers_are_taken() -> None:
    driver = Driver(settings(task_class(full_service_utilization=9.0)))  # room for 1.8 x 30 = 54 cores
    nearly_full, free = machine(0, free_cores=-22.9), machine(1, free_cores=0.0)
    driver.listing(nearly_full)
    assert driver.bind(1) == 0
    driver.close(1, 0, 0, AttemptOutcome.REJECTED, OutcomeReason.NO_CORES)
    driver.listing(nearly_full, after=2000.0)
    assert of(driver.arrive(2), Bind) == []
    driver.listing(free, kind=EndpointListKind.FULL, after=10.0)
    for task in range(3, 60):
        driver.place(task, 0, driver.bind(task, cores=0.01), after=2000.0)
    driver.listing(nearly_full, after=10.0)
    assert driver.bind(99) == 0


def test_one_own_bind_does_not_shut_a_machine_however_many_placers_there_are() -> None:
    driver = Driver(settings(replica_count=200))
    driver.listing(machine(0))
    assert [driver.bind(n, after=5.0) for n in range(5)] == [0] * 5


def test_tasks_of_the_lowest_priority_wait_where_they_would_crowd_a_machine_and_others_go() -> None:
    classes = task_class(priority=0), task_class(priority=2)
    driver = Driver(settings(*classes))
    driver.listing(machine(0, free_cores=1.0))
    assert of(driver.arrive(1, cls=0), Bind) == []
    assert driver.bind(2, cls=1) == 0


def test_where_machines_push_out_a_higher_priority_needs_no_room_but_prefers_it() -> None:
    classes = task_class(priority=0), task_class(priority=2)
    driver = Driver(settings(*classes, machines_preempt=True))
    driver.listing(machine(0, free_cores=-24.0))
    assert of(driver.arrive(1, cls=0), Bind) == []
    assert driver.bind(2, cls=1) == 0
    driver.listing(machine(0, free_cores=-24.0), machine(1), after=10.0)
    assert driver.bind(3, cls=1) == 1


def test_memory_counts_as_load_where_it_is_nearer_to_its_end() -> None:
    driver = Driver(crowded())
    driver.listing(machine(0, free_cores=20.0, free_memory=-10.0), machine(1, free_cores=5.0))
    assert driver.bind(1) == 1


@pytest.mark.parametrize(("free", "home_kept"), [(2.6, True), (0.9, False)])
def test_a_little_crowding_keeps_the_home_and_more_gives_it_up(free: float, home_kept: bool) -> None:
    driver = Driver(
        settings(task_class(full_service_utilization=0.9, degradation_range=0.2))
    )  # served three quarters at 0.95 of 30 cores
    driver.listing(*(machine(n, free_cores=28.0, free_memory=48.0) for n in range(3)))
    driver.find(100, 2, service=9)
    driver.send(
        AttemptClosed(
            77, 0, 2, AttemptOutcome.ENDED, OutcomeReason.UNSPECIFIED, True, 5.0, LoadReport(free, 40.0)
        )
    )
    assert (driver.bind(1, service=9) == 2) == home_kept


def test_refusals_in_a_row_hold_offers_back_and_offers_taken_end_it() -> None:
    driver = Driver()
    driver.listing(*(machine(n) for n in range(40)))
    gaps = []
    for task in range(6):
        bound = driver.bind(task, after=5000.0)
        actions = driver.close(task, 0, bound, AttemptOutcome.REJECTED, OutcomeReason.QUEUE_FULL)
        assert task == 0 or of(actions, Bind) == []
        start = driver.now
        while not of(actions, Bind):
            timer = max(of(actions, SetTimer), key=lambda a: -a.at)
            actions = driver.send(TimerFired(timer.token), after=timer.at - driver.now)
        gaps.append(driver.now - start)
        again = of(actions, Bind)[0]
        driver.close(task, 1, again.machine, AttemptOutcome.REJECTED, OutcomeReason.NOT_HERE, over=True)
    assert gaps[0] < gaps[-1] < 2 * 900.0
    for task in range(100, 112):
        driver.place(task, 0, driver.bind(task, after=1500.0))
    bound = driver.bind(200)
    driver.close(200, 0, bound, AttemptOutcome.REJECTED, OutcomeReason.QUEUE_FULL)
    assert driver.bind(201, after=90.0) != bound


def test_a_machine_that_turns_one_class_away_serves_the_others_until_two_agree() -> None:
    classes = [task_class(name=name) for name in ("a", "b", "c")]
    driver = Driver(settings(*classes))
    driver.listing(machine(0, free_cores=29.0, free_memory=49.0), machine(1))
    for cls in range(3):
        driver.find(50 + cls, 0, cls=cls, service=9 + cls)
    for cls in (0, 1):
        assert driver.bind(cls, cls=cls, service=9 + cls) == 0
        driver.close(cls, 0, 0, AttemptOutcome.REJECTED, OutcomeReason.UNSPECIFIED)
        assert driver.bind(20 + cls, cls=cls, service=9 + cls) == 1
        other = driver.bind(30 + cls, cls=2, service=11, after=10.0)
        assert other == (0 if cls == 0 else 1)
        driver.place(30 + cls, 0, other)
