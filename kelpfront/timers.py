"""A timer queue that keeps callbacks by due time. It has no clock: the caller passes the time. No I/O.

Timers cannot be cancelled: a callback that is obsolete when it is called must do nothing.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import NamedTuple

Callback = Callable[[float], None]
"""Called with the current time in milliseconds."""


class _Timer(NamedTuple):
    """A timer, ordered for the heap. Sequence numbers are unique, so callbacks are never compared."""

    due_at: float
    sequence_number: int
    callback: Callback


class Timers:
    """Callbacks by due time, in milliseconds of the common clock."""

    def __init__(self) -> None:
        self._heap: list[_Timer] = []
        self._last_sequence_number = 0

    def set(self, due_at: float, callback: Callback) -> None:
        """Schedule a callback. Callbacks with the same due time run in the order in which they were set."""
        self._last_sequence_number += 1
        heapq.heappush(self._heap, _Timer(due_at, self._last_sequence_number, callback))

    def next(self) -> float:
        """Return when the first timer is due, or infinity if there is none."""
        return self._heap[0].due_at if self._heap else math.inf

    def run(self, now: float) -> None:
        """Run the callbacks that are due, including those that they schedule for now."""
        while self._heap and self._heap[0].due_at <= now:
            timer = heapq.heappop(self._heap)
            timer.callback(now)
