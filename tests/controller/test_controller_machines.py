"""Machines: their states, their streams, and the ends of the tasks that they hold."""

from __future__ import annotations

import pytest
from controllers import ControllerDriver, make_inventory, task_report

from kelpfront.controller.intents import LogLine, SendOffer
from kelpfront.machine import messages as wire


def test_a_disconnected_machine_is_gone_and_ready_again_after_it_reconnects() -> None:
    driver = ControllerDriver(machines=2)
    assert driver.machine("n0")["status"]["state"] == "Ready"
    driver.controller.on_link_down(driver.now, "n0")
    driver.advance(900.0)
    assert driver.machine("n0")["status"]["state"] == "Ready", "a stream may reconnect within a second"
    driver.advance(300.0)
    assert driver.machine("n0")["status"]["state"] == "Gone"
    driver.connect("n0", boot="boot-2", age_ms=10.0)
    status = driver.machine("n0")["status"]
    assert (status["state"], status["bootId"]) == ("Ready", "boot-2")


def test_a_machine_is_gone_after_four_missed_heartbeats() -> None:
    driver = ControllerDriver(machines=1)
    driver.advance(3900.0, heartbeats=False)
    assert driver.machine("n0")["status"]["state"] == "Ready"
    driver.advance(300.0, heartbeats=False)
    assert driver.machine("n0")["status"]["state"] == "Gone"
    assert "silent" in driver.machine("n0")["status"]["message"]
    driver.send_heartbeat("n0")
    assert driver.machine("n0")["status"]["state"] == "Ready"


@pytest.mark.parametrize("drained_by", ["operator", "machine", "inventory"])
def test_a_drained_machine_gets_no_offers_whoever_drains_it(drained_by: str) -> None:
    driver = ControllerDriver(machines=2)
    driver.advance(300.0)
    if drained_by == "operator":
        driver.controller.cordon(driver.now, "n0", unschedulable=True)
    elif drained_by == "machine":
        driver.send_heartbeat("n0", "draining")
    else:
        driver.controller.apply_inventory(
            driver.now,
            type(make_inventory(1))(
                "", {name: host for name, host in make_inventory(2).hosts.items() if name != "n0"}
            ),
        )
    driver.collect()
    driver.submit(count=30, cores=0.1, memory=0.1)
    driver.advance(500.0)
    assert {sent.host for sent in driver.intents_of(SendOffer)} == {"n1"}
    if drained_by == "operator":
        assert driver.machine("n0")["spec"]["unschedulable"] is True
        driver.controller.cordon(driver.now, "n0", unschedulable=False)
        assert driver.machine("n0")["status"]["state"] == "Ready"


def test_tasks_of_a_disconnected_machine_are_lost_and_stopped_if_it_reconnects() -> None:
    driver = ControllerDriver(machines=2)
    sent = driver.submit_and_clear()
    driver.answer_offer(sent, "running")
    driver.controller.on_link_down(driver.now, sent.host)
    driver.advance(5000.0)
    assert driver.state() == ("Running", "Placed")
    driver.advance(1500.0)
    assert driver.state() == ("Lost", "Placed")
    assert driver.task()["reason"] == "MACHINE_LOST"
    driver.connect(sent.host, resumed=True)
    driver.send_snapshot(sent.host, task_report(sent.offer.task, incarnation="life-1"))
    assert driver.stops == [(sent.host, sent.offer.task, 0)]
    assert driver.state() == ("Lost", "Placed")


def test_tasks_missing_from_the_snapshot_of_a_restarted_machine_are_lost() -> None:
    driver = ControllerDriver(machines=1)
    sent = driver.submit_and_clear()
    driver.answer_offer(sent, "running")
    driver.connect("n0", boot="boot-2", age_ms=5.0)
    driver.send_snapshot("n0")
    assert driver.state() == ("Lost", "Placed")


@pytest.mark.parametrize(
    ("cause", "state", "reason"),
    [
        ("ended", "Ended", None),
        ("evicted", "Lost", "EVICTED"),
        ("pushed-out", "Lost", "PUSHED_OUT"),
        ("sent-away", "Lost", "SENT_AWAY"),
        ("failed", "Lost", "START_FAILED"),
    ],
)
def test_the_cause_of_the_end_of_a_placed_task_sets_its_state_and_reason(
    cause: str, state: str, reason: str | None
) -> None:
    driver = ControllerDriver()
    sent = driver.submit_and_clear()
    driver.answer_offer(sent, "running")
    driver.report_gone(sent.host, sent.offer.task, cause=cause)
    task = driver.task()
    assert (task["state"], task.get("reason"), task["answer"]) == (state, reason, "Placed")
    driver.advance(6000.0)
    assert driver.machine(sent.host)["status"]["tasks"] == 0


def test_a_task_with_poor_service_is_migrated_and_published_as_lost() -> None:
    driver = ControllerDriver(machines=3)
    sent = driver.submit_and_clear()
    driver.answer_offer(sent, "running")
    driver.send_message(sent.host, wire.Note(sent.offer.task, 0, "service", 0.1))
    assert driver.stops == [(sent.host, sent.offer.task, 0)]
    driver.report_gone(sent.host, sent.offer.task, cause="stopped")
    assert (driver.task()["state"], driver.task()["reason"]) == ("Lost", "MOVED")


def test_a_stop_is_sent_again_until_the_machine_confirms_it() -> None:
    driver = ControllerDriver(machines=1)
    sent = driver.submit_and_clear()
    driver.answer_offer(sent, "running")
    driver.controller.delete(driver.now, ("climate", "a"))
    driver.collect()
    driver.connect("n0", resumed=True)
    assert len(driver.stops) == 2
    driver.controller.on_stop_confirmed("n0", sent.offer.task)
    driver.connect("n0", resumed=True)
    assert len(driver.stops) == 2


def test_the_log_line_of_an_ejection_names_the_machine() -> None:
    driver = ControllerDriver(machines=3)
    for name in "abcd":
        driver.submit(name)
        sent = driver.last_offer()
        driver.clear(sent)
        driver.answer_offer(sent, "error")
    lines = [line for line in driver.intents_of(LogLine) if line.event == "machine ejected"]
    assert lines
    assert all(line.fields["machine"].startswith("n") for line in lines)
