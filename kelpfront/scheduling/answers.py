"""The single final answer of a task that is not placed: rejected if a resubmission is safe, else failed.

The module also decides when that answer is due. A placed task is answered by the machine's acceptance.
"""

from __future__ import annotations

from kelpfront.scheduling.actions import CancelAttempt, Fail, Reject
from kelpfront.scheduling.attempts import AttemptTable
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.idempotency import IdempotencyRules
from kelpfront.scheduling.model import Task
from kelpfront.scheduling.tasks import TaskTable


class FinalAnswers:
    """Emits the single final answer of each task that cannot be placed."""

    def __init__(
        self,
        context: SchedulingContext,
        tasks: TaskTable,
        attempts: AttemptTable,
        idempotency: IdempotencyRules,
    ) -> None:
        self._context = context
        self._tasks = tasks
        self._attempts = attempts
        self._idempotency = idempotency

    def is_due(self, task: Task) -> bool:
        """Return whether the answer is due, because no further attempt of the task is possible or allowed."""
        is_late = self._context.now >= task.deadline
        is_exhausted = task.attempt_count >= self._context.settings.max_attempts
        return is_late or is_exhausted or not self._idempotency.can_be_attempted(task)

    def give(self, task: Task) -> None:
        """Finish the task, cancel its open attempts, and answer the client."""
        self._tasks.finish(task)
        unaccepted = self._attempts.unaccepted_of(task)
        if self._context.settings.cancellation_allowed:
            for attempt in unaccepted:
                self._context.emit(CancelAttempt(task.id, attempt.number))
        possibly_executed = [*task.possibly_executed, *unaccepted]
        if self._idempotency.is_resubmission_safe(task.task_class, possibly_executed):
            self._context.emit(Reject(task.id))
        else:
            self._context.emit(Fail(task.id))
