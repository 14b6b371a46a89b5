"""Pauses of all offers: after consecutive rejections, and while the endpoint list may be stale.

They apply to the whole placer. The filters decide what is not offered to a single machine.
"""

from __future__ import annotations

import math

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.model import Task

STALE_LIST_BACKOFF_MS = 3000.0
"""Length of the pause after the endpoint list became stale, because it may hide drains.

After the pause, offers are based on the last known list.
"""
MIN_BACKOFF_DIVISOR = 32
"""The minimum backoff is the maximum divided by this."""


class OfferBackoff:
    """Pauses offers when most of them would be rejected or machines may drain unnoticed."""

    def __init__(self, context: SchedulingContext) -> None:
        self._context = context
        self._max_backoff_ms = min(cls.latency_objective_ms for cls in context.settings.classes)
        self._backoff_ms = 0.0
        self._backoff_until = -math.inf
        self._stale_list_until = -math.inf

    def should_defer(self, task: Task) -> bool:
        """Return whether the task must not be offered now.

        The backoff does not apply to a task that may have been executed, because its idempotency window would
        expire.
        """
        now = self._context.now
        is_backing_off = now < self._backoff_until and not task.possibly_executed
        return now < self._stale_list_until or is_backing_off

    def on_list_stale(self) -> None:
        """Pause offers for a limited time: short outages end within it, long ones must not stop placement."""
        self._stale_list_until = self._context.now + STALE_LIST_BACKOFF_MS

    def on_list_received(self) -> None:
        """End the pause: the list is current again."""
        self._stale_list_until = -math.inf

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
