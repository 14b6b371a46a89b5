"""Tests of the reachability check and the shutdown schedule, without sockets."""

from __future__ import annotations

from kelpfront.platform.timeouts import (
    DRAIN_SERVE_MS,
    ReachabilityCheck,
    ShutdownSchedule,
)


def test_a_process_is_dead_after_two_refused_connections_in_a_row() -> None:
    check = ReachabilityCheck()
    assert not check.on_refused()
    check.on_no_response()
    assert [check.on_refused(), check.on_refused()] == [False, True]


def test_a_draining_placer_answers_all_requests_and_tracks_running_tasks_for_a_grace_period() -> None:
    schedule = ShutdownSchedule(begun_at=1000.0, longest_deadline_ms=4000.0)
    earliest_end, latest_end = 1000.0 + DRAIN_SERVE_MS, 5000.0 + DRAIN_SERVE_MS
    assert not schedule.may_exit(earliest_end - 1, 0, 0)
    assert schedule.may_exit(earliest_end, 0, 0)
    assert not schedule.may_exit(latest_end - 1, 0, 5)
    assert schedule.may_exit(latest_end, 0, 5)
    assert not schedule.may_exit(latest_end, 1, 1)
