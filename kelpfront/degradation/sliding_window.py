"""Sums of named counters over a sliding time window, in constant memory.

The window advances in steps, so its memory depends on the number of names and not on the number of events. It
reads no clock: callers pass the time.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Hashable
from dataclasses import dataclass, field

STEP_COUNT = 20
"""Number of steps of a window. Its length is precise to one step."""


@dataclass(slots=True)
class _Bucket:
    """The sums of one step."""

    number: int
    sums: Counter[Hashable] = field(default_factory=Counter)


class SlidingWindow:
    """Named sums over the last `span_ms` milliseconds. A time before the latest one counts as the latest."""

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self._step_ms = span_ms / STEP_COUNT
        self._buckets: deque[_Bucket] = deque()
        self._sums: Counter[Hashable] = Counter()
        self._started_at: float | None = None
        self._now = 0.0

    def add(self, now: float, name: Hashable, amount: float = 1) -> None:
        """Add an amount to a sum at the time `now`, in milliseconds."""
        self.advance(now)
        number = int(self._now // self._step_ms)
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        self._buckets[-1].sums[name] += amount  # type: ignore[assignment]
        self._sums[name] += amount  # type: ignore[assignment]

    def advance(self, now: float) -> None:
        """Move the window to `now` and drop the steps that have left it."""
        if self._started_at is None:
            self._started_at = now
        self._now = max(self._now, now)
        newest_expired = int(self._now // self._step_ms) - STEP_COUNT
        while self._buckets and self._buckets[0].number <= newest_expired:
            expired = self._buckets.popleft()
            for name, amount in expired.sums.items():
                self._sums[name] -= amount
        if not self._buckets:
            self._sums.clear()  # rounding errors of the subtractions must not accumulate over days

    def sum(self, name: Hashable) -> float:
        """Return a sum as of the latest time passed."""
        return self._sums.get(name, 0)

    def rate_per_s(self, name: Hashable) -> float:
        """Return a sum per second, over the window or, if that is shorter, the time since the first call."""
        if self._started_at is None:
            return 0.0
        span_ms = min(self.span_ms, max(self._step_ms, self._now - self._started_at))
        return 1000.0 * self.sum(name) / span_ms
