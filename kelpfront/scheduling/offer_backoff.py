"""Pauses of all offers: after consecutive rejections, and while the endpoint list may be stale.

They apply to the whole placer. The filters decide what is not offered to a single machine.
"""

from __future__ import annotations

import math

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.model import Task

MIN_BACKOFF_DIVISOR = 32
"""The minimum backoff is the maximum divided by this."""


class OfferBackoff:
    """Pauses offers when most of them would be rejected or machines may drain unnoticed.

    Attributes:
        is_list_stale: whether the endpoint list may hide drains. No machine may be offered a task meanwhile,
            however long it lasts: any of them may have been told to drain, and nothing else reports it.
    """

    def __init__(self, context: SchedulingContext) -> None:
        self._context = context
        self._max_backoff_ms = min(cls.latency_objective_ms for cls in context.settings.classes)
        self._backoff_ms = 0.0
        self._backoff_until = -math.inf
        self.is_list_stale = False

    def should_defer(self, task: Task) -> bool:
        """Return whether the task must not be offered now.

        The backoff does not apply to a task that may have been executed, because its idempotency window would
        expire.
        """
        now = self._context.now
        is_backing_off = now < self._backoff_until and not task.possibly_executed
        return self.is_list_stale or is_backing_off

    def on_list_stale(self) -> None:
        """Pause offers until the list is current again."""
        self.is_list_stale = True

    def on_list_current(self) -> None:
        """End the pause."""
        self.is_list_stale = False

    def on_rejection(self) -> None:
        """Double the backoff; its jitter separates placers that compete for the same scarce capacity."""
        min_backoff_ms = self._max_backoff_ms / MIN_BACKOFF_DIVISOR
        is_first_rejection = self._backoff_ms < min_backoff_ms
        if not is_first_rejection:
            factor = 0.5 + self._context.random.random()
            self._backoff_until = self._context.now + self._backoff_ms * factor
        self._backoff_ms = min(self._max_backoff_ms, max(2 * self._backoff_ms, min_backoff_ms))

    def on_accepted(self) -> None:
        """Halve the backoff."""
        self._backoff_ms /= 2
