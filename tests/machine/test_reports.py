"""A machine's reports to its placers, also when their streams are disconnected."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from machines import NodeDriver

from kelpfront.machine import report_log
from kelpfront.machine.admission import Capacity
from kelpfront.machine.messages import Note, Taken
from kelpfront.machine.outbox import Outbox
from kelpfront.machine.report_log import ReportLog, TooManyPlacersError


def test_an_outbox_resumes_within_its_retained_messages() -> None:
    outbox = Outbox(max_messages=3, max_status_reports=2)
    for number in range(5):
        outbox.append_accepted(f"t{number}", 0, running=True)
    assert [message.seq for message in outbox.messages_from(4)] == [4, 5]
    assert [outbox.reaches(seq) for seq in (2, 3, 5, 6, 7)] == [False, True, True, True, False]
    for value in (1.0, 2.0, 3.0):
        outbox.add_status_report(Note("t", 0, "cores", value))
    assert [report.value for report in outbox.pop_status_reports()] == [2.0, 3.0]


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.sampled_from(["offer", "exit", "cut"]), max_size=60), st.data())
def test_a_placer_that_is_disconnected_anywhere_learns_in_the_end_what_runs(
    steps: list[str], data: st.DataObject
) -> None:
    """Whatever is cut and lost, numbered messages and snapshots together show each task's last state."""
    driver = NodeDriver(max_pending_offers=100, capacity=Capacity(1000, 1000, 2, 2))
    driver.node._report_log._outboxes["p0"] = Outbox(max_messages=4)
    known: dict[str, bool] = {}
    first: int | None = None

    def read(limit: int) -> None:
        nonlocal first
        hello = driver.node.hello(driver.now, "p0", first)
        at = hello.next_seq
        if not hello.resumed:
            snapshot = driver.node.snapshot("p0")
            known.clear()
            known.update({report.offer.task: report.phase != "ended" for report in snapshot.tasks})
            at = snapshot.seq + 1
        for message in driver.node.outbox("p0").messages_from(at)[:limit]:
            known[message.task] = isinstance(message, Taken)
            at = message.seq + 1
        first = at

    for n, step in enumerate(steps):
        if step == "offer":
            driver.offer(f"t{n}", cores=0.1, memory=0.1)
        elif step == "exit" and driver.node.tasks:
            driver.node.exited(driver.now, data.draw(st.sampled_from(sorted(driver.node.tasks))))
        else:
            read(data.draw(st.integers(0, 3)))
    read(100)
    assert {task for task, runs in known.items() if runs} == set(driver.node.tasks)


def test_the_outbox_of_a_placer_without_tasks_is_dropped_for_another_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(report_log, "MAX_PLACERS", 2)
    with_tasks = {"p0"}
    log = ReportLog(1, lambda: with_tasks)
    first_outbox = log.outbox("p0")
    first_outbox.append_accepted("a", 0, running=True)
    log.outbox("p1").append_accepted("b", 0, running=True)
    log.outbox("p2")
    assert log.outbox("p0") is first_outbox
    assert log.outbox("p1").next_seq == 1, "the outbox of p1 was dropped for p2 and created anew"
    with_tasks |= {"p1"}
    with pytest.raises(TooManyPlacersError, match="2 placers have tasks here"):
        log.outbox("p3")
