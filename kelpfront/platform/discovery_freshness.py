"""Detects a stale endpoint list. Performs no I/O.

The coordinator answers each poll within its wait time, with or without events. If it fails or falls silent,
the protocol treats what it would have reported as reported 7 s after the failure began. The failure began
no earlier than the last answer, so the list counts as stale from 7 s after that answer. A placer that is
started during a failure has no answer yet, and the failure may have begun long before: its list counts as
stale from the time at which it begins to serve without an answer.
"""

from __future__ import annotations

from collections.abc import Callable

from kelpfront.platform.log_records import LogRecords, OffersPaused, OffersResumed
from kelpfront.platform.timeouts import DISCOVERY_STALE_MS
from kelpfront.scheduling.events import EndpointListCurrent, EndpointListStale, SchedulerEvent
from kelpfront.timers import Timers


class DiscoveryFreshness:
    """Submits an event when the list becomes stale, and another when answers resume.

    Attributes:
        last_answer_at: time of the last answer, in Unix milliseconds; 0 before the first answer.
        is_stale: whether the endpoint list is stale.
    """

    def __init__(
        self, timers: Timers, submit: Callable[[float, SchedulerEvent], None], log: LogRecords
    ) -> None:
        self._timers = timers
        self._submit = submit
        self._log = log
        self._has_answer = False
        self._has_timer = False
        self._stale_since = 0.0
        self.is_stale = False
        self.last_answer_at = 0.0

    def on_answer(self, now: float) -> None:
        """Record an answer of the coordinator, with or without events, that has been applied."""
        self.last_answer_at = now
        self._has_answer = True
        if self.is_stale:
            self.is_stale = False
            self._log.add(OffersResumed(round(now - self._stale_since)))
            self._submit(now, EndpointListCurrent())
        if not self._has_timer:
            self._set_timer()

    def on_serving(self, now: float) -> None:
        """Count the list as stale if the placer begins to serve before the coordinator has answered."""
        if not self._has_answer and not self.is_stale:
            self._become_stale(now)

    def may_hide_drains(self, now: float) -> bool:
        """Return whether the list is stale now, also if the timer for that is late."""
        is_overdue = self._has_answer and now >= self.last_answer_at + DISCOVERY_STALE_MS
        if is_overdue and not self.is_stale:
            self._become_stale(now)
        return self.is_stale

    def _set_timer(self) -> None:
        self._has_timer = True
        self._timers.set(self.last_answer_at + DISCOVERY_STALE_MS, self._check)

    def _check(self, now: float) -> None:
        self._has_timer = False
        if not self.may_hide_drains(now):
            self._set_timer()

    def _become_stale(self, now: float) -> None:
        self.is_stale = True
        self._stale_since = now
        since_answer_ms = now - self.last_answer_at if self._has_answer else 0.0
        self._log.add(OffersPaused(round(since_answer_ms)))
        self._submit(now, EndpointListStale())
