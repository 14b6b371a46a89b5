"""Dates on a placer's clock what a failure detector observed on its own, without clocks that agree.

The detector received a hello after the placer sent it, so what it did later happened later than the hello was
sent. An observation dated so is never newer than the truth, however late, duplicated or reordered digests
arrive; it can only be older, and then counts for less.
"""

from __future__ import annotations

import math

from kelpfront.failure_detection.digest import DigestHeader

WINDOW_MS = 15_000.0  # the fastest hello of this window and the one before dates observations: clocks drift
DRIFT_ALLOWANCE_MS = 50.0  # what clocks drift apart in 30 s at over a thousandth


class ClockOffset:
    """Estimates the placer's clock less the clock of one incarnation of a detector, from below."""

    def __init__(self) -> None:
        self._window = -math.inf
        self._previous_ms = -math.inf
        self._current_ms = -math.inf

    def date(self, now: float, header: DigestHeader) -> float:
        """Return the digest's `checked_since_ms` on the placer's clock, or an earlier time."""
        self._advance(now // WINDOW_MS)
        observed_ms = header.hello.sent_at_ms - header.hello_received_at_ms
        self._current_ms = max(self._current_ms, observed_ms)
        offset_ms = max(self._previous_ms, self._current_ms)
        return min(now, header.checked_since_ms + offset_ms - DRIFT_ALLOWANCE_MS)

    def _advance(self, window: float) -> None:
        if window == self._window:
            return
        is_next = window == self._window + 1
        self._previous_ms = self._current_ms if is_next else -math.inf
        self._current_ms = -math.inf
        self._window = window
