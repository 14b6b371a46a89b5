"""How many tasks a machine that has just booted can start.

Shared by the machine itself, by stand-ins and by what checks the scheduler. Which starts wait is decided by
`start_queue`.
"""

from __future__ import annotations

from dataclasses import dataclass

_JUST_BEFORE_MS = 1e-9  # the share jumps to 1 at the end of the slow start, which the mean must not count


@dataclass(frozen=True, slots=True)
class SlowStart:
    """A share of the full pace of starts, growing evenly from `initial_share` to 1 over `duration_ms`."""

    initial_share: float
    duration_ms: float

    def share_at(self, age_ms: float) -> float:
        """Return the share of its full pace at which a machine of this age starts tasks."""
        if age_ms >= self.duration_ms or self.duration_ms <= 0:
            return 1.0
        return self.initial_share + (1.0 - self.initial_share) * max(0.0, age_ms) / self.duration_ms

    def starts_between(self, from_ms: float, to_ms: float, starts_per_ms: float) -> float:
        """Return how many starts fit between two ages, at a rate that holds when warm."""
        if to_ms <= from_ms:
            return 0.0
        warm_ms = max(0.0, to_ms - max(from_ms, self.duration_ms))
        cold_end_ms = min(to_ms, self.duration_ms)
        equivalent_ms = 0.0  # the part in the slow start, as time at the full pace
        if cold_end_ms > from_ms:
            mean_share = (self.share_at(from_ms) + self.share_at(cold_end_ms - _JUST_BEFORE_MS)) / 2
            equivalent_ms = (cold_end_ms - from_ms) * mean_share
        return starts_per_ms * (warm_ms + equivalent_ms)
