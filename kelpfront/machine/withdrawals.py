"""Withdrawal of tasks whose start has not begun: they wait for evaluation or for their start.

Such a task has not run, so an unanswered offer is refused and an accepted task is reported as ended.
`running_tasks` stops the tasks whose start has begun.
"""

from __future__ import annotations

from kelpfront.machine.admission_queue import AdmissionQueue
from kelpfront.machine.messages import NOT_HERE, Answer, GoneCause, TaskReport
from kelpfront.machine.model import ActiveTask, Phase
from kelpfront.machine.offer_answers import OfferAnswers
from kelpfront.machine.report_log import ReportLog
from kelpfront.machine.start_queue import StartQueue
from kelpfront.machine.task_table import TaskTable


class Withdrawals:
    """Removes tasks of a node from its admission queue and its start queue."""

    def __init__(
        self,
        tasks: TaskTable,
        admission_queue: AdmissionQueue,
        start_queue: StartQueue,
        answers: OfferAnswers,
        report_log: ReportLog,
    ) -> None:
        self._tasks = tasks
        self._admission_queue = admission_queue
        self._start_queue = start_queue
        self._answers = answers
        self._report_log = report_log

    def drop(self, task: ActiveTask) -> None:
        """Remove a task without an answer or a report to its placer."""
        if task.phase is Phase.PENDING:
            self._admission_queue.remove(task)
        else:
            self._start_queue.remove(task)
        self._tasks.remove(task)

    def withdraw(self, task: ActiveTask, cause: GoneCause, message: str) -> None:
        """Remove a task and refuse its offer; if the offer was accepted, report the task as ended."""
        self.drop(task)
        if not task.answered:
            self._answers.give_for(task, Answer("refused", NOT_HERE, message))
            return
        report = TaskReport(task.offer, task.incarnation, "ended", cause, ran=False)
        self._report_log.append_ended(task.placer, report)

    def withdraw_all(self, cause: GoneCause, message: str) -> None:
        """Withdraw all tasks whose start has not begun."""
        for task in [*self._admission_queue.all(), *self._start_queue.all()]:
            self.withdraw(task, cause, message)
