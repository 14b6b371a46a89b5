"""Tests of the sums over a sliding window."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.degradation.sliding_window import STEP_COUNT, SlidingWindow
from kelpfront.degradation.thresholds import SIGNAL_WINDOW_MS


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.floats(0, 3_000), st.integers(0, 5)), max_size=60))
def test_a_window_sums_the_events_within_its_span(steps: list[tuple[float, int]]) -> None:
    window = SlidingWindow(SIGNAL_WINDOW_MS)
    now = 0.0
    added = []
    for delay_ms, amount in steps:
        now += delay_ms
        window.add(now, "x", amount)
        added.append((now, amount))
    step_ms = SIGNAL_WINDOW_MS / STEP_COUNT
    lowest = sum(amount for added_at, amount in added if added_at > now - SIGNAL_WINDOW_MS + step_ms)
    highest = sum(amount for added_at, amount in added if added_at > now - SIGNAL_WINDOW_MS - step_ms)
    assert lowest <= window.sum("x") <= highest
