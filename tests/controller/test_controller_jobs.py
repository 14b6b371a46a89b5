"""Jobs: submission, updates and deletion by clients, and the rejection of invalid requests."""

from __future__ import annotations

from typing import Any

import pytest
from controllers import ControllerDriver

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import JobSpec
from kelpfront.api.meta import JOBS
from kelpfront.controller.intents import SendOffer
from kelpfront.controller.jobs import JobLimits, JobUpdate


def test_deleting_a_job_withdraws_its_tasks_in_every_state() -> None:
    driver = ControllerDriver()
    running = driver.submit_and_clear("a")
    driver.answer_offer(running, "running")
    outstanding = driver.submit_and_clear("b", "blend")
    driver.submit("c", cores=1000.0)  # fits no machine and stays pending
    for name in "abc":
        driver.controller.delete(driver.now, ("climate", name))
        driver.collect()
    assert driver.stops == [
        (running.host, running.offer.task, 0),
        (outstanding.host, outstanding.offer.task, 0),
    ]
    assert (outstanding.host, outstanding.offer.task, 0) in driver.abandoned
    driver.report_gone(running.host, running.offer.task, cause="stopped")
    driver.answer_offer(outstanding, "running")
    driver.advance(10_000.0)
    assert driver.controller.open_tasks == 0
    assert driver.store.count(JOBS) == 0
    assert driver.controller.context.task_table.by_uid == {}
    assert driver.controller.context.task_table.by_scheduler_id == {}


def test_an_update_of_the_count_adds_or_withdraws_tasks_and_fixed_fields_cannot_change() -> None:
    driver = ControllerDriver()
    driver.submit(count=2)
    spec: dict[str, Any] = {"class": "web", "service": "front", "cores": 1, "memory": 2}

    def update(**changes: Any) -> Any:
        new_spec = JobSpec.model_validate({**spec, **changes})
        update = JobUpdate(new_spec, {"team": "x"}, {}, driver.now)
        driver.controller.update(driver.now, ("climate", "a"), update)
        driver.collect()
        return driver.job()

    grown = update(count=4)
    assert [task["index"] for task in grown["status"]["tasks"]] == [0, 1, 2, 3]
    assert (grown["metadata"]["generation"], grown["metadata"]["labels"]) == (2, {"team": "x"})
    shrunk = update(count=1)
    assert [task["index"] for task in shrunk["status"]["tasks"]] == [0]
    regrown = update(count=2)
    assert [task["index"] for task in regrown["status"]["tasks"]] == [0, 4], "no index is used twice"
    with pytest.raises(ApiError) as error:
        update(cores=2, service="other")
    assert {cause.field for cause in error.value.causes} == {"spec.cores", "spec.service"}
    assert driver.controller.open_tasks == 2


def test_a_spec_that_does_not_match_its_class_is_rejected_with_the_invalid_field() -> None:
    driver = ControllerDriver()
    for cls, spec, field in (
        ("unknown", {}, "spec.class"),
        ("web", {"key": "x"}, "spec.key"),
        ("ingest", {"key": None}, "spec.key"),
    ):
        with pytest.raises(ApiError) as error:
            driver.submit("bad", cls, **spec)
        assert [cause.field for cause in error.value.causes] == [field]
    assert driver.store.count(JOBS) == 0


def test_open_tasks_jobs_and_finished_jobs_are_limited() -> None:
    driver = ControllerDriver(machines=0, limits=JobLimits(open_tasks=5, jobs=2, finished_jobs=1))
    driver.submit("a", count=4)
    with pytest.raises(ApiError) as error:
        driver.submit("b", count=2)
    assert (error.value.code, error.value.retry_after_s) == (429, 1)
    driver.submit("b", count=1)
    driver.advance(5000.0)
    with pytest.raises(ApiError):
        driver.store.get(JOBS, ("climate", "a"))
    assert driver.state("b") == ("Refused", "Refused")
    driver.submit("c")
    driver.submit("d")
    with pytest.raises(ApiError):
        driver.submit("e")


def test_a_rejected_submission_adds_no_tasks_and_no_offers() -> None:
    driver = ControllerDriver()
    first = driver.submit()
    with pytest.raises(ApiError):
        driver.submit()
    driver.advance(10_000.0)
    assert driver.job()["metadata"]["uid"] == first["metadata"]["uid"]
    task_table = driver.controller.context.task_table
    assert len(task_table.by_uid) + len(task_table.by_scheduler_id) <= 2
    assert {sent.offer.task for sent in driver.intents_of(SendOffer)} == {first["status"]["tasks"][0]["uid"]}


def test_a_client_token_finds_its_job_until_it_is_deleted() -> None:
    driver = ControllerDriver()
    driver.submit("a", clientToken="t")
    found = driver.controller.find_by_client_token("climate", "t")
    assert found is not None
    assert found.name == "a"
    assert driver.controller.find_by_client_token("other", "t") is None
    driver.controller.delete(driver.now, ("climate", "a"))
    assert driver.controller.find_by_client_token("climate", "t") is None


def test_a_large_job_does_not_delay_a_drain() -> None:
    driver = ControllerDriver()
    driver.submit(count=500, cores=0.01, memory=0.01)
    assert len(driver.intents_of(SendOffer)) <= 8
    driver.controller.cordon(driver.now, "n1", unschedulable=True)
    driver.advance(1.0)
    assert {sent.host for sent in driver.intents_of(SendOffer)[8:]} <= {"n0", "n2", "n3"}
    assert len(driver.intents_of(SendOffer)) == 500
