"""Offers: each task gets one answer, and a failed offer is treated by whether it was sent."""

from __future__ import annotations

import pytest
from controllers import ControllerDriver

from kelpfront.api.jobs import Job
from kelpfront.api.machines import Machine
from kelpfront.controller.intents import SendOffer


def test_the_states_and_answer_of_a_task_from_submission_to_exit() -> None:
    driver = ControllerDriver()
    driver.submit()
    assert driver.job()["status"]["phase"] == "Placing"
    sent = driver.last_offer()
    assert driver.clear(sent)
    assert not driver.clear(sent), "an offer is cleared only once"
    driver.now += 20
    driver.answer_offer(sent, "running")
    assert driver.state() == ("Running", "Placed")
    assert driver.task()["machine"] == sent.host
    driver.report_taken(sent.host, sent.offer.task)
    driver.report_gone(sent.host, sent.offer.task, exit_code=3)
    task = driver.task()
    assert (task["state"], task["answer"], task["exitCode"]) == ("Ended", "Placed", 3)
    assert [attempt["end"] for attempt in task["attempts"]] == ["ended"]
    assert driver.job()["status"]["phase"] == "Finished"
    Job.model_validate(driver.job())
    Machine.model_validate(driver.machine(sent.host))


def test_an_offer_carries_what_a_machine_and_a_restarted_controller_need() -> None:
    driver = ControllerDriver()
    driver.submit("a", "ingest", key="batch-7", clientToken="tok", count=2, cores=2)
    offer = driver.intents_of(SendOffer)[1].offer
    assert (offer.job.namespace, offer.job.name, offer.job.index, offer.job.count, offer.job.token) == (
        "climate",
        "a",
        1,
        2,
        "tok",
    )
    assert (offer.key, offer.group, offer.effect, offer.service) == (
        "climate/batch-7/1",
        "zone",
        "keyed",
        "climate/front",
    )
    assert driver.now < offer.not_after <= driver.now + 4000


def test_rejections_are_published_as_given_and_the_next_machine_gets_an_offer() -> None:
    driver = ControllerDriver()
    sent = driver.submit_and_clear()
    driver.answer_offer(sent, "refused", "NO_CORES", "21 asked for in all, 20 accepted")
    second = driver.last_offer()
    assert second.host != sent.host
    assert second.offer.attempt == 1
    assert driver.clear(second)
    driver.answer_offer(second, "refused", "LICENCE", "none left")
    attempts = driver.task()["attempts"]
    assert [(attempt["end"], attempt["reason"], attempt["message"]) for attempt in attempts[:2]] == [
        ("refused", "NO_CORES", "21 asked for in all, 20 accepted"),
        ("refused", "LICENCE", "none left"),
    ]
    assert [attempt["machine"] for attempt in attempts[:2]] == [sent.host, second.host]


def test_four_rejections_refuse_the_task_and_no_offer_follows() -> None:
    driver = ControllerDriver(machines=8)
    sent = driver.submit_and_clear()
    driver.answer_offer(sent, "refused", "NOT_HERE")
    for number in (1, 2, 3):
        sent = driver.next_offer(sent)
        assert sent.offer.attempt == number
        driver.answer_offer(sent, "refused", "NOT_HERE")
    assert driver.state() == ("Refused", "Refused")
    assert driver.task()["reason"] == "NOT_HERE"
    offer_count = len(driver.intents_of(SendOffer))
    driver.advance(10_000.0)
    assert len(driver.intents_of(SendOffer)) == offer_count
    assert driver.controller.open_tasks == 0


def test_a_task_without_a_machine_is_refused_by_its_deadline() -> None:
    driver = ControllerDriver(machines=0)
    started_at = driver.now
    driver.submit(patience="2s")
    driver.advance(1990.0)
    assert driver.state() == ("Pending", None)
    driver.advance(20.0)
    task = driver.task()
    assert (task["state"], task["reason"]) == ("Refused", "NO_MACHINE")
    assert driver.now - started_at <= 2010


def test_the_timeout_counts_from_when_the_request_was_received() -> None:
    driver = ControllerDriver(machines=0)
    driver.submit(patience="2s", received=driver.now - 1900)
    driver.advance(100.0)
    assert driver.state() == ("Refused", "Refused")
    driver.submit("late", patience="1s", received=driver.now - 5000)
    driver.advance(5.0)
    assert driver.state("late") == ("Refused", "Refused")


@pytest.mark.parametrize(
    ("delivery", "end"), [("not sent", "unreachable"), ("sent", "reset"), ("silent", "timed out")]
)
def test_a_non_idempotent_task_gets_another_offer_only_if_the_first_was_not_sent(
    delivery: str, end: str
) -> None:
    driver = ControllerDriver()
    driver.submit("a", "blend")
    sent = driver.last_offer()
    if delivery != "not sent":
        assert driver.clear(sent)
    if delivery == "silent":
        driver.advance(4000.0)
    else:
        driver.fail_offer(sent)
    assert driver.task()["attempts"][0]["end"] in (end, "given up")
    if delivery == "not sent":
        assert driver.state() == ("Placing", None), "a non-idempotent task that never ran may be retried"
        assert driver.last_offer().offer.attempt == 1
    else:
        assert driver.state() == ("Failed", "Failed")
        assert len(driver.intents_of(SendOffer)) == 1


def test_an_offer_is_not_cleared_when_it_is_late_or_its_machine_drains_or_its_job_is_deleted() -> None:
    late = ControllerDriver()
    late.submit()
    late.now += late.controller.cluster.settings.connect_timeout_ms + 1
    assert not late.clear(late.last_offer()), "delayed for longer than the slow-start slots allow"
    drained = ControllerDriver()
    drained.submit()
    drained.controller.cordon(drained.now, drained.last_offer().host, unschedulable=True)
    assert not drained.clear(drained.last_offer())
    deleted = ControllerDriver()
    deleted.submit()
    deleted.controller.delete(deleted.now, ("climate", "a"))
    assert not deleted.clear(deleted.last_offer())
    disconnected = ControllerDriver()
    disconnected.submit(patience="1h")
    disconnected.controller.on_link_down(disconnected.now, disconnected.last_offer().host)
    assert disconnected.clear(disconnected.last_offer()), "a broken stream may reconnect"
