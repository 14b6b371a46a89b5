"""When a change of a task's resource usage is worth a status report.

A pure function, shared by agents and stand-ins; how usage is measured is left to them.
"""

from __future__ import annotations

from kelpfront.machine.model import ResourceUsage

MIN_RELATIVE_CHANGE = 0.1  # of the last report: smaller changes do not pay for a message


def is_significant_change(usage: ResourceUsage, last_reported: ResourceUsage | None) -> bool:
    """Return whether usage differs enough from what was reported of it."""
    if last_reported is None:
        return True
    return any(
        abs(value - reported) > MIN_RELATIVE_CHANGE * reported
        for value, reported in zip(usage, last_reported, strict=True)
    )
