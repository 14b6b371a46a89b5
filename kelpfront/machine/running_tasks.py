"""State changes of a task from the beginning of its start: it runs, it is stopped, it ends.

Running and ended tasks are reported to their placer, and their offer is answered if it has no answer yet.
`withdrawals` handles tasks whose start has not begun.
"""

from __future__ import annotations

from kelpfront.machine.effects import EffectBuffer, StopTask
from kelpfront.machine.messages import START_FAILED, Answer, GoneCause, TaskReport
from kelpfront.machine.model import ActiveTask, Phase
from kelpfront.machine.offer_answers import OfferAnswers
from kelpfront.machine.report_log import ReportLog
from kelpfront.machine.start_queue import StartQueue
from kelpfront.machine.task_table import TaskTable


class RunningTasks:
    """The tasks of a node whose start has begun."""

    def __init__(
        self,
        tasks: TaskTable,
        start_queue: StartQueue,
        answers: OfferAnswers,
        report_log: ReportLog,
        effects: EffectBuffer,
    ) -> None:
        self._tasks = tasks
        self._start_queue = start_queue
        self._answers = answers
        self._report_log = report_log
        self._effects = effects

    def mark_running(self, task: ActiveTask) -> None:
        """Record that a task's start has succeeded."""
        task.phase = Phase.RUNNING
        self._start_queue.finish_start()
        self._answers.confirm_running(task)

    def stop(self, task: ActiveTask, cause: GoneCause) -> None:
        """Stop a task unless it is being stopped already."""
        if task.phase is Phase.STOPPING:
            return
        if task.phase is Phase.STARTING:
            self._start_queue.finish_start()
        task.phase = Phase.STOPPING
        task.cause = cause
        self._effects.add(StopTask(task.uid, cause))

    def end_exited(self, task: ActiveTask, exit_code: int | None, cpu_s: float | None, message: str) -> None:
        """Record that a task's process has exited, on its own or because it was stopped."""
        report = TaskReport(
            task.offer,
            task.incarnation,
            "ended",
            task.cause,
            exit_code,
            ran=True,
            cpu_s=cpu_s,
            message=message,
        )
        self._end(task, report)
        self._answers.give_if_open(task, Answer("error", "", "the task ended before its start was answered"))

    def end_never_ran(self, task: ActiveTask, message: str) -> None:
        """Record that a task's process could not be created."""
        self._end(task, self._failure(task, message, ran=False))
        if not task.answered:
            self._answers.give_for(task, self._answers.with_load("refused", START_FAILED, message))

    def end_start_unconfirmed(self, task: ActiveTask, message: str) -> None:
        """Record a failed start after which it is unknown whether the task ran."""
        self._end(task, self._failure(task, message, ran=True))
        if not task.answered:
            self._answers.give_for(task, self._answers.with_load("error", "", message))

    def _failure(self, task: ActiveTask, message: str, *, ran: bool) -> TaskReport:
        return TaskReport(task.offer, task.incarnation, "ended", "failed", ran=ran, message=message)

    def _end(self, task: ActiveTask, report: TaskReport) -> None:
        self._start_queue.release(task, ran=report.ran)
        self._tasks.remove(task)
        self._report_log.append_ended(task.placer, report)
