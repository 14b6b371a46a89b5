"""Offers: each task has one answer, and what went out decides what a failure means."""

from __future__ import annotations

import pytest
from controllers import ControllerDriver

from kelpfront.api.jobs import Job
from kelpfront.api.machines import Machine
from kelpfront.controller.intents import SendOffer


def test_a_task_from_submission_to_its_end() -> None:
    driver = ControllerDriver()
    driver.submit()
    assert driver.job()["status"]["phase"] == "Placing"
    sent = driver.last_offer()
    assert driver.clear(sent)
    assert not driver.clear(sent), "cleared once"
    driver.now += 20
    driver.answer(sent, "running")
    assert driver.state() == ("Running", "Placed")
    assert driver.task()["machine"] == sent.host
    driver.taken(sent.host, sent.offer.task)
    driver.gone(sent.host, sent.offer.task, exit_code=3)
    task = driver.task()
    assert (task["state"], task["answer"], task["exitCode"]) == ("Ended", "Placed", 3)
    assert [attempt["end"] for attempt in task["attempts"]] == ["ended"]
    assert driver.job()["status"]["phase"] == "Finished"
    Job.model_validate(driver.job())
    Machine.model_validate(driver.machine(sent.host))


def test_an_offer_carries_what_a_machine_and_a_restarted_controller_need() -> None:
    driver = ControllerDriver()
    driver.submit("a", "ingest", key="batch-7", clientToken="tok", count=2, cores=2)
    offer = driver.of(SendOffer)[1].offer
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
    sent = driver.sent()
    driver.answer(sent, "refused", "NO_CORES", "21 asked for in all, 20 accepted")
    second = driver.last_offer()
    assert second.host != sent.host
    assert second.offer.attempt == 1
    assert driver.clear(second)
    driver.answer(second, "refused", "LICENCE", "none left")
    attempts = driver.task()["attempts"]
    assert [(a["end"], a["reason"], a["message"]) for a in attempts[:2]] == [
        ("refused", "NO_CORES", "21 asked for in all, 20 accepted"),
        ("refused", "LICENCE", "none left"),
    ]
    assert [a["machine"] for a in attempts[:2]] == [sent.host, second.host]


def test_four_rejections_refuse_the_task_and_no_offer_follows() -> None:
    driver = ControllerDriver(machines=8)
    sent = driver.sent()
    driver.answer(sent, "refused", "NOT_HERE")
    for number in (1, 2, 3):
        sent = driver.next_offer(sent)
        assert sent.offer.attempt == number
        driver.answer(sent, "refused", "NOT_HERE")
    assert driver.state() == ("Refused", "Refused")
    assert driver.task()["reason"] == "NOT_HERE"
    before = len(driver.of(SendOffer))
    driver.advance(10_000.0)
    assert len(driver.of(SendOffer)) == before
    assert driver.controller.open_tasks == 0


def test_a_task_without_a_machine_is_refused_by_its_deadline() -> None:
    driver = ControllerDriver(machines=0)
    start = driver.now
    driver.submit(patience="2s")
    driver.advance(1990.0)
    assert driver.state() == ("Pending", None)
    driver.advance(20.0)
    task = driver.task()
    assert (task["state"], task["reason"]) == ("Refused", "NO_MACHINE")
    assert driver.now - start <= 2010


def test_the_timeout_counts_from_when_the_request_was_received() -> None:
    driver = ControllerDriver(machines=0)
    driver.submit(patience="2s", received=driver.now - 1900)
    driver.advance(100.0)
    assert driver.state() == ("Refused", "Refused")
    driver.submit("late", patience="1s", received=driver.now - 5000)
    driver.advance(5.0)
    assert driver.state("late") == ("Refused", "Refused")


@pytest.mark.parametrize(
    ("how", "ends"), [("not sent", "unreachable"), ("sent", "reset"), ("silent", "timed out")]
)
def test_whether_an_offer_went_out_decides_what_its_failure_means(how: str, ends: str) -> None:
    driver = ControllerDriver()
    driver.submit("a", "blend")
    sent = driver.last_offer()
    if how != "not sent":
        assert driver.clear(sent)
    if how == "silent":
        driver.advance(4000.0)
    else:
        driver.fail(sent)
    assert driver.task()["attempts"][0]["end"] in (ends, "given up")
    if how == "not sent":
        assert driver.state() == ("Placing", None), "an unsafe task that never ran may be tried again"
        assert driver.last_offer().offer.attempt == 1
    else:
        assert driver.state() == ("Failed", "Failed")
        assert len(driver.of(SendOffer)) == 1


def test_an_offer_is_not_cleared_when_it_is_late_or_its_machine_drains_or_its_job_is_deleted() -> None:
    late = ControllerDriver()
    late.submit()
    late.now += late.controller.cluster.settings.connect_timeout_ms + 1
    assert not late.clear(late.last_offer()), "held up for longer than cold machines' turns allow"
    drained = ControllerDriver()
    drained.submit()
    drained.controller.cordon(drained.now, drained.last_offer().host, unschedulable=True)
    assert not drained.clear(drained.last_offer())
    deleted = ControllerDriver()
    deleted.submit()
    deleted.controller.delete(deleted.now, ("climate", "a"))
    assert not deleted.clear(deleted.last_offer())
    silent = ControllerDriver()
    silent.submit(patience="1h")
    silent.controller.on_link_down(silent.now, silent.last_offer().host)
    assert silent.clear(silent.last_offer()), "a stream may break and come back"
