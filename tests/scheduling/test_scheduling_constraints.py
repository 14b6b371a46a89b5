"""The spread of a service over failure domains."""

from __future__ import annotations

import pytest
from helpers import (
    Driver,
    actions_of,
    deadline_timer,
    machine,
    settings,
    task_class,
)

from kelpfront.scheduling.actions import (
    Bind,
)
from kelpfront.scheduling.events import (
    AttemptOutcome,
    TimerFired,
)
from kelpfront.scheduling.settings import FailureDomain


@pytest.mark.parametrize("spread_domain", [FailureDomain.MACHINE, FailureDomain.CELL, FailureDomain.ZONE])
def test_found_tasks_count_for_the_spread(spread_domain: FailureDomain) -> None:
    driver = Driver(settings(task_class(spread_domain=spread_domain, max_per_domain=2)))
    driver.listing(machine(0), machine(100, cell=50, zone=9))
    driver.find(1, 0)
    driver.find(2, 0)
    assert {driver.bind(n) for n in (10, 11)} == {100}
    assert actions_of(driver.arrive(12), Bind) == []


def test_a_task_found_on_an_unlisted_machine_counts_in_every_domain() -> None:
    driver = Driver(settings(task_class(spread_domain=FailureDomain.CELL, max_per_domain=1)))
    driver.listing(machine(0), machine(6))
    driver.find(1, 6_000)
    assert actions_of(driver.arrive(12), Bind) == []
    driver.listing(machine(0), machine(6), machine(6_000), after=5.0)
    assert len([a for _, a in driver.history if isinstance(a, Bind)]) == 1


def test_a_cancelled_attempt_counts_for_the_spread_until_it_closes() -> None:
    driver = Driver(settings(task_class(spread_domain=FailureDomain.MACHINE, max_per_domain=1)))
    driver.listing(machine(1))
    actions = driver.arrive(5)
    timer = deadline_timer(actions)
    driver.send(TimerFired(timer.token), after=timer.at - driver.now)
    assert actions_of(driver.arrive(6), Bind) == []
    driver.close(5, 0, 1, AttemptOutcome.CANCELLED, task_finished=True)
    driver.listing(machine(1), after=5.0)
    assert any(isinstance(a, Bind) and a.task == 6 for _, a in driver.history)
