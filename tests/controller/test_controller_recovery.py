"""Recovery: a restarted controller recovers the tasks that its machines hold."""

from __future__ import annotations

from controllers import ControllerDriver, make_cluster, task_report
from helpers import task_class

from kelpfront.api.jobs import Job
from kelpfront.api.meta import JOBS
from kelpfront.controller.intents import SendOffer
from kelpfront.machine import messages as wire
from kelpfront.scheduling.settings import FailureDomain, Idempotency, TaskClass


def test_a_restarted_controller_recovers_running_tasks_and_their_job() -> None:
    driver = ControllerDriver(machines=2, incarnation="life-2")
    job = wire.JobRef("climate", "a", "uid-old", 3, 5, "tok", {"team": "x"})
    driver.send_snapshot("n0", task_report("uid-old-3", incarnation="life-1", job=job, cls="web", attempt=2))
    assert driver.state(index=3) == ("Running", None), "an earlier incarnation may have given another answer"
    assert driver.task(index=3)["found"]
    assert driver.job()["status"]["answered"] == 1
    recovered_job = driver.job()
    assert (recovered_job["metadata"]["uid"], recovered_job["metadata"]["labels"]) == (
        "uid-old",
        {"team": "x"},
    )
    assert recovered_job["spec"]["clientToken"] == "tok"
    assert driver.controller.find_by_client_token("climate", "tok") is not None
    driver.report_gone("n0", "uid-old-3", 2)
    assert driver.state(index=3) == ("Ended", None)
    Job.model_validate(driver.job())


def test_recovered_tasks_count_towards_the_spread_limit() -> None:
    cluster = make_cluster(classes=(spread_class(),))
    driver = ControllerDriver(machines=1, cluster=cluster, incarnation="life-2")
    driver.send_snapshot("n0", *(task_report(f"u-{n}", incarnation="life-1", cls="apart") for n in range(2)))
    driver.submit("b", "apart", service="front")
    driver.advance(500.0)
    assert driver.intents_of(SendOffer) == [], "the machine already holds two tasks of the service"


def spread_class() -> TaskClass:
    """Return a task class with at most two tasks of a service on a machine."""
    return task_class(
        Idempotency.IDEMPOTENT, name="apart", spread_domain=FailureDomain.MACHINE, max_per_domain=2
    )


def test_after_a_restart_waiting_tasks_are_stopped_and_ended_tasks_ignored() -> None:
    driver = ControllerDriver(machines=1, incarnation="life-2")
    driver.send_snapshot(
        "n0",
        task_report("u-0", "waiting", incarnation="life-1", cls="web"),
        task_report("u-1", "ended", incarnation="life-1", cls="web", cause="ended"),
        task_report("u-2", "running", incarnation="life-2", cls="web"),
    )
    assert driver.stops == [("n0", "u-0", 0), ("n0", "u-2", 0)]
    assert driver.store.count(JOBS) == 0


def test_a_found_task_replaces_an_unsent_resubmission_and_is_stopped_otherwise() -> None:
    driver = ControllerDriver(machines=2, incarnation="life-2")
    driver.submit("a", "blend", cores=1000.0)  # fits no machine, so no offer is sent
    old = wire.JobRef("climate", "a", "uid-old", 0, 1)
    driver.send_snapshot("n0", task_report("uid-old-0", incarnation="life-1", job=old, cls="blend"))
    assert driver.state() == ("Running", None)
    assert driver.intents_of(SendOffer) == []
    assert driver.controller.open_tasks == 0
    driver.submit("b", "blend")
    older = wire.JobRef("climate", "b", "uid-older", 0, 1)
    driver.send_snapshot("n1", task_report("uid-older-0", incarnation="life-1", job=older, cls="blend"))
    assert driver.stops == [("n1", "uid-older-0", 0)]
