"""Guardrail counters by machine and size rank, and when they are reset."""

from __future__ import annotations

from helpers import (
    Driver,
    machine,
    only_action,
    place_many,
    saturated_settings,
)

from kelpfront.scheduling.actions import (
    Bind,
)
from kelpfront.scheduling.events import (
    AttemptOutcome,
    EndpointListKind,
    MachineState,
)
from kelpfront.scheduling.guardrails import MIN_TIGHTNESS


def test_counters_bound_the_offers_to_a_machine_that_looks_idle() -> None:
    driver = Driver(saturated_settings(kind_cores=(300.0,), kind_memory=(900.0,)))
    driver.listing(machine(0, free_cores=290.0, free_memory=900.0), *(machine(n) for n in range(1, 4)))
    counts = place_many(driver, range(120))
    assert (
        max(counts.values()) - min(counts.values()) <= 3 * MIN_TIGHTNESS
    )  # the rank width changes with the load


def test_a_machine_of_twice_the_size_gets_twice_as_many_tasks() -> None:
    driver = Driver(saturated_settings(cores_overcommit=9.0, memory_overcommit=9.0))
    driver.listing(machine(0, kind=0), machine(1, kind=1, free_cores=40.0, free_memory=80.0))
    counts = place_many(driver, range(300), cores=0.1)
    assert 1.7 < counts[1] / counts[0] < 2.4


def test_a_new_or_returning_machine_does_not_attract_all_tasks() -> None:
    driver = Driver(saturated_settings())
    driver.listing(machine(0), machine(1))
    place_many(driver, range(20))
    fair_share = 60 / 3 + 2 * MIN_TIGHTNESS
    driver.listing(machine(2, free_cores=29.0), kind=EndpointListKind.CHANGES)
    assert place_many(driver, range(100, 160), cores=0.1)[2] <= fair_share
    driver.listing(machine(2, state=MachineState.DRAINING), kind=EndpointListKind.CHANGES)
    place_many(driver, range(200, 220), cores=0.1)
    driver.listing(machine(2, free_cores=29.0), kind=EndpointListKind.CHANGES)
    assert place_many(driver, range(300, 360), cores=0.1)[2] <= fair_share


def test_counters_are_reset_only_for_an_empty_machine_without_own_attempts() -> None:
    driver = Driver()
    empty = machine(0, free_cores=30.0, free_memory=50.0)
    driver.listing(empty, machine(1, free_cores=1.0), machine(2, free_cores=1.0))
    machines = driver.scheduler._fleet.machines
    bound = driver.bind(1, cores=0.5)
    assert bound == 0
    driver.place(1, 0, 0)
    (raised_counter,) = machines[0].counters.values()
    driver.listing(
        empty, kind=EndpointListKind.CHANGES, after=5000.0
    )  # an outdated list: a task of this placer runs there
    assert list(machines[0].counters.values()) == [raised_counter]
    driver.close(1, 0, 0, AttemptOutcome.ENDED, task_finished=True)
    driver.bind(2, cores=4.0)  # gives the other machines a counter of another rank
    driver.listing(empty, kind=EndpointListKind.CHANGES, after=5000.0)
    for rank, value in machines[0].counters.items():
        if not machines[0].open_attempts:
            assert value == min(machines[n].counters.get(rank, 0.0) for n in (1, 2))


def test_a_rejection_does_not_lower_the_counter_and_the_task_goes_elsewhere() -> None:
    driver = Driver()
    driver.listing(machine(0, free_cores=29.0), machine(1))
    first = driver.bind(1)
    before = dict(driver.scheduler._fleet.machines[first].counters)
    second = only_action(driver.close(1, 0, first, AttemptOutcome.REJECTED, after=5.0), Bind).machine
    assert second != first
    assert driver.scheduler._fleet.machines[first].counters == before
