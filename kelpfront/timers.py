"""Timers of who has no clock: calls that are due at a time, in the order of their times. No I/O."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

Call = Callable[[float], None]


class Timers:
    """Calls by time, in milliseconds of the common clock. One that no longer matters must do nothing."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Call]] = []
        self._number = 0

    def set(self, at: float, call: Call) -> None:
        """Have `call` called with the time, at `at` or soon after; those of one time in their order."""
        self._number += 1
        heapq.heappush(self._heap, (at, self._number, call))

    def next(self) -> float:
        """When the first is due; infinity where there is none."""
        return self._heap[0][0] if self._heap else math.inf

    def run(self, now: float) -> None:
        """Calls what is due, and what that makes due at once."""
        while self._heap and self._heap[0][0] <= now:
            heapq.heappop(self._heap)[2](now)
