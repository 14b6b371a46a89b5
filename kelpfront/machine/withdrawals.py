"""Takes back tasks whose start has not begun: their offer waits for its evaluation or they wait for a start.

Such a task has not run, so an open offer is refused; one that was accepted is reported as over. Tasks whose
start has begun are `running_tasks`' to stop.
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
    """Takes tasks of a node out of its two queues."""

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
        """Remove a task without a word to its placer, which no longer waits for the answer."""
        if task.phase is Phase.PENDING:
            self._admission_queue.remove(task)
        else:
            self._start_queue.remove(task)
        self._tasks.remove(task)

    def withdraw(self, task: ActiveTask, cause: GoneCause, message: str) -> None:
        """Remove a task and refuse its offer; where the offer was accepted, report that it is over."""
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
