"""Recovery: a controller that starts anew takes over what its machines hold."""

from __future__ import annotations

from controllers import ControllerDriver, cluster, report
from helpers import task_class

from kelpfront.api.jobs import Job
from kelpfront.api.meta import JOBS
from kelpfront.controller.intents import SendOffer
from kelpfront.machine import messages as wire
from kelpfront.scheduling.settings import FailureDomain, Idempotency, TaskClass


def test_a_restarted_controller_takes_over_the_tasks_that_run() -> None:
    driver = ControllerDriver(machines=2, incarnation="life-2")
    job = wire.JobRef("climate", "a", "uid-old", 3, 5, "tok", {"team": "x"})
    driver.snapshot("n0", report("uid-old-3", life="life-1", job=job, cls="web", attempt=2))
    assert driver.state(index=3) == ("Running", None), "an earlier life may have given another answer"
    assert driver.task(index=3)["found"]
    assert driver.job()["status"]["answered"] == 1
    shown = driver.job()
    assert (shown["metadata"]["uid"], shown["metadata"]["labels"]) == ("uid-old", {"team": "x"})
    assert shown["spec"]["clientToken"] == "tok"
    assert driver.controller.find_by_client_token("climate", "tok") is not None
    driver.gone("n0", "uid-old-3", 2)
    assert driver.state(index=3) == ("Ended", None)
    Job.model_validate(driver.job())


def test_found_tasks_count_for_spread() -> None:
    spread = cluster(classes=(spread_class(),))
    driver = ControllerDriver(machines=1, its_cluster=spread, incarnation="life-2")
    driver.snapshot("n0", *(report(f"u-{n}", life="life-1", cls="apart") for n in range(2)))
    driver.submit("b", "apart", service="front")
    driver.advance(500.0)
    assert driver.of(SendOffer) == [], "two of the service are there already"


def spread_class() -> TaskClass:
    """A class of which a machine runs at most two tasks of a service."""
    return task_class(
        Idempotency.IDEMPOTENT, name="apart", spread_domain=FailureDomain.MACHINE, max_per_domain=2
    )


def test_after_a_restart_waiting_tasks_are_stopped_and_ended_ones_left_alone() -> None:
    driver = ControllerDriver(machines=1, incarnation="life-2")
    driver.snapshot(
        "n0",
        report("u-0", "waiting", life="life-1", cls="web"),
        report("u-1", "ended", life="life-1", cls="web", cause="ended"),
        report("u-2", "running", life="life-2", cls="web"),
    )
    assert driver.stops == [("n0", "u-0", 0), ("n0", "u-2", 0)]
    assert driver.store.count(JOBS) == 0


def test_a_found_task_takes_the_place_of_an_unsent_resubmission_or_is_stopped() -> None:
    driver = ControllerDriver(machines=2, incarnation="life-2")
    driver.submit("a", "blend", cores=1000.0)  # waits: nothing was sent
    old = wire.JobRef("climate", "a", "uid-old", 0, 1)
    driver.snapshot("n0", report("uid-old-0", life="life-1", job=old, cls="blend"))
    assert driver.state() == ("Running", None)
    assert driver.of(SendOffer) == []
    assert driver.controller.open_tasks == 0
    driver.submit("b", "blend")
    older = wire.JobRef("climate", "b", "uid-older", 0, 1)
    driver.snapshot("n1", report("uid-older-0", life="life-1", job=older, cls="blend"))
    assert driver.stops == [("n1", "uid-older-0", 0)]
