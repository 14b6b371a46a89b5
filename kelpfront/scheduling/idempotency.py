"""Where and for how long a task may be repeated whose earlier attempt may have been executed.

No task may take effect twice unless its class says that this does no harm. What is done when a task may not
be repeated is decided by `answers`.
"""

from __future__ import annotations

import math

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.model import Attempt, Machine, Task
from kelpfront.scheduling.settings import FailureDomain, Idempotency, TaskClass


class IdempotencyRules:
    """Decides by the idempotency of a task's class what a further attempt may do."""

    def __init__(self, context: SchedulingContext, fleet: Fleet) -> None:
        self._context = context
        self._fleet = fleet

    def window_left_ms(self, task_class: TaskClass, attempts: list[Attempt]) -> float:
        """Return for how long a repeat of these attempts may still be sent; infinite without a window.

        A connection may take up what is left, so an offer carries this limit too.
        """
        if task_class.idempotency is not Idempotency.IDEMPOTENCY_KEY or not attempts:
            return math.inf
        first_sent_at = min(attempt.sent_at for attempt in attempts)
        resolution_ms = self._context.settings.timer_resolution_ms
        return first_sent_at + task_class.idempotency_window_ms - resolution_ms - self._context.now

    def may_repeat_on(self, task: Task, machine: Machine) -> bool:
        """Return whether a further attempt on the machine does no harm."""
        earlier = task.possibly_executed
        task_class = task.task_class
        if task_class.idempotency is Idempotency.IDEMPOTENT or not earlier:
            return True
        if task_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        scope = task_class.idempotency_scope
        return self.window_left_ms(task_class, earlier) >= 0 and all(
            attempt.machine is not None and attempt.machine.domain_id(scope) == machine.domain_id(scope)
            for attempt in earlier
        )

    def can_be_attempted(self, task: Task) -> bool:
        """Return whether any ready machine may be offered the task, for its idempotency alone."""
        if not task.possibly_executed:
            return True
        if task.task_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return any(self.may_repeat_on(task, machine) for machine in self._fleet.ready)

    def is_resubmission_harmless(self, task_class: TaskClass, attempts: list[Attempt]) -> bool:
        """Return whether a client may submit a task again of which these attempts may have been executed."""
        is_key_of_all = (
            task_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and task_class.idempotency_scope is FailureDomain.ALL
        )
        if is_key_of_all:
            # All machines discard a repeat while they remember the key; past the window nobody promises it.
            return self.window_left_ms(task_class, attempts) >= 0
        return task_class.idempotency is Idempotency.IDEMPOTENT or not attempts
