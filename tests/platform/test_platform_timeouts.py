"""How long a placer waits for others, and when it may end, without sockets."""

from __future__ import annotations

from kelpfront.platform.timeouts import (
    DRAIN_SERVE_MS,
    ReachabilityCheck,
    ShutdownSchedule,
)


def test_a_process_is_dead_after_two_refused_connections_in_a_row() -> None:
    reach = ReachabilityCheck()
    assert not reach.on_refused()
    reach.on_no_response()
    assert [reach.on_refused(), reach.on_refused()] == [False, True]


def test_a_draining_placer_answers_all_and_looks_after_running_tasks_for_a_while() -> None:
    ending = ShutdownSchedule(begun_at=1000.0, longest_deadline_ms=4000.0)
    first, last = 1000.0 + DRAIN_SERVE_MS, 5000.0 + DRAIN_SERVE_MS
    assert not ending.is_over(first - 1, 0, 0)
    assert ending.is_over(first, 0, 0)
    assert not ending.is_over(last - 1, 0, 5)
    assert ending.is_over(last, 0, 5)
    assert not ending.is_over(last, 1, 1)
