"""The five rules, each kept by one placer alone."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from helpers import Driver, machine, of, only, settings, task_class

from kelpfront.scheduling.actions import (
    Bind,
    CancelAttempt,
    Fail,
    LogMachineEjected,
    Reject,
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
    StatusTopic,
    TaskPlaced,
    TaskStatusReported,
    TimerFired,
)
from kelpfront.scheduling.offer_backoff import MAX_STALE_LIST_HOLD_MS
from kelpfront.scheduling.settings import FailureDomain, Idempotency

FLEET = [machine(n) for n in range(12)]


def deadline_timer(actions: list[object]) -> SetTimer:
    return max((a for a in actions if isinstance(a, SetTimer)), key=lambda a: a.at)


def test_deadline_with_an_attempt_out_is_answered_once_and_before_it() -> None:
    driver = Driver(settings(task_class(Idempotency.NON_IDEMPOTENT)))
    driver.listing(*FLEET)
    actions = driver.arrive(5, patience_ms=3000.0)
    start, bound, timer = driver.now, only(actions, Bind), deadline_timer(list(actions))
    assert timer.at < start + 3000.0
    answers = driver.send(TimerFired(timer.token), after=timer.at - start)
    assert only(answers, Fail).task == 5
    assert only(answers, CancelAttempt).attempt == 0
    assert driver.close(5, 0, bound.machine, AttemptOutcome.CANCELLED, over=True, after=1.0) == []


def test_a_task_that_waits_to_its_deadline_is_refused() -> None:
    driver = Driver()
    driver.listing(machine(1, free_cores=-100.0))
    actions = driver.arrive(5)
    assert of(actions, Bind) == []
    timer = deadline_timer(list(actions))
    assert only(driver.send(TimerFired(timer.token), after=timer.at - driver.now), Reject).task == 5


@pytest.mark.parametrize(
    ("effect", "group", "again"),
    [
        (Idempotency.IDEMPOTENT, FailureDomain.ALL, "anywhere"),
        (Idempotency.NON_IDEMPOTENT, FailureDomain.ALL, "nowhere"),
        (Idempotency.IDEMPOTENCY_KEY, FailureDomain.ALL, "anywhere"),
        (Idempotency.IDEMPOTENCY_KEY, FailureDomain.ZONE, "zone"),
        (Idempotency.IDEMPOTENCY_KEY, FailureDomain.CELL, "cell"),
    ],
)
@pytest.mark.parametrize("end", [AttemptOutcome.TIMED_OUT, AttemptOutcome.ERROR, AttemptOutcome.RESET])
def test_an_attempt_that_may_have_run_bounds_the_next(
    effect: Idempotency, group: FailureDomain, again: str, end: AttemptOutcome
) -> None:
    by_id = {m.id: m for m in FLEET}
    for seed in range(8):
        driver = Driver(settings(task_class(effect, idempotency_scope=group)), seed)
        driver.listing(*FLEET)
        first = driver.bind(5)
        actions = driver.close(5, 0, first, end, after=100.0)
        if again == "nowhere":
            assert only(actions, Fail).task == 5
            continue
        second = only(actions, Bind).machine
        assert second != first
        if again == "zone":
            assert by_id[second].zone == by_id[first].zone
        if again == "cell":
            assert by_id[second].cell == by_id[first].cell


def test_a_keyed_task_is_not_sent_again_after_its_window() -> None:
    driver = Driver(settings(task_class(Idempotency.IDEMPOTENCY_KEY, idempotency_window_ms=500.0)))
    driver.listing(*FLEET)
    first = driver.bind(5)
    assert only(driver.close(5, 0, first, AttemptOutcome.TIMED_OUT, after=600.0), Fail).task == 5


def test_a_keyed_repeat_may_wait_for_its_connection_no_longer_than_its_window() -> None:
    """Guards against a repeat that its dial held up: sent 1.40 s after the first, in a window of 1.25 s.

    Two attempts may have run; the window is that of the first.
    """
    driver = Driver(settings(task_class(Idempotency.IDEMPOTENCY_KEY, idempotency_window_ms=1_000.0)))
    driver.listing(*FLEET)
    first = only(driver.arrive(5, patience_ms=9_000.0), Bind)
    assert first.send_within_ms == math.inf
    second = only(driver.close(5, 0, first.machine, AttemptOutcome.TIMED_OUT, after=300.0), Bind)
    assert 690.0 < second.send_within_ms <= 700.0
    third = only(driver.close(5, 1, second.machine, AttemptOutcome.RESET, after=600.0), Bind)
    assert 90.0 < third.send_within_ms <= 100.0
    assert only(driver.close(5, 2, third.machine, AttemptOutcome.NOT_SENT, after=100.0), Fail).task == 5


@pytest.mark.parametrize(("after", "answer"), [(900.0, Reject), (1_100.0, Fail)])
@pytest.mark.parametrize("open_", [True, False], ids=["still out", "ended"])
def test_a_keyed_task_is_refused_only_while_a_repeat_would_be_discarded(
    after: float, answer: type, open_: bool
) -> None:
    """Guards against a promise that asking again does no harm, when machines have forgotten the key."""
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
    actions = driver.arrive(5, patience_ms=after)
    bound, timer = only(actions, Bind), deadline_timer(list(actions))
    if open_:
        answers = driver.send(TimerFired(timer.token), after=timer.at - driver.now)
    else:
        answers = driver.close(5, 0, bound.machine, AttemptOutcome.TIMED_OUT, after=after - 20.0)
    assert only(answers, answer).task == 5


@pytest.mark.parametrize("effect", [Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT])
def test_what_has_no_window_may_wait_for_its_connection(effect: Idempotency) -> None:
    driver = Driver(settings(task_class(effect)))
    driver.listing(*FLEET)
    first = driver.bind(5)
    second = only(driver.close(5, 0, first, AttemptOutcome.UNREACHABLE, after=300.0), Bind)
    assert second.send_within_ms == math.inf


@pytest.mark.parametrize("effect", list(Idempotency))
def test_a_refused_offer_may_follow_for_every_effect(effect: Idempotency) -> None:
    driver = Driver(settings(task_class(effect)))
    driver.listing(*FLEET)
    first = driver.bind(5)
    second = only(
        driver.close(5, 0, first, AttemptOutcome.REJECTED, OutcomeReason.NO_CORES, after=5.0), Bind
    ).machine
    assert second != first


@pytest.mark.parametrize(
    ("effect", "group", "answer"),
    [
        (Idempotency.IDEMPOTENT, FailureDomain.ALL, Reject),
        (Idempotency.IDEMPOTENCY_KEY, FailureDomain.ALL, Reject),
        (Idempotency.IDEMPOTENCY_KEY, FailureDomain.ZONE, Fail),
        (Idempotency.NON_IDEMPOTENT, FailureDomain.ALL, Fail),
    ],
)
def test_a_refusal_is_given_only_where_asking_again_does_no_harm(
    effect: Idempotency, group: FailureDomain, answer: type
) -> None:
    driver = Driver(settings(task_class(effect, idempotency_scope=group), max_attempts=1))
    driver.listing(*FLEET)
    first = driver.bind(5)
    actions = driver.close(5, 0, first, AttemptOutcome.TIMED_OUT, after=5.0)
    assert [type(a) for a in actions if isinstance(a, Reject | Fail)] == [answer]


def test_one_attempt_is_out_at_a_time() -> None:
    driver = Driver()
    driver.listing(*FLEET)
    driver.bind(5)
    assert of(driver.listing(*FLEET, after=50.0), Bind) == []


def test_a_machine_that_drains_or_goes_while_a_task_waits_gets_nothing() -> None:
    for state in (MachineState.DRAINING, MachineState.REMOVED):
        driver = Driver()
        driver.listing(machine(1, free_cores=-100.0))
        driver.arrive(5)
        driver.listing(machine(1, state=state, free_cores=25.0), kind=EndpointListKind.CHANGES, after=10.0)
        assert not any(isinstance(action, Bind) for _, action in driver.done)
        driver.listing(machine(2), kind=EndpointListKind.CHANGES, after=10.0)
        assert [a.machine for _, a in driver.done if isinstance(a, Bind)] == [2]


def test_a_machine_missing_from_a_full_list_is_gone() -> None:
    driver = Driver()
    driver.listing(machine(1), machine(2))
    driver.listing(machine(2), after=10.0)
    assert {driver.bind(n) for n in range(6)} == {2}


@pytest.mark.parametrize(("placers", "budget"), [(1, 7), (3, 7), (220, 60), (220, 3), (2, 1)])
def test_all_placers_together_keep_the_cold_budget_in_every_window_and_use_it(
    placers: int, budget: int
) -> None:
    base = settings(replica_count=placers)
    rules = replace(base.slow_start, max_offers_per_window=float(budget))
    drivers = [Driver(replace(base, replica_index=me, slow_start=rules)) for me in range(placers)]
    for driver in drivers:
        driver.listing(machine(1))
        driver.now = 60_000.0
        driver.listing(machine(1, started_at=driver.now - 10.0), kind=EndpointListKind.CHANGES)
    sent: list[float] = []
    for step in range(60):
        at = 60_000.0 + step * 150.0
        for me, driver in enumerate(drivers):
            driver.now = at
            actions = driver.arrive(step * 1000 + me, cores=0.001, memory=0.001)
            for bound in of(actions, Bind):
                sent.append(at)
                driver.close(bound.task, 0, 1, AttemptOutcome.REJECTED, OutcomeReason.NOT_HERE, over=True)
    assert sent
    for at in sent:
        assert sum(at - rules.window_ms < other <= at for other in sent) <= budget


def test_a_placer_that_just_started_sends_a_cold_machine_nothing() -> None:
    driver = Driver()
    driver.listing(machine(1, started_at=driver.now - 10.0), kind=EndpointListKind.CACHED)
    assert of(driver.arrive(5), Bind) == []


@pytest.mark.parametrize("place", [FailureDomain.MACHINE, FailureDomain.CELL, FailureDomain.ZONE])
def test_found_tasks_count_for_the_spread(place: FailureDomain) -> None:
    driver = Driver(settings(task_class(spread_domain=place, max_per_domain=2)))
    driver.listing(machine(0), machine(100, cell=50, zone=9))
    driver.find(1, 0)
    driver.find(2, 0)
    assert {driver.bind(n) for n in (10, 11)} == {100}
    assert of(driver.arrive(12), Bind) == []


def test_a_task_found_on_a_machine_that_no_list_named_counts_everywhere() -> None:
    driver = Driver(settings(task_class(spread_domain=FailureDomain.CELL, max_per_domain=1)))
    driver.listing(machine(0), machine(6))
    driver.find(1, 6_000)
    assert of(driver.arrive(12), Bind) == []
    driver.listing(machine(0), machine(6), machine(6_000), after=5.0)
    assert len([a for _, a in driver.done if isinstance(a, Bind)]) == 1


def test_an_attempt_given_up_counts_for_the_spread_until_it_closes() -> None:
    driver = Driver(settings(task_class(spread_domain=FailureDomain.MACHINE, max_per_domain=1)))
    driver.listing(machine(1))
    actions = driver.arrive(5)
    timer = deadline_timer(list(actions))
    driver.send(TimerFired(timer.token), after=timer.at - driver.now)
    assert of(driver.arrive(6), Bind) == []
    driver.close(5, 0, 1, AttemptOutcome.CANCELLED, over=True)
    driver.listing(machine(1), after=5.0)
    assert any(isinstance(a, Bind) and a.task == 6 for _, a in driver.done)


def test_unknown_repeated_and_late_events_change_nothing() -> None:
    driver = Driver()
    driver.listing(*FLEET)
    first = driver.bind(5)
    driver.place(5, 0, first, after=20.0)
    assert driver.send(TaskPlaced(5, 0, first, 20.0)) == []
    assert driver.close(99, 0, first, AttemptOutcome.ENDED, over=True) == []
    assert driver.close(5, 0, first, AttemptOutcome.ENDED, over=True) == []
    assert driver.close(5, 0, first, AttemptOutcome.ENDED, over=True) == []
    assert driver.send(TimerFired(5 << 2 | 2)) == []
    assert driver.place(5, 0, first) == []


def test_the_first_time_out_leaves_room_for_another_attempt_and_no_more() -> None:
    driver = Driver()
    driver.listing(*FLEET)
    early = only(driver.arrive(1, patience_ms=4000.0), Bind)
    assert 1990.0 < early.timeout_ms < 4000.0 - 2 * 5.0
    driver.place(1, 0, early.machine)
    for task in range(2, 80):  # acknowledgements come within 5 ms
        driver.place(task, 0, driver.bind(task, cores=0.1, after=30.0))
    late = only(driver.arrive(99, cores=0.1, patience_ms=4000.0), Bind)
    assert early.timeout_ms < late.timeout_ms < 4000.0 - 2 * 5.0


def test_a_machine_that_stays_silent_is_set_aside_and_comes_back_by_one_trial() -> None:
    driver = Driver()
    driver.listing(*(machine(n, free_cores=28.0, free_memory=48.0) for n in (1, 2, 3)))
    driver.find(100, 2, service=9)  # it makes machine 2 the choice for the service
    for task in (1, 2):
        assert driver.bind(task, service=9) == 2
        driver.close(task, 0, 2, AttemptOutcome.TIMED_OUT, over=True, after=5.0)
    assert any(isinstance(a, LogMachineEjected) and a.cause == "timed out" for _, a in driver.done)
    assert driver.bind(3, service=9) != 2
    driver.close(3, 0, 1, AttemptOutcome.ENDED, over=True)
    driver.now += 20_000.0
    driver.find(101, 2, service=50)
    trial = [driver.bind(task, service=50) for task in range(4, 12)]
    assert trial[0] == 2  # tasks that run there do not bar the trial
    assert 2 not in trial[1:]
    driver.place(4, 0, 2)
    driver.find(102, 2, service=60)
    assert driver.bind(20, service=60) == 2


def test_failed_list_calls_are_repeated_with_growing_pauses_inside_the_time_to_ask() -> None:
    driver = Driver(settings(endpoint_list_on_request=True))
    assert of(driver.listing(*FLEET, kind=EndpointListKind.CACHED), Subscribe)
    pauses = []
    for _ in range(7):
        timer = only(driver.send(EndpointList(EndpointListKind.FAILED, 0, ())), SetTimer)
        pauses.append(timer.at - driver.now)
        assert of(driver.send(TimerFired(timer.token), after=pauses[-1]), Subscribe)
    assert pauses[0] < pauses[-1] < 8000.0 / 2 + 1
    driver.listing(*FLEET, after=10.0)
    assert driver.send(TimerFired(timer.token), after=10.0) == []


@pytest.mark.parametrize("odd", [0.0, -1.0, float("nan"), float("inf")])
def test_a_task_whose_ask_makes_no_sense_counts_as_a_mean_one(odd: float) -> None:
    driver = Driver()
    driver.listing(*FLEET)
    bound = driver.bind(1, cores=odd, memory=odd)
    driver.place(1, 0, bound)
    driver.send(TaskStatusReported(1, 0, bound, StatusTopic.CORES_USED, 0.5))
    assert driver.bind(2) in {m.id for m in FLEET}


@pytest.mark.parametrize("placed", [True, False])
def test_a_machine_that_sends_tasks_away_gets_nothing_new_before_the_list_says_so(placed: bool) -> None:
    """Guards against offers to machines that drain, in an outage of the list: they tell it themselves."""
    driver = Driver(settings(task_class(Idempotency.IDEMPOTENT)))
    driver.listing(*FLEET)
    first = driver.bind(5)
    if placed:
        driver.send(TaskPlaced(5, 0, first, 10.0))
    driver.close(5, 0, first, AttemptOutcome.RESET, OutcomeReason.DRAINED, over=placed, after=50.0)
    for ident in (6, 7, 8):  # its service has its home there
        other = driver.bind(ident, after=2_000.0)
        assert other != first
        driver.close(ident, 0, other, AttemptOutcome.ENDED, over=True, after=50.0)
    assert driver.bind(9, after=2_000.0) == first  # what it told of holds until the list must have said so


@pytest.mark.parametrize("effect", list(Idempotency))
def test_nothing_is_offered_by_a_list_that_may_hide_drains(effect: Idempotency) -> None:
    """What a silent list withholds counts as told after some seconds: any machine may drain.

    Not for ever: after a while placing goes on by the list as it was.
    """
    driver = Driver(settings(task_class(effect)))
    driver.listing(*FLEET)
    first = driver.bind(5)
    driver.send(EndpointListStale())
    assert (
        of(driver.close(5, 0, first, AttemptOutcome.REJECTED, OutcomeReason.NO_CORES, after=5.0), Bind) == []
    )
    assert of(driver.arrive(6), Bind) == []
    gone = replace(FLEET[first], state=MachineState.DRAINING)
    bound = of(driver.listing(gone, kind=EndpointListKind.CHANGES, after=500.0), Bind)
    assert {bind.task for bind in bound} == {5, 6} and all(bind.machine != first for bind in bound)
    driver.send(EndpointListStale())
    actions, since = driver.arrive(7, patience_ms=8_000.0), driver.now
    while not of(actions, Bind):
        actions = driver.send(TimerFired(0), after=100.0)  # the wake of those that wait
    assert MAX_STALE_LIST_HOLD_MS <= driver.now - since <= MAX_STALE_LIST_HOLD_MS + 200.0
