"""The single final answer of a task, and when it is due."""

from __future__ import annotations

import pytest
from helpers import (
    Driver,
    actions_of,
    deadline_timer,
    machine,
    only_action,
    settings,
    task_class,
)

from kelpfront.scheduling.actions import (
    Bind,
    CancelAttempt,
    Fail,
    Reject,
)
from kelpfront.scheduling.events import (
    AttemptOutcome,
    TimerFired,
)
from kelpfront.scheduling.settings import FailureDomain, Idempotency

FLEET = [machine(n) for n in range(12)]


def test_a_task_with_an_open_attempt_is_answered_once_before_its_deadline() -> None:
    driver = Driver(settings(task_class(Idempotency.NON_IDEMPOTENT)))
    driver.listing(*FLEET)
    actions = driver.arrive(5, timeout_ms=3000.0)
    start, bound, timer = driver.now, only_action(actions, Bind), deadline_timer(actions)
    assert timer.at < start + 3000.0
    answers = driver.send(TimerFired(timer.token), after=timer.at - start)
    assert only_action(answers, Fail).task == 5
    assert only_action(answers, CancelAttempt).attempt == 0
    assert driver.close(5, 0, bound.machine, AttemptOutcome.CANCELLED, task_finished=True, after=1.0) == []


def test_a_task_that_waits_until_its_deadline_is_rejected() -> None:
    driver = Driver()
    driver.listing(machine(1, free_cores=-100.0))
    actions = driver.arrive(5)
    assert actions_of(actions, Bind) == []
    timer = deadline_timer(actions)
    assert only_action(driver.send(TimerFired(timer.token), after=timer.at - driver.now), Reject).task == 5


@pytest.mark.parametrize(
    ("idempotency", "scope", "answer"),
    [
        (Idempotency.IDEMPOTENT, FailureDomain.ALL, Reject),
        (Idempotency.IDEMPOTENCY_KEY, FailureDomain.ALL, Reject),
        (Idempotency.IDEMPOTENCY_KEY, FailureDomain.ZONE, Fail),
        (Idempotency.NON_IDEMPOTENT, FailureDomain.ALL, Fail),
    ],
)
def test_a_task_is_rejected_only_if_a_resubmission_is_safe(
    idempotency: Idempotency, scope: FailureDomain, answer: type
) -> None:
    driver = Driver(settings(task_class(idempotency, idempotency_scope=scope), max_attempts=1))
    driver.listing(*FLEET)
    first = driver.bind(5)
    actions = driver.close(5, 0, first, AttemptOutcome.TIMED_OUT, after=5.0)
    assert [type(a) for a in actions if isinstance(a, Reject | Fail)] == [answer]


@pytest.mark.parametrize(("after", "answer"), [(900.0, Reject), (1_100.0, Fail)])
@pytest.mark.parametrize("is_open", [True, False], ids=["still open", "ended"])
def test_a_task_with_an_idempotency_key_is_rejected_only_within_its_window(
    *, after: float, answer: type, is_open: bool
) -> None:
    """Guards against a rejection, which invites a resubmission, after machines have forgotten the key."""
    driver = Driver(
        settings(
            task_class(
                Idempotency.IDEMPOTENCY_KEY,
                idempotency_window_ms=1_000.0,
                idempotency_scope=FailureDomain.ALL,
            ),
            max_attempts=1,
        )
    )
    driver.listing(*FLEET)
    actions = driver.arrive(5, timeout_ms=after)
    bound, timer = only_action(actions, Bind), deadline_timer(actions)
    if is_open:
        answers = driver.send(TimerFired(timer.token), after=timer.at - driver.now)
    else:
        answers = driver.close(5, 0, bound.machine, AttemptOutcome.TIMED_OUT, after=after - 20.0)
    assert only_action(answers, answer).task == 5
