"""Processes of the program before machines that come up cold: the bound alone, never a speed."""

from __future__ import annotations

from pathlib import Path

import pytest

from kelpfront.lab.fleet.coldramp import ColdRamp, Run, most_within


async def test_three_placers_that_are_killed_in_a_ramp_keep_to_the_budget(tmp_path: Path) -> None:
    shape = ColdRamp(placers=3, machines=2, load=20.0, seconds=4.0, kill_every_s=1.0, restarts=1)
    figures = await Run(shape, tmp_path).run()
    assert figures["died"] == []
    assert figures["offers"] > 0
    assert figures["worst_window"] <= figures["bound"]


@pytest.mark.parametrize(
    ("times", "most"), [([], 0), ([0.0, 50.0, 100.0], 2), ([0.0, 99.0, 100.0, 199.0], 2), ([5.0] * 4, 4)]
)
def test_windows_are_half_open(times: list[float], most: int) -> None:
    assert most_within(times, 100.0) == most
