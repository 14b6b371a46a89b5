"""A timer queue without a clock: callbacks by due time, run by whoever holds the clock. No I/O.

Timers cannot be cancelled: a callback that no longer matters when it is called must do nothing.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import NamedTuple

Callback = Callable[[float], None]
"""Called with the time at which timers are run, in milliseconds."""


class _Timer(NamedTuple):
    """A timer in heap order. Sequence numbers are unique, so that callbacks are never compared."""

    due_at: float
    sequence_number: int
    callback: Callback


class Timers:
    """Callbacks by due time, in milliseconds of the common clock."""

    def __init__(self) -> None:
        self._heap: list[_Timer] = []
        self._last_sequence_number = 0

    def set(self, due_at: float, callback: Callback) -> None:
        """Schedule a callback for a time. Those of the same time run in the order in which they were set."""
        self._last_sequence_number += 1
        heapq.heappush(self._heap, _Timer(due_at, self._last_sequence_number, callback))

    def next(self) -> float:
        """Return when the first timer is due; infinity where there is none."""
        return self._heap[0].due_at if self._heap else math.inf

    def run(self, now: float) -> None:
        """Run the callbacks that are due, including those that they make due at once."""
        while self._heap and self._heap[0].due_at <= now:
            timer = heapq.heappop(self._heap)
            timer.callback(now)
