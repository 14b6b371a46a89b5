"""Runs the scheduler: hands it events one after the other and has its actions carried out.

It decides nothing and knows no task; what an action means is up to the callable that carries it out.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from kelpfront.controller.degradation import ProcessLoad
from kelpfront.scheduling.actions import SchedulerAction
from kelpfront.scheduling.events import SchedulerEvent
from kelpfront.scheduling.scheduler import Scheduler

CarryOut = Callable[[float, SchedulerAction], None]


class SchedulerDriver:
    """The one caller of a scheduler.

    Attributes:
        scheduler: makes the decisions.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        carry_out: CarryOut,
        process_load: ProcessLoad,
        stopwatch: Callable[[], float],
    ) -> None:
        """Run `scheduler` and hand its actions to `carry_out`; `stopwatch` tells milliseconds."""
        self.scheduler = scheduler
        self._carry_out = carry_out
        self._process_load = process_load
        self._stopwatch = stopwatch
        self._events: deque[SchedulerEvent] = deque()
        self._running = False

    def feed(self, now: float, event: SchedulerEvent) -> None:
        """Hand an event to the scheduler and carry out what it decides.

        An action that is known to fail at once is an event itself. It waits its turn, so that the scheduler
        is never called from within its own answer.
        """
        self._events.append(event)
        if self._running:
            return
        self._running = True
        began = self._stopwatch()
        try:
            while self._events:
                for action in self.scheduler.handle(now, self._events.popleft()):
                    self._carry_out(now, action)
        finally:
            self._running = False
            self._process_load.busy_ms += self._stopwatch() - began
