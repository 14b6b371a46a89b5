"""The number of tasks that a machine can start during its slow start."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.machine.slow_start import SlowStart


@settings(derandomize=True, deadline=None)
@given(st.floats(0, 20_000), st.floats(0, 20_000))
def test_the_slow_start_share_grows_and_its_integral_gives_the_starts(begin: float, length: float) -> None:
    slow_start = SlowStart(0.25, 10_000.0)
    assert 0.25 <= slow_start.share_at(begin) <= slow_start.share_at(begin + length) <= 1.0
    steps = 400
    summed = (
        sum(slow_start.share_at(begin + length * (n + 0.5) / steps) for n in range(steps)) * length / steps
    )
    assert slow_start.starts_between(begin, begin + length, 1.0) == pytest.approx(summed, rel=2e-3, abs=1e-6)
