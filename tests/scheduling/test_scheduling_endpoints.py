"""The endpoint list: machines that leave, failed polls, and a list that is stale."""

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
    SetTimer,
    Subscribe,
)
from kelpfront.scheduling.events import (
    AttemptOutcome,
    EndpointList,
    EndpointListKind,
    EndpointListStale,
    MachineState,
    OutcomeReason,
    TaskPlaced,
    TimerFired,
)
from kelpfront.scheduling.offer_backoff import STALE_LIST_BACKOFF_MS
from kelpfront.scheduling.settings import Idempotency

FLEET = [machine(n) for n in range(12)]


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


def test_failed_polls_are_repeated_with_a_growing_backoff_inside_the_poll_interval() -> None:
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
def test_a_machine_that_says_it_drains_gets_nothing_until_the_list_must_say_so(*, is_accepted: bool) -> None:
    """Guards against offers to machines that drain, in an outage of the list: they say so themselves."""
    driver = Driver(settings(task_class(Idempotency.IDEMPOTENT)))
    driver.listing(*FLEET)
    first = driver.bind(5)
    if is_accepted:
        driver.send(TaskPlaced(5, 0, first, 10.0))
    driver.close(
        5, 0, first, AttemptOutcome.RESET, OutcomeReason.DRAINED, task_finished=is_accepted, after=50.0
    )
    for ident in (6, 7, 8):  # it is the preferred machine of their service
        other = driver.bind(ident, after=2_000.0)
        assert other != first
        driver.close(ident, 0, other, AttemptOutcome.ENDED, task_finished=True, after=50.0)
    assert driver.bind(9, after=2_000.0) == first  # until then its own word holds


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_nothing_is_offered_while_a_stale_list_may_hide_drains(idempotency: Idempotency) -> None:
    """Any machine may drain while the list says nothing.

    After a while placing goes on by the list as it was.
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
    bound = actions_of(driver.listing(draining, kind=EndpointListKind.CHANGES, after=500.0), Bind)
    assert {bind.task for bind in bound} == {5, 6}
    assert all(bind.machine != first for bind in bound)
    driver.send(EndpointListStale())
    actions, since = driver.arrive(7, timeout_ms=8_000.0), driver.now
    while not actions_of(actions, Bind):
        actions = driver.send(TimerFired(0), after=100.0)  # the timer of waiting tasks
    assert STALE_LIST_BACKOFF_MS <= driver.now - since <= STALE_LIST_BACKOFF_MS + 200.0
