"""Runs the scheduler: passes events to it one at a time and executes the resulting actions.

The actions are executed by a callable that the owner provides.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from kelpfront.controller.degradation import ProcessLoad
from kelpfront.scheduling.actions import SchedulerAction
from kelpfront.scheduling.events import SchedulerEvent
from kelpfront.scheduling.scheduler import Scheduler

ActionHandler = Callable[[float, SchedulerAction], None]


class SchedulerDriver:
    """The only caller of a scheduler.

    Attributes:
        scheduler: makes the placement decisions.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        execute_action: ActionHandler,
        process_load: ProcessLoad,
        stopwatch: Callable[[], float],
    ) -> None:
        """Run `scheduler` and execute its actions with `execute_action`; `stopwatch` returns milliseconds."""
        self.scheduler = scheduler
        self._execute_action = execute_action
        self._process_load = process_load
        self._stopwatch = stopwatch
        self._events: deque[SchedulerEvent] = deque()
        self._running = False

    def feed(self, now: float, event: SchedulerEvent) -> None:
        """Pass an event to the scheduler and execute the resulting actions.

        An action that fails immediately feeds another event. That event is queued, so that the scheduler is
        never called recursively.
        """
        self._events.append(event)
        if self._running:
            return
        self._running = True
        started_at = self._stopwatch()
        try:
            while self._events:
                for action in self.scheduler.handle(now, self._events.popleft()):
                    self._execute_action(now, action)
        finally:
            self._running = False
            self._process_load.busy_ms += self._stopwatch() - started_at
