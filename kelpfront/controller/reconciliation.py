"""Reconciles the task records with what machines report in stream messages and snapshots.

A machine sends a snapshot after an interruption that was too long to resume the stream, or after a restart of
either side. `attempts`, `orphans` and `recovery` handle the single attempts and instances.
"""

from __future__ import annotations

from kelpfront.controller.attempts import CAUSE_OUTCOMES, AttemptEnd, AttemptTracker, InstanceEnd
from kelpfront.controller.context import ControllerContext
from kelpfront.controller.machine_record import MachineRecord
from kelpfront.controller.orphans import OrphanHandler
from kelpfront.controller.recovery import TaskRecovery
from kelpfront.controller.tasks import Attempt
from kelpfront.machine import messages as wire
from kelpfront.scheduling.events import AttemptOutcome, StatusTopic, TaskStatusReported

STATUS_TOPICS = {
    "cores": StatusTopic.CORES_USED,
    "memory": StatusTopic.MEMORY_USED,
    "service": StatusTopic.SERVICE,
    "pressure": StatusTopic.MEMORY_PRESSURE,
}
"""Topics of status reports by their names in the machine protocol."""


class Reconciler:
    """Updates the task records to match what machines report."""

    def __init__(
        self,
        context: ControllerContext,
        incarnation: str,
        attempts: AttemptTracker,
        orphans: OrphanHandler,
        recovery: TaskRecovery,
    ) -> None:
        """Create a reconciler; `incarnation` distinguishes tasks of this start from those of earlier ones."""
        self._context = context
        self._incarnation = incarnation
        self._attempts = attempts
        self._orphans = orphans
        self._recovery = recovery

    # ---- Single messages ------------------------------------------------------------------------------

    def on_taken(self, now: float, host: str, message: wire.Taken) -> None:
        """Handle a report that a machine holds an attempt: accepted, now running, or orphaned."""
        attempt = self._context.task_table.find_attempt(message.task, message.attempt)
        if attempt is not None and attempt.is_open and attempt.host == host:
            self._attempts.accept(now, attempt, running=message.running)
        else:
            self._orphans.on_found(now, host, message.task, message.attempt)

    def on_gone(self, now: float, host: str, message: wire.Gone) -> None:
        """Handle a report that a machine no longer holds an attempt."""
        context = self._context
        context.stops.confirm(host, message.task)
        task = context.task_table.by_uid.get(message.task)
        if task is None:
            return
        if task.orphan == (host, message.attempt):
            task.orphan = None
        attempt = task.attempt(message.attempt)
        if attempt is None or not attempt.is_open or attempt.host != host:
            return
        if attempt.placed:
            end = InstanceEnd(message.cause, message.exit_code, message.message, message.cpu_s)
            self._attempts.finish(now, attempt, end)
        else:
            self._attempts.close(now, attempt, _end_before_accepted(message))

    def on_status_report(self, now: float, host: str, report: wire.Note) -> None:
        """Forward a machine's status report of a placed task to the scheduler."""
        attempt = self._context.task_table.find_attempt(report.task, report.attempt)
        if attempt is None or not attempt.placed or attempt.host != host:
            return
        topic = STATUS_TOPICS[report.topic]
        if topic is StatusTopic.SERVICE and not self._context.degradation.policy.migration_allowed:
            return  # no migration for poor service at this level, so the scheduler needs no report
        status = TaskStatusReported(
            attempt.task.scheduler_id, attempt.scheduler_number, attempt.machine_id, topic, report.value
        )
        self._context.driver.feed(now, status)

    # ---- Snapshots ------------------------------------------------------------------------------------

    def on_snapshot(self, now: float, entry: MachineRecord, snapshot: wire.Snapshot) -> None:
        """Handle a machine's report of all tasks that it holds for this controller."""
        reports = {report.offer.task: report for report in snapshot.tasks}
        for task in list(self._context.task_table.by_uid.values()):
            attempt = task.open_attempt
            if attempt is not None and attempt.host == entry.name:
                self._reconcile_attempt(now, attempt, reports.get(task.uid))
        for report in reports.values():
            self._reconcile_report(now, entry, report)
        self._context.stops.retain_only(entry.name, reports)

    def _reconcile_attempt(self, now: float, attempt: Attempt, report: wire.TaskReport | None) -> None:
        """Update an open attempt from its machine's report of the task; None if the task was not reported."""
        if report is not None and report.offer.attempt != attempt.number:
            report = None
        if report is None:
            if attempt.placed:
                self._attempts.finish(now, attempt, InstanceEnd("lost"))
        elif report.phase == "ended":
            if attempt.placed:
                cause = report.cause or "lost"
                end = InstanceEnd(cause, report.exit_code, report.message, report.cpu_s)
                self._attempts.finish(now, attempt, end)
        elif report.phase == "running" or attempt.placed:
            self._attempts.accept(now, attempt, running=report.phase == "running")

    def _reconcile_report(self, now: float, entry: MachineRecord, report: wire.TaskReport) -> None:
        """Handle a reported task without an open attempt: ended, orphaned, or of an earlier incarnation."""
        context = self._context
        offer = report.offer
        if report.phase == "ended":
            context.stops.confirm(entry.name, offer.task)
        elif offer.task in context.task_table.by_uid:
            attempt = context.task_table.find_attempt(offer.task, offer.attempt)
            is_open = attempt is not None and attempt.is_open
            if report.phase != "waiting" and not is_open:
                self._orphans.on_found(now, entry.name, offer.task, offer.attempt)
        elif report.incarnation != self._incarnation and report.phase != "waiting":
            self._recovery.recover(now, entry, report)
        else:
            context.stops.request(entry.name, offer.task, offer.attempt, "unknown to its placer")

    def declare_lost(self, now: float, entry: MachineRecord) -> None:
        """Declare all tasks placed on a machine lost, after it was out of contact for too long."""
        for task in list(self._context.task_table.by_uid.values()):
            attempt = task.open_attempt
            if attempt is not None and attempt.placed and attempt.host == entry.name:
                self._attempts.finish(now, attempt, InstanceEnd("lost"))
        self._context.stops.retain_only(entry.name, ())


def _end_before_accepted(message: wire.Gone) -> AttemptEnd:
    """Return the end of an attempt that the machine dropped before its answer was known."""
    if message.ran:
        return AttemptEnd(AttemptOutcome.ERROR, "error", message=message.message or message.cause)
    meaning = CAUSE_OUTCOMES[message.cause]
    return AttemptEnd(
        AttemptOutcome.REJECTED, "refused", meaning.reason, meaning.lost_reason, message.message
    )
