"""The lifecycle of a task: one attempt at a time, time-outs, and events that are ignored."""

from __future__ import annotations

import pytest
from helpers import (
    Driver,
    actions_of,
    machine,
    only_action,
    place_many,
)

from kelpfront.scheduling.actions import (
    Bind,
)
from kelpfront.scheduling.events import (
    AttemptOutcome,
    StatusTopic,
    TaskPlaced,
    TaskStatusReported,
    TimerFired,
)

FLEET = [machine(n) for n in range(12)]


def test_only_one_attempt_is_open_at_a_time() -> None:
    driver = Driver()
    driver.listing(*FLEET)
    driver.bind(5)
    assert actions_of(driver.listing(*FLEET, after=50.0), Bind) == []


def test_unknown_duplicate_and_late_events_change_nothing() -> None:
    driver = Driver()
    driver.listing(*FLEET)
    first = driver.bind(5)
    driver.place(5, 0, first, after=20.0)
    assert driver.send(TaskPlaced(5, 0, first, 20.0)) == []
    assert driver.close(99, 0, first, AttemptOutcome.ENDED, task_finished=True) == []
    assert driver.close(5, 0, first, AttemptOutcome.ENDED, task_finished=True) == []
    assert driver.close(5, 0, first, AttemptOutcome.ENDED, task_finished=True) == []
    assert driver.send(TimerFired(5 << 2 | 2)) == []
    assert driver.place(5, 0, first) == []


def test_the_first_timeout_leaves_just_enough_time_for_another_attempt() -> None:
    driver = Driver()
    driver.listing(*FLEET)
    first_bind = only_action(driver.arrive(1, timeout_ms=4000.0), Bind)
    assert 1990.0 < first_bind.timeout_ms < 4000.0 - 2 * 5.0
    driver.place(1, 0, first_bind.machine)
    for task in range(2, 80):  # acknowledgements come within 5 ms
        driver.place(task, 0, driver.bind(task, cores=0.1, after=30.0))
    later_bind = only_action(driver.arrive(99, cores=0.1, timeout_ms=4000.0), Bind)
    assert first_bind.timeout_ms < later_bind.timeout_ms < 4000.0 - 2 * 5.0


@pytest.mark.parametrize("invalid", [0.0, -1.0, float("nan"), float("inf")])
def test_a_task_with_an_invalid_request_gets_the_mean_request(invalid: float) -> None:
    driver = Driver()
    driver.listing(*FLEET)
    bound = driver.bind(1, cores=invalid, memory=invalid)
    driver.place(1, 0, bound)
    driver.send(TaskStatusReported(1, 0, bound, StatusTopic.CORES_USED, 0.5))
    assert driver.bind(2) in {m.id for m in FLEET}


def test_the_same_events_give_the_same_actions() -> None:
    def run() -> list[object]:
        driver = Driver(seed=3)
        driver.listing(*(machine(n) for n in range(6)))
        place_many(driver, range(30))
        return list(driver.history)

    assert run() == run()
