"""The day of owners that leave, small: it counts what it says it counts. Times are for runs by hand."""

from __future__ import annotations

from pathlib import Path

from kelpfront.lab.fleet.leavers import WAYS, Leavers, Run


async def test_owners_that_leave_are_counted_by_their_ways(tmp_path: Path) -> None:
    run = Run(Leavers(placers=2, machines=6, seconds=3.0, stops=1.0), tmp_path)
    figures = await run.run()
    assert figures["died"] == []
    assert figures["set-ups"] >= figures["cases"] == sum(row["cases"] for row in figures["ways"].values()) > 0
    assert set(figures["ways"]) == set(WAYS)
    assert figures["offers"] > 0
    assert figures["attempts_after"] == sum(row["attempts_after"] for row in figures["ways"].values())
