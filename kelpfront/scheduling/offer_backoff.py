"""When no offers are sent at all: after rejections in a row, and while the endpoint list may be stale.

It decides for the whole placer. What is not offered to one machine is decided by the filters.
"""

from __future__ import annotations

import math

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.model import Task

STALE_LIST_BACKOFF_MS = 3000.0
"""Nothing is offered by a list that may hide drains, for so long; then by the list as it was."""
MIN_BACKOFF_DIVISOR = 32
"""The shortest backoff is the longest one divided by this."""


class OfferBackoff:
    """Holds offers back where most of them would be rejected, or where machines may drain unnoticed."""

    def __init__(self, context: SchedulingContext) -> None:
        self._context = context
        self._max_backoff_ms = min(cls.latency_objective_ms for cls in context.settings.classes)
        self._backoff_ms = 0.0
        self._backoff_until = -math.inf
        self._stale_list_until = -math.inf

    def holds_back(self, task: Task) -> bool:
        """Return whether the task must not be offered now.

        A task that may have been executed is not held back by rejections: its idempotency window runs out.
        """
        now = self._context.now
        is_backing_off = now < self._backoff_until and not task.possibly_executed
        return now < self._stale_list_until or is_backing_off

    def on_list_stale(self) -> None:
        """Stop offers for a while: an outage of seconds ends soon; a longer one must not end all placing."""
        self._stale_list_until = self._context.now + STALE_LIST_BACKOFF_MS

    def on_list_received(self) -> None:
        """Go on with offers: the list is current again."""
        self._stale_list_until = -math.inf

    def on_rejection(self) -> None:
        """Double the backoff; randomness in it parts the placers that chase the same little capacity."""
        minimum = self._max_backoff_ms / MIN_BACKOFF_DIVISOR
        is_first_for_a_while = self._backoff_ms < minimum
        if not is_first_for_a_while:
            factor = 0.5 + self._context.random.random()
            self._backoff_until = self._context.now + self._backoff_ms * factor
        self._backoff_ms = min(self._max_backoff_ms, max(2 * self._backoff_ms, minimum))

    def on_accepted(self) -> None:
        """Halve the backoff."""
        self._backoff_ms /= 2
