"""Reactions to rejected offers: the estimate of unobserved capacity and the offer backoff."""

from __future__ import annotations

from helpers import (
    Driver,
    actions_of,
    machine,
    settings,
    task_class,
)

from kelpfront.scheduling.actions import (
    Bind,
    SetTimer,
)
from kelpfront.scheduling.events import (
    AttemptOutcome,
    EndpointListKind,
    OutcomeReason,
    TimerFired,
)


def test_rejections_raise_the_estimate_of_unobserved_capacity_and_acceptances_lower_it() -> None:
    driver = Driver(settings(task_class(full_service_utilization=9.0)))  # capacity: 1.8 x 30 = 54 cores
    nearly_full, free = machine(0, free_cores=-22.9), machine(1, free_cores=0.0)
    driver.listing(nearly_full)
    assert driver.bind(1) == 0
    driver.close(1, 0, 0, AttemptOutcome.REJECTED, OutcomeReason.NO_CORES)
    driver.listing(nearly_full, after=2000.0)
    assert actions_of(driver.arrive(2), Bind) == []
    driver.listing(free, kind=EndpointListKind.FULL, after=10.0)
    for task in range(3, 60):
        driver.place(task, 0, driver.bind(task, cores=0.01), after=2000.0)
    driver.listing(nearly_full, after=10.0)
    assert driver.bind(99) == 0


def test_own_offers_do_not_block_a_machine_regardless_of_the_number_of_placers() -> None:
    driver = Driver(settings(replica_count=200))
    driver.listing(machine(0))
    assert [driver.bind(n, after=5.0) for n in range(5)] == [0] * 5


def test_consecutive_rejections_increase_the_backoff_and_acceptances_end_it() -> None:
    driver = Driver()
    driver.listing(*(machine(n) for n in range(40)))
    gaps = []
    for task in range(6):
        bound = driver.bind(task, after=5000.0)
        actions = driver.close(task, 0, bound, AttemptOutcome.REJECTED, OutcomeReason.QUEUE_FULL)
        assert task == 0 or actions_of(actions, Bind) == []
        start = driver.now
        while not actions_of(actions, Bind):
            timer = max(actions_of(actions, SetTimer), key=lambda a: -a.at)
            actions = driver.send(TimerFired(timer.token), after=timer.at - driver.now)
        gaps.append(driver.now - start)
        next_bind = actions_of(actions, Bind)[0]
        driver.close(
            task, 1, next_bind.machine, AttemptOutcome.REJECTED, OutcomeReason.NOT_HERE, task_finished=True
        )
    assert gaps[0] < gaps[-1] < 2 * 900.0
    for task in range(100, 112):
        driver.place(task, 0, driver.bind(task, after=1500.0))
    bound = driver.bind(200)
    driver.close(200, 0, bound, AttemptOutcome.REJECTED, OutcomeReason.QUEUE_FULL)
    assert driver.bind(201, after=90.0) != bound
