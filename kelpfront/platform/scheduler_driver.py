"""Passes events to the scheduler one at a time and has its actions carried out. Pure.

The driver makes no decisions and knows neither requests nor machines; the core carries the actions out.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from kelpfront.scheduling.actions import SchedulerAction
from kelpfront.scheduling.events import SchedulerEvent
from kelpfront.scheduling.scheduler import Scheduler


class SchedulerDriver:
    """The event queue in front of one scheduler; `carry_out` is called with the time and each action."""

    def __init__(self, scheduler: Scheduler, carry_out: Callable[[float, SchedulerAction], None]) -> None:
        self._scheduler = scheduler
        self._carry_out = carry_out
        self._events: deque[SchedulerEvent] = deque()
        self._handling = False

    def enqueue(self, event: SchedulerEvent) -> None:
        """Append an event caused by an action; it is handled after that action has been carried out."""
        self._events.append(event)

    def submit(self, now: float, event: SchedulerEvent) -> None:
        """Handle an event and all events that it causes; during an action, only append it."""
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                for action in self._scheduler.handle(now, self._events.popleft()):
                    self._carry_out(now, action)
        finally:
            self._handling = False
