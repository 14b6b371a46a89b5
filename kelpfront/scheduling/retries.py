"""The lifecycle of a task: its consecutive attempts, the waits between them, its deadline and its end.

`offers` makes the offers, `answers` gives the final answer, and `feedback` updates the state of the machine
of an attempt.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from kelpfront.scheduling.actions import SetTimer
from kelpfront.scheduling.answers import FinalAnswers
from kelpfront.scheduling.attempts import AttemptTable
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import (
    NOT_EXECUTED_OUTCOMES,
    STOPPED_WHILE_RUNNING,
    AttemptClosed,
    AttemptOutcome,
    TaskArrived,
    TaskFound,
    TaskId,
)
from kelpfront.scheduling.model import Attempt, AttemptKey, Task
from kelpfront.scheduling.offers import Offers
from kelpfront.scheduling.tasks import TaskTable
from kelpfront.scheduling.timer_tokens import TimerKind, encode_token

MAX_UNPLACED_TASKS_PER_SHAPE = 4
"""Unplaced tasks of one shape after which a pass skips that shape: the others would not be placed either."""
ANSWER_MARGIN_TICKS = 2
"""Time between the final answer and the task's time-out, in multiples of the timer resolution."""


class _TaskShape(NamedTuple):
    class_name: str
    cores: float
    memory: float


class Retries:
    """Decides when a task is attempted, waits, or is answered."""

    def __init__(
        self,
        context: SchedulingContext,
        tasks: TaskTable,
        attempts: AttemptTable,
        offers: Offers,
        answers: FinalAnswers,
    ) -> None:
        self._context = context
        self._tasks = tasks
        self._attempts = attempts
        self._offers = offers
        self._answers = answers

    def on_arrived(self, event: TaskArrived) -> None:
        """Attempt a new task, and set the timer for its final answer."""
        if event.task in self._tasks:
            return
        task = self._tasks.add(event)
        if task is None:
            return
        margin_ms = ANSWER_MARGIN_TICKS * self._context.settings.timer_resolution_ms
        task.deadline = self._context.now + event.timeout_ms - margin_ms
        timer_at = max(self._context.now, task.deadline)
        self._context.emit(SetTimer(timer_at, encode_token(TimerKind.TASK_DEADLINE, task.id)))
        self._attempt(task)

    def on_found(self, event: TaskFound) -> None:
        """Adopt a task that already runs, so that spread, load and counter resets take it into account."""
        if event.task in self._tasks or AttemptKey(event.task, 0) in self._attempts:
            return
        task = self._tasks.add(event)
        if task is None:
            return
        task.is_answered = True
        task.attempt_count = 1
        self._attempts.open_found(task, event.machine)

    def on_accepted(self, attempt: Attempt) -> None:
        """Mark a task as placed: the machine's acceptance is its answer."""
        attempt.task.is_answered = True
        self._tasks.remove_waiting(attempt.task.id)

    def on_closed(self, attempt: Attempt, event: AttemptClosed) -> None:
        """Finish, answer or retry the task of an attempt that has ended."""
        task = attempt.task
        task.attempted_machines[event.machine] = None
        is_finished = event.task_finished or task.is_answered
        if event.outcome not in NOT_EXECUTED_OUTCOMES and not is_finished:
            # A task that is finished or answered gets no reference to its attempts: the cycle could be freed
            # only by the garbage collector.
            task.possibly_executed.append(attempt)
        has_run = attempt.is_reported or event.reason in STOPPED_WHILE_RUNNING
        ended_unaccepted = event.outcome is AttemptOutcome.RESET and has_run and not attempt.is_accepted
        if event.task_finished:
            self._tasks.finish(task)
        elif ended_unaccepted and not task.is_answered:
            # The task ran and has ended; only its acceptance was lost or late. The client must be notified
            # of this end soon, and another attempt would prevent that.
            self._answers.give(task)
        else:
            self._attempt(task)

    def on_withdrawn(self, task_id: TaskId) -> None:
        """Remove a task that its client has withdrawn."""
        task = self._tasks.get(task_id)
        if task is not None:
            self._tasks.finish(task)

    def on_deadline(self, task_id: TaskId) -> None:
        """Give the final answer of a task that was not placed in time."""
        task = self._tasks.get(task_id)
        if task is not None and not task.is_answered:
            self._answers.give(task)

    def on_retry_timer(self) -> None:
        """Attempt the waiting tasks at the end of the retry interval."""
        self._tasks.on_retry_timer()
        self.retry_waiting()

    def retry_waiting(self) -> None:
        """Attempt the waiting tasks by priority; one that still has to wait goes to the end of the queue."""
        unplaced: Counter[_TaskShape] = Counter()
        for task in self._tasks.waiting_by_priority():
            shape = _TaskShape(task.task_class.name, task.cores, task.memory)
            may_find_machine = unplaced[shape] < MAX_UNPLACED_TASKS_PER_SHAPE
            if may_find_machine or task.possibly_executed:
                self._attempt(task)
                unplaced[shape] += self._tasks.is_waiting(task)

    def _attempt(self, task: Task) -> None:
        """Offer the task, queue it if no offer is possible now, or give the final answer."""
        self._tasks.remove_waiting(task.id)
        if task.is_answered:
            return
        if self._answers.is_due(task):
            self._answers.give(task)
        elif not self._offers.make(task):
            self._tasks.add_waiting(task)
