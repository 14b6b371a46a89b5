"""Decisions of a node: admission, answers, stops, drains, evictions and the order of starts."""

from __future__ import annotations

from typing import Any

from machines import NodeDriver, answer_and_reason, reported_messages, request

from kelpfront.machine.effects import StopTask
from kelpfront.machine.idempotency_records import SharedIdempotencyRecords
from kelpfront.machine.messages import Gone, Taken
from kelpfront.machine.model import ResourceUsage
from kelpfront.machine.slow_start import SlowStart


def test_offers_are_accepted_up_to_the_overcommit_and_refused_with_a_reason() -> None:
    driver = NodeDriver()
    assert answer_and_reason(driver.offer("a", cores=20.0, memory=1.0)) == ("running", "")
    assert answer_and_reason(driver.offer("b", cores=0.5)) == ("refused", "NO_CORES")
    assert driver.stop("a") == "stopping"
    assert answer_and_reason(driver.offer("c", cores=1.0, memory=30.0)) == ("running", "")
    assert answer_and_reason(driver.offer("d", cores=1.0, memory=1.0)) == ("refused", "NO_MEMORY")
    answer = driver.offer("e", needs_kind="large")
    assert answer_and_reason(answer) == ("refused", "NOT_HERE")
    assert driver.node.load().free_memory == -10.0


def test_offers_are_evaluated_one_at_a_time_and_the_queue_is_bounded() -> None:
    driver = NodeDriver(evaluation_ms=10.0, max_pending_offers=3)
    answers = [driver.offer(name) for name in "abcd"]
    assert answers[:3] == [None, None, None]
    assert answer_and_reason(answers[3]) == ("refused", "QUEUE_FULL")
    driver.advance(10.0)
    assert set(driver.answers) == {("d", 0), ("a", 0)}
    driver.advance(20.0)
    assert [answer_and_reason(driver.answers[name, 0])[0] for name in "abc"] == ["running"] * 3


def test_a_repeated_offer_gets_the_first_answer_and_starts_nothing() -> None:
    driver = NodeDriver(starts_at_once=False)
    assert driver.offer("a") is None
    assert driver.offer("a") is None, "neither offer has an answer before the start succeeds"
    driver.started("a")
    assert answer_and_reason(driver.answers["a", 0]) == ("running", "")
    assert answer_and_reason(driver.offer("a")) == ("running", "")
    driver.node.exited(driver.now, "a", 0)
    assert answer_and_reason(driver.offer("a")) == ("running", "")
    assert len(driver.starts) == 1


def test_a_later_attempt_supersedes_one_that_starts_or_runs() -> None:
    driver = NodeDriver(starts_at_once=False)
    driver.offer("a", 0)
    driver.offer("a", 1)
    driver.started("a")
    assert answer_and_reason(driver.answers["a", 0])[0] == "error", (
        "a refusal would claim that the task never ran"
    )
    assert answer_and_reason(driver.answers["a", 1])[0] == "running"
    assert answer_and_reason(driver.offer("a", 2))[0] == "running"
    assert answer_and_reason(driver.offer("a", 1))[0] == "running", "its first answer is repeated"
    assert len(driver.starts) == 1
    assert [(m.attempt, m.running) for m in reported_messages(driver)] == [(1, True), (2, True)]


def test_an_earlier_attempt_is_refused_where_a_later_one_is_active() -> None:
    driver = NodeDriver()
    driver.offer("a", 3)
    assert answer_and_reason(driver.offer("a", 2)) == ("refused", "NOT_HERE")


def test_an_abandoned_offer_is_dropped_unless_its_start_has_begun() -> None:
    driver = NodeDriver(evaluation_ms=10.0, starts_at_once=False)
    driver.offer("a")
    driver.offer("b")
    driver.node.abandon(driver.now, "a", 0)
    driver.advance(10.0)
    assert [start.offer.task for start in driver.starts] == ["b"]
    driver.node.abandon(driver.now, "b", 0)
    driver.started("b")
    assert "b" in driver.node.tasks, "its start had begun: its placer is notified and decides"
    assert [type(m) for m in reported_messages(driver)] == [Taken]


def test_nothing_starts_after_the_deadline_of_its_offer() -> None:
    driver = NodeDriver(evaluation_ms=50.0)
    assert driver.offer("a", not_after=driver.now + 20) is None
    driver.advance(60.0)
    assert answer_and_reason(driver.answers["a", 0]) == ("refused", "NOT_HERE")
    one_start_driver = NodeDriver(starts_at_once=False, max_parallel_starts=1)
    one_start_driver.offer("x")
    one_start_driver.offer("late", not_after=one_start_driver.now + 20)
    one_start_driver.now += 30
    one_start_driver.started("x")
    assert answer_and_reason(one_start_driver.answers["late", 0]) == ("refused", "NOT_HERE")
    assert [start.offer.task for start in one_start_driver.starts] == ["x"]


def test_a_stop_that_arrives_before_its_offer_is_remembered() -> None:
    driver = NodeDriver()
    assert driver.stop("a", 1) == "unknown"
    assert answer_and_reason(driver.offer("a", 1)) == ("refused", "NOT_HERE")
    assert answer_and_reason(driver.offer("a", 2)) == ("running", "")


def test_a_stop_ends_a_task_in_each_phase() -> None:
    driver = NodeDriver(evaluation_ms=10.0, starts_at_once=False, max_parallel_starts=1)
    for name in ("runs", "starts", "queued"):
        driver.offer(name)
    driver.advance(30.0)
    driver.started("runs")
    driver.offer("pending")
    assert [driver.stop(name) for name in ("pending", "queued", "starts", "runs")] == [
        "stopped",
        "stopped",
        "stopping",
        "stopping",
    ]
    assert [answer_and_reason(driver.answers[name, 0])[0] for name in ("pending", "queued", "starts")] == [
        "refused",
        "refused",
        "error",
    ]
    assert driver.node.tasks == {}
    assert [(m.task, m.cause) for m in reported_messages(driver) if isinstance(m, Gone)] == [
        ("starts", "stopped"),
        ("runs", "stopped"),
    ]
    assert driver.stop("runs") == "unknown"
    assert driver.node.load().waiting == 0


def test_an_accepted_task_is_answered_before_its_start_and_reported_when_it_runs() -> None:
    driver = NodeDriver(starts_at_once=False, answer_mode="accepted", max_parallel_starts=1)
    assert answer_and_reason(driver.offer("a")) == ("accepted", "")
    assert answer_and_reason(driver.offer("b")) == ("accepted", "")
    driver.started("a")
    driver.node.set_draining(driver.now, draining=True)
    driver.run()
    messages = reported_messages(driver)
    assert [(m.task, m.running) for m in messages if isinstance(m, Taken)] == [
        ("a", False),
        ("b", False),
        ("a", True),
    ]
    end_reports = [m for m in messages if isinstance(m, Gone)]
    assert end_reports == [], "the start of b began when a was running: the drain does not withdraw b"


def test_a_drain_withdraws_accepted_tasks_that_have_not_begun() -> None:
    driver = NodeDriver(starts_at_once=False, answer_mode="accepted", max_parallel_starts=1)
    driver.offer("a")
    driver.offer("b")
    driver.node.set_draining(driver.now, draining=True)
    driver.run()
    assert [(m.task, m.cause, m.ran) for m in reported_messages(driver) if isinstance(m, Gone)] == [
        ("b", "sent-away", False)
    ]
    assert answer_and_reason(driver.offer("c")) == ("refused", "NOT_HERE")
    driver.node.set_draining(driver.now, draining=False)
    assert answer_and_reason(driver.offer("c", 1)) == ("accepted", "")


def test_a_paced_drain_evicts_one_task_at_a_time_the_lowest_priority_first() -> None:
    driver = NodeDriver(drain_mode="paced")
    for name, priority in (("important", 2), ("cheap", 0), ("mid", 1)):
        driver.offer(name, priority=priority)
    driver.node.set_draining(driver.now, draining=True)
    driver.run()
    assert [stop.task for stop in driver.stops] == ["cheap"]
    driver.advance(100.0)
    assert [stop.task for stop in driver.stops] == ["cheap", "mid"]
    driver.advance(100.0)
    assert [stop.task for stop in driver.stops] == ["cheap", "mid", "important"]
    assert {m.cause for m in reported_messages(driver) if isinstance(m, Gone)} == {"sent-away"}


def test_a_task_starts_when_those_preempted_for_it_have_ended() -> None:
    driver = NodeDriver(preempts=True)
    driver.offer("cheap", cores=20.0)
    driver.node.offer(driver.now, request("important", priority=2, cores=15.0))
    effects = driver.node.pop_effects()
    assert effects == [StopTask("cheap", "pushed-out")]
    driver.node.exited(driver.now, "cheap")
    driver.run()
    assert [start.offer.task for start in driver.starts] == ["cheap", "important"]
    assert answer_and_reason(driver.answers["important", 0]) == ("running", "")


def test_one_task_of_an_idempotency_key_runs_in_its_scope() -> None:
    records = SharedIdempotencyRecords()
    east1 = NodeDriver(records=records)
    east2 = NodeDriver(records=records, name="n2")
    west = NodeDriver(records=records, name="n3", zone="west")
    with_key: dict[str, Any] = {"key": "batch-7/0", "group": "zone", "effect": "keyed"}
    assert answer_and_reason(east1.offer("a", **with_key)) == ("running", "")
    answer = east2.offer("a", 1, **with_key)
    assert answer_and_reason(answer) == ("refused", "NOT_HERE")
    assert answer is not None
    assert answer.message == "a copy stands on n1"
    assert answer_and_reason(west.offer("a", 2, **with_key)) == ("running", "")
    east1.stop("a")
    assert answer_and_reason(east2.offer("a", 3, **with_key)) == ("running", "")
    records.remove_machine("n2")
    assert answer_and_reason(east1.offer("a", 4, **with_key)) == ("running", "")


def test_tasks_are_evicted_when_memory_runs_out() -> None:
    driver = NodeDriver()
    driver.offer("a", memory=10.0)
    driver.offer("b", memory=10.0, priority=1)
    usage = {"a": ResourceUsage(0.5, 12.0), "b": ResourceUsage(0.5, 9.0)}
    driver.node.record_usage(driver.now, usage)
    driver.run()
    assert [(stop.task, stop.cause) for stop in driver.stops] == [("a", "evicted")]
    assert driver.node.load().unused_memory == 11.0


def test_parallel_starts_are_bounded_and_fewer_during_slow_start() -> None:
    cold = NodeDriver(
        starts_at_once=False,
        max_parallel_starts=4,
        max_pending_offers=20,
        slow_start=SlowStart(0.25, 10_000.0),
    )
    for number in range(8):
        cold.offer(f"t{number}", cores=0.1)
    assert len(cold.starts) == 1, "a quarter of four parallel starts"
    cold.advance(9_000.0)
    cold.started("t0")
    assert len(cold.starts) == 5
    assert cold.node.load().waiting == 7


def test_starts_are_paced_where_a_rate_is_set() -> None:
    driver = NodeDriver(
        max_parallel_starts=100, max_pending_offers=200, starts_per_ms=0.01, slow_start=SlowStart(0.5, 4000.0)
    )
    for number in range(100):
        driver.offer(f"t{number}", cores=0.1, memory=0.1)
    assert len(driver.starts) == 1
    driver.advance(3_000.0)
    assert 20 <= len(driver.starts) <= 28, "the start interval shrinks from 160 ms to 100 ms"


def test_a_first_start_of_a_service_needs_its_program_unless_it_is_cached() -> None:
    driver = NodeDriver(max_cached_programs=1)
    for task, service in (("a", "x"), ("b", "x"), ("c", "y")):
        driver.offer(task, service=service)
    for task in ("a", "b", "c"):
        driver.stop(task)
    driver.offer("d", service="y")
    driver.offer("e", service="x")
    assert [start.needs_program for start in driver.starts] == [True, False, True, False, True]


def test_a_failed_start_is_refused_and_an_unconfirmed_one_is_an_error() -> None:
    driver = NodeDriver(starts_at_once=False)
    driver.offer("a")
    driver.node.start_failed(driver.now, "a", "no such command")
    driver.run()
    assert answer_and_reason(driver.answers["a", 0]) == ("refused", "START_FAILED")
    driver.offer("b")
    driver.node.start_unconfirmed(driver.now, "b", "broke")
    driver.run()
    assert answer_and_reason(driver.answers["b", 0]) == ("error", "")
    assert driver.node.load().waiting == 0
