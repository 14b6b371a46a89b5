"""The slow start of a machine that has just booted: it starts tasks at a reduced rate, which then increases.

The machine, simulated machines and the checks of the laboratory share this model. `start_queue` decides which
starts wait.
"""

from __future__ import annotations

from dataclasses import dataclass

_END_MARGIN_MS = 1e-9  # at the end of the slow start the share may jump to 1, which the mean must exclude


@dataclass(frozen=True, slots=True)
class SlowStart:
    """The share of the full start rate, which grows linearly from `initial_share` to 1 over `duration_ms`."""

    initial_share: float
    duration_ms: float

    def share_at(self, age_ms: float) -> float:
        """Return the share of its full start rate at which a machine of this age starts tasks."""
        if age_ms >= self.duration_ms or self.duration_ms <= 0:
            return 1.0
        return self.initial_share + (1.0 - self.initial_share) * max(0.0, age_ms) / self.duration_ms

    def starts_between(self, from_ms: float, to_ms: float, starts_per_ms: float) -> float:
        """Return how many starts fit between two ages; `starts_per_ms` is the rate after the slow start."""
        if to_ms <= from_ms:
            return 0.0
        warm_ms = max(0.0, to_ms - max(from_ms, self.duration_ms))
        cold_end_ms = min(to_ms, self.duration_ms)
        equivalent_ms = 0.0  # the time within the slow start, converted to time at the full rate
        if cold_end_ms > from_ms:
            mean_share = (self.share_at(from_ms) + self.share_at(cold_end_ms - _END_MARGIN_MS)) / 2
            equivalent_ms = (cold_end_ms - from_ms) * mean_share
        return starts_per_ms * (warm_ms + equivalent_ms)
