"""Whether the endpoint list is up to date. Pure.

The coordinator answers at least once in the wait of a poll, with events or without. What one that breaks off
or falls silent would have notified counts as notified 7 s after that began, which was after its last answer.
"""

from __future__ import annotations

from collections.abc import Callable

from kelpfront.platform.timeouts import DISCOVERY_STALE_MS
from kelpfront.scheduling.events import EndpointList, EndpointListKind, EndpointListStale, SchedulerEvent
from kelpfront.timers import Timers


class DiscoveryFreshness:
    """Submits an event when discovery has been silent for DISCOVERY_STALE_MS, and one when that ends.

    Attributes:
        last_answer_at: time of the last answer, in Unix milliseconds; 0 before the first one, from which on
            silence counts.
        is_stale: whether discovery is silent now.
    """

    def __init__(self, timers: Timers, submit: Callable[[float, SchedulerEvent], None]) -> None:
        self._timers = timers
        self._submit = submit
        self._timer_set = False
        self.is_stale = False
        self.last_answer_at = 0.0

    def on_answer(self, now: float) -> None:
        """Take note of an answer of the coordinator, with events or without."""
        self.last_answer_at = now
        if self.is_stale:
            self.is_stale = False
            self._submit(now, EndpointList(EndpointListKind.CHANGES, 0, ()))
        if not self._timer_set:
            self._set_timer()

    def _set_timer(self) -> None:
        self._timer_set = True
        self._timers.set(self.last_answer_at + DISCOVERY_STALE_MS, self._check)

    def _check(self, now: float) -> None:
        self._timer_set = False
        if now < self.last_answer_at + DISCOVERY_STALE_MS:
            self._set_timer()
        else:
            self.is_stale = True
            self._submit(now, EndpointListStale())
