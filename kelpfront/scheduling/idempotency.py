"""Where and for how long a task may be retried if an earlier attempt may have been executed.

No task may take effect twice unless its class declares that this is safe. `answers` decides what happens to a
task that must not be retried.
"""

from __future__ import annotations

import math

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.model import Attempt, Machine, Task
from kelpfront.scheduling.settings import FailureDomain, Idempotency, TaskClass


class IdempotencyRules:
    """Decides whether a further attempt is allowed, by the idempotency of the task's class."""

    def __init__(self, context: SchedulingContext, fleet: Fleet) -> None:
        self._context = context
        self._fleet = fleet

    def remaining_window_ms(self, task_class: TaskClass, attempts: list[Attempt]) -> float:
        """Return for how long a retry of these attempts may still be sent; infinite without a window.

        Waiting for a connection may use up this time, so an offer carries the limit too.
        """
        if task_class.idempotency is not Idempotency.IDEMPOTENCY_KEY or not attempts:
            return math.inf
        first_sent_at = min(attempt.sent_at for attempt in attempts)
        resolution_ms = self._context.settings.timer_resolution_ms
        return first_sent_at + task_class.idempotency_window_ms - resolution_ms - self._context.now

    def may_retry_on(self, task: Task, machine: Machine) -> bool:
        """Return whether the idempotency of the task allows a further attempt on the machine."""
        earlier = task.possibly_executed
        task_class = task.task_class
        if task_class.idempotency is Idempotency.IDEMPOTENT or not earlier:
            return True
        if task_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        scope = task_class.idempotency_scope
        return self.remaining_window_ms(task_class, earlier) >= 0 and all(
            attempt.machine is not None and attempt.machine.domain_id(scope) == machine.domain_id(scope)
            for attempt in earlier
        )

    def can_be_attempted(self, task: Task) -> bool:
        """Return whether the idempotency of the task allows an attempt on any ready machine."""
        if not task.possibly_executed:
            return True
        if task.task_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return False
        return any(self.may_retry_on(task, machine) for machine in self._fleet.ready)

    def is_resubmission_safe(self, task_class: TaskClass, attempts: list[Attempt]) -> bool:
        """Return whether a client may resubmit a task whose given attempts may have been executed."""
        has_global_key = (
            task_class.idempotency is Idempotency.IDEMPOTENCY_KEY
            and task_class.idempotency_scope is FailureDomain.ALL
        )
        if has_global_key:
            # All machines discard duplicates while they remember the key; after the window none guarantee it.
            return self.remaining_window_ms(task_class, attempts) >= 0
        return task_class.idempotency is Idempotency.IDEMPOTENT or not attempts
