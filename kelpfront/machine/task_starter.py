"""Begins the starts that are due, in the order of the start queue.

A task that waits for a preempted task to end is skipped. A task whose placer has given up the attempt is
refused.
"""

from __future__ import annotations

from kelpfront.machine.effects import EffectBuffer, StartTask
from kelpfront.machine.messages import NOT_HERE, Answer
from kelpfront.machine.model import ActiveTask
from kelpfront.machine.offer_answers import OfferAnswers
from kelpfront.machine.start_queue import StartQueue
from kelpfront.machine.task_table import TaskTable


class TaskStarter:
    """Starts the tasks of a node."""

    def __init__(
        self, tasks: TaskTable, start_queue: StartQueue, answers: OfferAnswers, effects: EffectBuffer
    ) -> None:
        self._tasks = tasks
        self._start_queue = start_queue
        self._answers = answers
        self._effects = effects

    def start_due(self, now: float) -> None:
        """Begin as many starts as the limits on parallel starts and on the start rate allow now."""
        for task in self._start_queue.all():
            if not self._start_queue.may_start(now):
                return
            if task.blocked_by:
                continue
            self._start_queue.remove(task)
            if not task.answered and now > task.offer.not_after:
                self._tasks.remove(task)
                self._answers.give_for(task, Answer("refused", NOT_HERE, "too late"))
                continue
            self._start(now, task)

    def _start(self, now: float, task: ActiveTask) -> None:
        needs_program = self._start_queue.begin_start(now, task)
        self._effects.add(StartTask(task.offer, task.placer, needs_program))
