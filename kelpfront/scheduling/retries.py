"""The course of a task: its attempts one after another, the waits between them, its deadline and its end.

Offers are made by `offers`, the final answer is given by `answers`. What an attempt says of its machine is
for `feedback`.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from kelpfront.scheduling.actions import SetTimer
from kelpfront.scheduling.answers import FinalAnswers
from kelpfront.scheduling.attempts import AttemptTable
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import (
    NOT_EXECUTED,
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

MAX_STALLED_TASKS_PER_SHAPE = 4
"""Waiting tasks of one shape that are tried in vain in a pass: the rest would meet the same."""
ANSWER_MARGIN_TICKS = 2
"""The final answer is given so many resolutions of the timer before the task's time-out."""


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
        """Attempt a new task, and set the timer of its final answer."""
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
        """Take over a task that runs already: it counts for spread, load and resets from now on."""
        if event.task in self._tasks or AttemptKey(event.task, 0) in self._attempts:
            return
        task = self._tasks.add(event)
        if task is None:
            return
        task.is_answered = True
        task.attempt_count = 1
        self._attempts.open_found(task, event.machine)

    def on_accepted(self, attempt: Attempt) -> None:
        """Note that a task is placed; its machine answers from now on."""
        attempt.task.is_answered = True
        self._tasks.stop_waiting(attempt.task.id)

    def on_closed(self, attempt: Attempt, event: AttemptClosed) -> None:
        """Finish, answer or attempt again the task of an attempt that has ended."""
        task = attempt.task
        task.attempted_machines[event.machine] = None
        is_over = event.task_finished or task.is_answered
        if event.outcome not in NOT_EXECUTED and not is_over:
            # Not of a task that is over: it would refer to itself, as garbage for the collector.
            task.possibly_executed.append(attempt)
        did_run = attempt.is_reported or event.reason in STOPPED_WHILE_RUNNING
        is_unaccepted_end = event.outcome is AttemptOutcome.RESET and did_run and not attempt.is_accepted
        if event.task_finished:
            self._tasks.finish(task)
        elif is_unaccepted_end and not task.is_answered:
            # It ran and is over, only its acceptance was lost or late: the client is owed that end soon,
            # which another start would keep from it.
            self._answers.give(task)
        else:
            self._attempt(task)

    def on_withdrawn(self, task_id: TaskId) -> None:
        """Forget a task that its client no longer wants."""
        task = self._tasks.get(task_id)
        if task is not None:
            self._tasks.finish(task)

    def on_deadline(self, task_id: TaskId) -> None:
        """Give the final answer of a task that is not placed in time."""
        task = self._tasks.get(task_id)
        if task is not None and not task.is_answered:
            self._answers.give(task)

    def on_retry_timer(self) -> None:
        """Attempt the waiting tasks at the end of their interval."""
        self._tasks.on_retry_timer()
        self.retry_waiting()

    def retry_waiting(self) -> None:
        """Attempt the waiting tasks in order; one that waits on goes to the end of the queue."""
        stalled: Counter[_TaskShape] = Counter()
        for task in self._tasks.waiting_by_priority():
            shape = _TaskShape(task.task_class.name, task.cores, task.memory)
            may_find_machine = stalled[shape] < MAX_STALLED_TASKS_PER_SHAPE
            if may_find_machine or task.possibly_executed:
                self._attempt(task)
                stalled[shape] += self._tasks.is_waiting(task)

    def _attempt(self, task: Task) -> None:
        """Offer the task, let it wait where no machine passes, or give the final answer."""
        self._tasks.stop_waiting(task.id)
        if task.is_answered:
            return
        if self._answers.is_due(task):
            self._answers.give(task)
        elif not self._offers.make(task):
            self._tasks.wait(task)
