"""The endpoint list: draining and removed machines, failed polls, and a stale list."""

from __future__ import annotations

from dataclasses import replace

import pytest
from helpers import (
    Driver,
    actions_of,
    machine,
    only_action,
    settings,
    task_class,
)

from kelpfront.scheduling.actions import (
    Bind,
    Migrate,
    Reject,
    SchedulerAction,
    SetTimer,
    Subscribe,
)
from kelpfront.scheduling.events import (
    AttemptOutcome,
    EndpointList,
    EndpointListCurrent,
    EndpointListKind,
    EndpointListStale,
    MachineState,
    OutcomeReason,
    StatusTopic,
    TaskPlaced,
    TaskStatusReported,
    TimerFired,
)
from kelpfront.scheduling.settings import Idempotency

FLEET = [machine(n) for n in range(12)]
LONG_OUTAGE_MS, RETRY_MS = 60_000.0, 100.0


def test_a_machine_that_drains_or_is_removed_gets_no_waiting_task() -> None:
    for state in (MachineState.DRAINING, MachineState.REMOVED):
        driver = Driver()
        driver.listing(machine(1, free_cores=-100.0))
        driver.arrive(5)
        driver.listing(machine(1, state=state, free_cores=25.0), kind=EndpointListKind.CHANGES, after=10.0)
        assert not any(isinstance(action, Bind) for _, action in driver.history)
        driver.listing(machine(2), kind=EndpointListKind.CHANGES, after=10.0)
        assert [a.machine for _, a in driver.history if isinstance(a, Bind)] == [2]


def test_a_machine_missing_from_a_full_list_is_removed() -> None:
    driver = Driver()
    driver.listing(machine(1), machine(2))
    driver.listing(machine(2), after=10.0)
    assert {driver.bind(n) for n in range(6)} == {2}


def test_failed_polls_are_retried_with_a_growing_backoff_within_the_poll_interval() -> None:
    driver = Driver(settings(endpoint_list_on_request=True))
    assert actions_of(driver.listing(*FLEET, kind=EndpointListKind.CACHED), Subscribe)
    backoffs = []
    for _ in range(7):
        timer = only_action(driver.send(EndpointList(EndpointListKind.FAILED, 0, ())), SetTimer)
        backoffs.append(timer.at - driver.now)
        assert actions_of(driver.send(TimerFired(timer.token), after=backoffs[-1]), Subscribe)
    assert backoffs[0] < backoffs[-1] < 8000.0 / 2 + 1
    driver.listing(*FLEET, after=10.0)
    assert driver.send(TimerFired(timer.token), after=10.0) == []


@pytest.mark.parametrize("is_accepted", [True, False])
def test_a_machine_that_reports_its_drain_gets_no_offers_until_the_list_must_show_it(
    *, is_accepted: bool
) -> None:
    """Guards against offers to draining machines while the endpoint list is unavailable.

    A machine reports its drain with the end of an attempt, by the reason DRAINED.
    """
    driver = Driver(settings(task_class(Idempotency.IDEMPOTENT)))
    driver.listing(*FLEET)
    first = driver.bind(5)
    if is_accepted:
        driver.send(TaskPlaced(5, 0, first, 10.0))
    driver.close(
        5, 0, first, AttemptOutcome.RESET, OutcomeReason.DRAINED, task_finished=is_accepted, after=50.0
    )
    for task in (6, 7, 8):  # `first` is the preferred machine of their service
        other = driver.bind(task, after=2_000.0)
        assert other != first
        driver.close(task, 0, other, AttemptOutcome.ENDED, task_finished=True, after=50.0)
    assert driver.bind(9, after=2_000.0) == first  # the machine's report of its drain has expired


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_nothing_is_offered_while_a_stale_list_may_hide_drains(idempotency: Idempotency) -> None:
    """Guards against offers by a list that discovery has not confirmed, however long its silence lasts.

    Any machine may start to drain meanwhile. Each task is answered in its time all the same.
    """
    driver = Driver(settings(task_class(idempotency)))
    driver.listing(*FLEET)
    first = driver.bind(5)
    driver.send(EndpointListStale())
    assert (
        actions_of(
            driver.close(5, 0, first, AttemptOutcome.REJECTED, OutcomeReason.NO_CORES, after=5.0), Bind
        )
        == []
    )
    assert actions_of(driver.arrive(6), Bind) == []
    draining = replace(FLEET[first], state=MachineState.DRAINING)
    listed = driver.listing(draining, kind=EndpointListKind.CHANGES, after=500.0)
    assert actions_of(listed, Bind) == []  # the list of a configuration file, for example
    bound = actions_of(driver.send(EndpointListCurrent()), Bind)
    assert {bind.task for bind in bound} == {5, 6}
    assert all(bind.machine != first for bind in bound)
    driver.send(EndpointListStale())
    driver.arrive(7, timeout_ms=LONG_OUTAGE_MS - 1_000.0)
    driver.arrive(8, timeout_ms=2 * LONG_OUTAGE_MS)
    actions: list[SchedulerAction] = []
    for _ in range(int(LONG_OUTAGE_MS / RETRY_MS)):
        actions += driver.send(TimerFired(0), after=RETRY_MS)  # the retry timer of waiting tasks
    assert actions_of(actions, Bind) == []
    assert [reject.task for reject in actions_of(actions, Reject)] == [7]
    assert [bind.task for bind in actions_of(driver.send(EndpointListCurrent()), Bind)] == [8]


def test_a_poorly_served_task_is_not_migrated_while_the_list_is_stale() -> None:
    """Guards against tasks that are stopped in an outage of discovery, when nothing can be placed again."""
    driver = Driver()
    driver.listing(*FLEET)
    machine_id = driver.bind(5)
    driver.send(TaskPlaced(5, 0, machine_id, 30.0), after=30.0)
    driver.send(EndpointListStale())
    report = TaskStatusReported(5, 0, machine_id, StatusTopic.SERVICE, 0.1)
    assert actions_of(driver.send(report, after=500.0), Migrate) == []
    driver.send(EndpointListCurrent())
    assert [migrate.task for migrate in actions_of(driver.send(report, after=500.0), Migrate)] == [5]
