"""Restoration of the active and ended tasks of an earlier process of the machine after a restart.

The agent keeps the records of these tasks and reads them.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpfront.machine.messages import RAN_HERE, START_FAILED, Answer, GoneCause, OfferRequest, TaskReport
from kelpfront.machine.model import ActiveTask, EndedTask, Phase
from kelpfront.machine.offer_answers import OfferAnswers
from kelpfront.machine.report_log import ReportLog
from kelpfront.machine.start_queue import StartQueue
from kelpfront.machine.task_table import TaskTable


@dataclass(frozen=True, slots=True)
class RestoredTask:
    """A task that an earlier process started at `since`; `cause` is the reason if it is being stopped."""

    request: OfferRequest
    phase: Phase
    since: float
    cause: GoneCause = "ended"


class Restoration:
    """Restores the tasks of a node before the node serves placers."""

    def __init__(
        self, tasks: TaskTable, start_queue: StartQueue, answers: OfferAnswers, report_log: ReportLog
    ) -> None:
        self._tasks = tasks
        self._start_queue = start_queue
        self._answers = answers
        self._report_log = report_log

    def restore(self, now: float, restored: RestoredTask) -> None:
        """Add a task that is already on the machine; it is not started again.

        The resources that it requests count from now on. An offer of the same attempt is answered as running
        or accepted and does not start the task.
        """
        request = restored.request
        offer = request.offer
        since = min(restored.since, now)
        task = ActiveTask(
            offer, request.placer, request.incarnation, restored.phase, since, cause=restored.cause
        )
        self._tasks.add(task)
        self._start_queue.restore(task)
        self._tasks.keys.claim(offer)
        is_running = task.phase is Phase.RUNNING
        if is_running or self._answers.answers_on_admission:
            task.answered = True
            self._answers.remember(offer, Answer("running" if is_running else "accepted"))

    def restore_ended(self, placer: str, report: TaskReport, seq: int) -> None:
        """Add an ended task, which snapshots report until the placer has received message `seq`."""
        self._report_log.add_ended(EndedTask(placer, report, seq))
        if report.ran:
            answer = Answer("error", RAN_HERE, "it ran here and is over")
        else:
            answer = Answer("refused", START_FAILED, report.message)
        self._answers.remember(report.offer, answer)
