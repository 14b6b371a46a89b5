"""Converts times on a failure detector's clock to a placer's clock, without synchronized clocks.

The detector receives a hello after the placer sent it. The sending time less the receipt time is therefore at
most the true difference between the two clocks, and a time that is converted with it is never later than the
true time, however late, duplicated or reordered digests arrive. It can only be earlier, and then the
observation counts as older than it is.
"""

from __future__ import annotations

import math

from kelpfront.failure_detection.digest import DigestHeader

WINDOW_MS = 15_000.0  # offsets of the current and the previous window are used, because clocks drift
DRIFT_ALLOWANCE_MS = 50.0  # allows a drift of over a thousandth during 30 s, the length of two windows


class ClockOffset:
    """Estimates the lower bound of the placer's clock less the clock of one incarnation of a detector.

    The estimate is the largest difference seen, which is that of the hello that was delivered fastest.
    """

    def __init__(self) -> None:
        self._window = -math.inf
        self._previous_ms = -math.inf
        self._current_ms = -math.inf

    def convert_checked_since(self, now: float, header: DigestHeader) -> float:
        """Return the digest's `checked_since_ms` on the placer's clock, or an earlier time.

        The digest's hello also updates the estimate.
        """
        self._advance(now // WINDOW_MS)
        difference_ms = header.hello.sent_at_ms - header.hello_received_at_ms
        self._current_ms = max(self._current_ms, difference_ms)
        offset_ms = max(self._previous_ms, self._current_ms)
        return min(now, header.checked_since_ms + offset_ms - DRIFT_ALLOWANCE_MS)

    def _advance(self, window: float) -> None:
        if window == self._window:
            return
        is_next = window == self._window + 1
        self._previous_ms = self._current_ms if is_next else -math.inf
        self._current_ms = -math.inf
        self._window = window
