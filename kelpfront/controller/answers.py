"""Answers each task exactly once, and keeps a failed task while it may still turn out to be running.

The answer itself follows from the scheduler's decisions and from what machines report.
"""

from __future__ import annotations

from kelpfront.api.jobs import TaskState
from kelpfront.controller.context import ControllerContext
from kelpfront.controller.tasks import Task
from kelpfront.scheduling.events import TaskId

FINAL_ANSWER_EVENTS = {TaskState.REFUSED: "task refused", TaskState.FAILED: "task failed"}
"""The log event for each final answer."""
NOT_EXECUTED_ENDS = frozenset({"refused"})
"""Ends of a sent attempt which prove that the machine did not execute it."""


class TaskAnswers:
    """Records and publishes the answers of tasks."""

    def __init__(self, context: ControllerContext) -> None:
        self._context = context

    def answer(self, now: float, task: Task, state: TaskState) -> None:
        """Move a task to a state that answers it.

        A failed task that turns out to be running moves to the new state but keeps its answer.
        """
        context = self._context
        if task.needs_answer:
            context.task_table.record_answered()
            context.degradation.on_answered(now, task, state)
        task.move(now, state)
        context.publisher.job_answered(task.job)

    def finish_unplaced(self, now: float, task_id: TaskId, state: TaskState, retry_after_ms: float) -> None:
        """Answer a task that the scheduler gave up on with REFUSED or FAILED.

        Args:
            now: the current time.
            task_id: the scheduler's id of the task.
            state: the final state.
            retry_after_ms: how long its client should wait before it submits the task again.
        """
        context = self._context
        task = context.task_table.by_scheduler_id.get(task_id)
        if task is None or task.withdrawn or not task.needs_answer:
            return
        task.reason = _reason_of_last_attempt(task)
        task.retry_after_ms = retry_after_ms
        self.answer(now, task, state)
        context.log.info(FINAL_ANSWER_EVENTS[state], task, reason=task.reason)
        context.job_table.check_finished(task.job)
        if task.open_attempt is None and not task.possibly_executed:
            context.task_table.remove(task)
        else:
            recheck_at = now + context.cluster.settings.orphan_check_ms
            context.timers.set(recheck_at, lambda fired_at: self._on_recheck_expired(fired_at, task))

    def _on_recheck_expired(self, _now: float, task: Task) -> None:
        """Stop and remove a failed task that may still be running: its client may now submit it again."""
        if task.state not in (TaskState.REFUSED, TaskState.FAILED):
            return
        for attempt in task.attempts:
            if attempt.sent_at is not None and attempt.end not in NOT_EXECUTED_ENDS:
                self._context.stops.request(attempt.host, task.uid, attempt.number, "given up")
        self._context.task_table.remove(task)


def _reason_of_last_attempt(task: Task) -> str:
    """Return why a task was not placed, as the API shows it."""
    last = next((attempt for attempt in reversed(task.attempts) if attempt.end), None)
    if last is not None:
        return last.reason or last.end.upper().replace(" ", "_")
    return "NO_ANSWER" if task.attempts else "NO_MACHINE"
