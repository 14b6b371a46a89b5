"""Computation of tasks' use of cores and memory from samples of processes."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.agent.usage import ProcessSample, TaskSample, UsageSmoother, next_period_ms, sum_by_task


def test_use_is_the_sum_over_the_process_tree_including_reaped_children() -> None:
    samples = [
        ProcessSample(10, 1, 9.0, 2.0, 100.0),  # the supervisor: only the 2 s of reaped children count
        ProcessSample(11, 10, 1.0, 0.5, 30.0),
        ProcessSample(12, 11, 0.25, 0.0, 20.0),
        ProcessSample(20, 1, 5.0, 5.0, 500.0),
    ]
    assert sum_by_task(samples, {"t": 10, "gone": 77}) == {"t": TaskSample(3.75, 50.0, 2)}


@given(st.lists(st.tuples(st.floats(1.0, 1e4), st.floats(0.0, 4.0)), min_size=1, max_size=30))
@settings(derandomize=True)
def test_smoothed_cores_stay_within_the_range_of_the_samples(steps: list[tuple[float, float]]) -> None:
    smoother = UsageSmoother(1000.0)
    now = 0.0
    cpu_s = 0.0
    smoother.add(now, TaskSample(0.0, 1.0, 1))
    max_cores = 0.0
    for ms, cores in steps:
        now += ms
        cpu_s += cores * ms / 1000.0
        max_cores = max(max_cores, cores)
        use = smoother.add(now, TaskSample(cpu_s, 1.0, 1))
        assert -1e-9 <= use.cores <= max_cores + 1e-6
        assert use.cpu_s == pytest.approx(cpu_s)


def test_decreasing_cpu_time_and_a_clock_that_does_not_advance_are_tolerated() -> None:
    smoother = UsageSmoother(0.0)
    smoother.add(1000.0, TaskSample(5.0, 1.0, 1))
    assert smoother.add(2000.0, TaskSample(4.0, 1.0, 1)).cpu_s == 5.0
    again = smoother.add(2000.0, TaskSample(7.0, 1.0, 1))
    assert again.cpu_s == 7.0
    assert again.cores == 0.0


def test_slow_sampling_extends_the_period() -> None:
    assert next_period_ms(1000.0, 3.0) == 1000.0
    assert next_period_ms(1000.0, 100.0) == pytest.approx(5000.0)
