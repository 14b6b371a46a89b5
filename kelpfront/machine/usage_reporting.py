"""The rule for when a change of a task's resource usage leads to a status report.

Agents and simulated machines share this function; each measures or models the usage itself.
"""

from __future__ import annotations

from kelpfront.machine.model import ResourceUsage

MIN_RELATIVE_CHANGE = 0.1  # relative to the last report; smaller changes are not worth a message


def is_significant_change(usage: ResourceUsage, last_reported: ResourceUsage | None) -> bool:
    """Return whether usage differs enough from the last reported usage."""
    if last_reported is None:
        return True
    return any(
        abs(value - reported) > MIN_RELATIVE_CHANGE * reported
        for value, reported in zip(usage, last_reported, strict=True)
    )
