"""Settles with machines what they hold: from each message of their streams, and from whole snapshots.

A snapshot comes after a break that was too long to resume the stream, or after a restart of either side. What
follows for a single attempt or instance is left to `attempts`, `orphans` and `recovery`.
"""

from __future__ import annotations

from kelpfront.controller.attempts import END_MEANINGS, AttemptEnd, AttemptTracker, InstanceEnd
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
"""Topics of status reports by their names in the machines' protocol."""


class Reconciler:
    """Brings the records of tasks in line with what machines report."""

    def __init__(
        self,
        context: ControllerContext,
        incarnation: str,
        attempts: AttemptTracker,
        orphans: OrphanHandler,
        recovery: TaskRecovery,
    ) -> None:
        """Tell the tasks of this start of the controller from earlier ones by `incarnation`."""
        self._context = context
        self._incarnation = incarnation
        self._attempts = attempts
        self._orphans = orphans
        self._recovery = recovery

    # ---- Single messages ------------------------------------------------------------------------------

    def on_taken(self, now: float, host: str, message: wire.Taken) -> None:
        """A machine holds an attempt: the answer to its offer, the news that it runs, or an orphan."""
        attempt = self._context.task_table.find_attempt(message.task, message.attempt)
        if attempt is not None and attempt.is_open and attempt.host == host:
            self._attempts.accept(now, attempt, running=message.running)
        else:
            self._orphans.on_found(now, host, message.task, message.attempt)

    def on_gone(self, now: float, host: str, message: wire.Gone) -> None:
        """A machine holds an attempt no more."""
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
        """A machine reports how a placed task fares."""
        attempt = self._context.task_table.find_attempt(report.task, report.attempt)
        if attempt is None or not attempt.placed or attempt.host != host:
            return
        topic = STATUS_TOPICS[report.topic]
        if topic is StatusTopic.SERVICE and not self._context.degradation.measures.migration_allowed:
            return  # at this level no task is migrated for faring badly: the scheduler is not told of it
        status = TaskStatusReported(
            attempt.task.scheduler_id, attempt.scheduler_number, attempt.machine_id, topic, report.value
        )
        self._context.driver.feed(now, status)

    # ---- All that a machine holds ---------------------------------------------------------------------

    def on_snapshot(self, now: float, entry: MachineRecord, snapshot: wire.Snapshot) -> None:
        """A machine reports all that it holds of this controller's."""
        reports = {report.offer.task: report for report in snapshot.tasks}
        for task in list(self._context.task_table.by_uid.values()):
            attempt = task.open_attempt
            if attempt is not None and attempt.host == entry.name:
                self._reconcile_attempt(now, attempt, reports.get(task.uid))
        for report in reports.values():
            self._reconcile_report(now, entry, report)
        self._context.stops.retain_only(entry.name, reports)

    def _reconcile_attempt(self, now: float, attempt: Attempt, report: wire.TaskReport | None) -> None:
        """Settle an open attempt at the machine with what the machine reports of its task."""
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
        """Settle what a machine holds beyond open attempts: ended, orphaned, of an earlier incarnation."""
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
        """Count all that is placed on a machine as lost: it was out of contact for too long."""
        for task in list(self._context.task_table.by_uid.values()):
            attempt = task.open_attempt
            if attempt is not None and attempt.placed and attempt.host == entry.name:
                self._attempts.finish(now, attempt, InstanceEnd("lost"))
        self._context.stops.retain_only(entry.name, ())


def _end_before_accepted(message: wire.Gone) -> AttemptEnd:
    """Return how an attempt ended whose answer was not known when its machine held it no more."""
    if message.ran:
        return AttemptEnd(AttemptOutcome.ERROR, "error", message=message.message or message.cause)
    meaning = END_MEANINGS[message.cause]
    return AttemptEnd(
        AttemptOutcome.REJECTED, "refused", meaning.reason, meaning.lost_reason, message.message
    )
