"""Where and for how long a task may be retried."""

from __future__ import annotations

import math

import pytest
from helpers import (
    Driver,
    machine,
    only_action,
    settings,
    task_class,
)

from kelpfront.scheduling.actions import (
    Bind,
    Fail,
)
from kelpfront.scheduling.events import (
    AttemptOutcome,
    OutcomeReason,
)
from kelpfront.scheduling.settings import FailureDomain, Idempotency

FLEET = [machine(n) for n in range(12)]


@pytest.mark.parametrize(
    ("idempotency", "scope", "retry_scope"),
    [
        (Idempotency.IDEMPOTENT, FailureDomain.ALL, "anywhere"),
        (Idempotency.NON_IDEMPOTENT, FailureDomain.ALL, "nowhere"),
        (Idempotency.IDEMPOTENCY_KEY, FailureDomain.ALL, "anywhere"),
        (Idempotency.IDEMPOTENCY_KEY, FailureDomain.ZONE, "zone"),
        (Idempotency.IDEMPOTENCY_KEY, FailureDomain.CELL, "cell"),
    ],
)
@pytest.mark.parametrize("outcome", [AttemptOutcome.TIMED_OUT, AttemptOutcome.ERROR, AttemptOutcome.RESET])
def test_a_possibly_executed_attempt_limits_where_the_next_one_goes(
    idempotency: Idempotency, scope: FailureDomain, retry_scope: str, outcome: AttemptOutcome
) -> None:
    by_id = {m.id: m for m in FLEET}
    for seed in range(8):
        driver = Driver(settings(task_class(idempotency, idempotency_scope=scope)), seed)
        driver.listing(*FLEET)
        first = driver.bind(5)
        actions = driver.close(5, 0, first, outcome, after=100.0)
        if retry_scope == "nowhere":
            assert only_action(actions, Fail).task == 5
            continue
        second = only_action(actions, Bind).machine
        assert second != first
        if retry_scope == "zone":
            assert by_id[second].zone == by_id[first].zone
        if retry_scope == "cell":
            assert by_id[second].cell == by_id[first].cell


def test_a_task_with_an_idempotency_key_is_not_retried_after_its_window() -> None:
    driver = Driver(settings(task_class(Idempotency.IDEMPOTENCY_KEY, idempotency_window_ms=500.0)))
    driver.listing(*FLEET)
    first = driver.bind(5)
    assert only_action(driver.close(5, 0, first, AttemptOutcome.TIMED_OUT, after=600.0), Fail).task == 5


def test_a_retry_waits_for_its_connection_no_longer_than_the_idempotency_window() -> None:
    """Guards against a retry that is sent after the window because its connection was slow.

    One was sent 1.40 s after the first attempt, with a window of 1.25 s. With several attempts that may have
    been executed, the window starts at the first.
    """
    driver = Driver(settings(task_class(Idempotency.IDEMPOTENCY_KEY, idempotency_window_ms=1_000.0)))
    driver.listing(*FLEET)
    first = only_action(driver.arrive(5, timeout_ms=9_000.0), Bind)
    assert first.send_within_ms == math.inf
    second = only_action(driver.close(5, 0, first.machine, AttemptOutcome.TIMED_OUT, after=300.0), Bind)
    assert 690.0 < second.send_within_ms <= 700.0
    third = only_action(driver.close(5, 1, second.machine, AttemptOutcome.RESET, after=600.0), Bind)
    assert 90.0 < third.send_within_ms <= 100.0
    assert (
        only_action(driver.close(5, 2, third.machine, AttemptOutcome.NOT_SENT, after=100.0), Fail).task == 5
    )


@pytest.mark.parametrize("idempotency", [Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT])
def test_a_retry_without_an_idempotency_window_may_wait_for_its_connection(idempotency: Idempotency) -> None:
    driver = Driver(settings(task_class(idempotency)))
    driver.listing(*FLEET)
    first = driver.bind(5)
    second = only_action(driver.close(5, 0, first, AttemptOutcome.UNREACHABLE, after=300.0), Bind)
    assert second.send_within_ms == math.inf


@pytest.mark.parametrize("idempotency", list(Idempotency))
def test_a_rejected_offer_is_followed_by_another_regardless_of_the_idempotency(
    idempotency: Idempotency,
) -> None:
    driver = Driver(settings(task_class(idempotency)))
    driver.listing(*FLEET)
    first = driver.bind(5)
    second = only_action(
        driver.close(5, 0, first, AttemptOutcome.REJECTED, OutcomeReason.NO_CORES, after=5.0), Bind
    ).machine
    assert second != first
