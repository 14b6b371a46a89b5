"""Orphaned instances: an instance whose attempt was given up is adopted or stopped when it is found."""

from __future__ import annotations

from controllers import ControllerDriver
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.api.jobs import Answer
from kelpfront.controller.intents import SendOffer
from kelpfront.controller.orphans import OrphanDecision, OrphanSituation, decide
from kelpfront.scheduling.settings import Idempotency


def test_the_orphan_of_an_idempotent_task_is_stopped_after_the_task_is_placed_elsewhere() -> None:
    driver = ControllerDriver()
    sent = driver.submit_and_clear()
    second = driver.next_offer(sent)
    assert second.host != sent.host
    assert (sent.host, sent.offer.task, 0) in driver.stops
    assert (sent.host, sent.offer.task, 0) in driver.abandoned
    driver.answer_offer(second, "running")
    stop_count = len(driver.stops)
    driver.report_taken(sent.host, sent.offer.task)
    assert len(driver.stops) == stop_count + 1, "the late instance is stopped"
    assert driver.state() == ("Running", "Placed")
    assert driver.task()["machine"] == second.host


def test_a_failed_non_idempotent_task_that_is_found_running_is_adopted() -> None:
    driver = ControllerDriver()
    sent = driver.submit_and_clear("a", "blend")
    driver.fail_offer(sent)
    assert driver.state() == ("Failed", "Failed")
    assert driver.stops == [], "the instance may run, and the task cannot be started again"
    driver.now += 500
    driver.report_taken(sent.host, sent.offer.task)
    assert driver.state() == ("Running", "Failed"), "the answer does not change"
    assert driver.task()["attempts"][0]["message"] == "reset, then found to run"
    assert driver.job()["status"]["phase"] == "Active"
    driver.report_gone(sent.host, sent.offer.task)
    assert driver.state() == ("Ended", "Failed")


def test_a_non_idempotent_task_that_is_found_after_the_recheck_is_stopped() -> None:
    driver = ControllerDriver()
    sent = driver.submit_and_clear("a", "blend")
    driver.fail_offer(sent)
    assert driver.stops == []
    driver.advance(driver.controller.cluster.settings.orphan_check_ms + 200)
    assert driver.stops == [(sent.host, sent.offer.task, 0)], (
        "a stop is requested whether or not the instance runs"
    )
    driver.report_taken(sent.host, sent.offer.task)
    assert driver.state() == ("Failed", "Failed")
    assert driver.stops == [(sent.host, sent.offer.task, 0)] * 2


def test_an_orphan_with_a_key_is_adopted_after_the_outstanding_attempt_is_rejected() -> None:
    driver = ControllerDriver(machines=8)
    sent = driver.submit_and_clear("a", "ingest")
    driver.fail_offer(sent)
    second = driver.last_offer()
    rooms = {host: driver.machine(host)["spec"]["room"] for host in (sent.host, second.host)}
    assert second.host != sent.host
    assert len(set(rooms.values())) == 1
    assert driver.clear(second)
    driver.report_taken(sent.host, sent.offer.task)
    assert driver.state() == ("Placing", None)
    driver.answer_offer(second, "refused", "NOT_HERE", f"a copy stands on {sent.host}")
    assert driver.state() == ("Running", "Placed")
    assert driver.task()["machine"] == sent.host
    assert len(driver.intents_of(SendOffer)) == 2
    assert driver.stops == []


def test_an_orphan_with_a_key_is_stopped_once_the_task_is_placed_elsewhere() -> None:
    driver = ControllerDriver(machines=8)
    sent = driver.submit_and_clear("a", "ingest")
    driver.fail_offer(sent)
    second = driver.last_offer()
    assert driver.clear(second)
    driver.report_taken(sent.host, sent.offer.task)
    driver.answer_offer(second, "running")
    assert driver.stops == [(sent.host, sent.offer.task, 0)]
    assert driver.task()["machine"] == second.host


def test_late_results_of_an_offer_change_nothing_after_the_stream_reported_acceptance() -> None:
    driver = ControllerDriver()
    sent = driver.submit_and_clear()
    driver.report_taken(sent.host, sent.offer.task)
    assert driver.state() == ("Running", "Placed")
    revision = driver.store.revision
    driver.answer_offer(sent, "running")
    driver.fail_offer(sent)
    assert driver.store.revision == revision


SITUATIONS = st.builds(
    OrphanSituation,
    idempotency=st.sampled_from(Idempotency),
    answer=st.sampled_from([None, *Answer]),
    attempt_outstanding=st.booleans(),
    placed=st.booleans(),
    wanted=st.booleans(),
    given_up_ms=st.floats(0, 10_000),
    recheck_ms=st.just(3000.0),
)


@settings(derandomize=True, deadline=None)
@given(SITUATIONS)
def test_an_orphan_is_never_adopted_where_another_instance_may_run(situation: OrphanSituation) -> None:
    decision = decide(situation)
    is_unanswered = situation.answer is None
    if decision is OrphanDecision.ADOPT:
        assert situation.wanted
        assert not situation.placed
        assert situation.idempotency is not Idempotency.IDEMPOTENT
        may_be_adopted = is_unanswered and not situation.attempt_outstanding
        assert may_be_adopted or situation.answer in (Answer.FAILED, Answer.PLACED)
        assert is_unanswered or situation.given_up_ms <= 3000.0
    if decision is OrphanDecision.WAIT:
        assert situation.attempt_outstanding
        assert is_unanswered
