"""Outlier detection: machines whose attempts fail are ejected for some time, for one class or for all.

It scores failures and successes and filters out ejected machines. After an ejection a machine gets one trial
attempt at a time; consecutive ejections double in length.
"""

from __future__ import annotations

from kelpfront.scheduling.actions import LogMachineEjected
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import AttemptClosed, AttemptOutcome, OutcomeReason
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.model import VIEW_LAG_MS, Attempt, Machine, OutlierRecord, Task
from kelpfront.scheduling.settings import TaskClass
from kelpfront.scheduling.slow_start import SlowStart

EJECTION_SCORE = 2.0
"""Failure score at which a machine is ejected; a single failure may be chance."""
MIN_KEPT_SCORE = EJECTION_SCORE / 4
"""Failure score below which a record is dropped, because it is far from an ejection."""
MAX_EJECTED_SHARE = 0.5
"""Maximum share of the ready cores on machines ejected for all classes.

If more fail at the same time, the cause is overload or this placer itself.
"""
ALL_CLASSES = ""
"""Scope of failures that concern the machine for all classes; the other scopes are class names."""


class OutlierDetector:
    """Scores machines by the outcomes of attempts, and ejects those that fail."""

    def __init__(self, context: SchedulingContext, fleet: Fleet, slow_start: SlowStart) -> None:
        self._context = context
        self._fleet = fleet
        self._slow_start = slow_start

    def select(self, task: Task, machines: list[Machine]) -> list[Machine]:
        """Return the machines that are not ejected for the class of the task."""
        return [m for m in machines if not m.outlier_records or self.admits(task.task_class, m)]

    def admits(self, task_class: TaskClass, machine: Machine) -> bool:
        """Return whether the machine may get tasks of the class, if only one trial attempt at a time.

        Failures in two scopes count against the machine for all classes.
        """
        records = machine.outlier_records
        failing = {scope for scope, record in records.items() if record.failure_score >= EJECTION_SCORE}
        if not failing:
            return True
        if len(failing - {task_class.name}) < 2:
            failing &= {ALL_CLASSES, task_class.name}
        if not failing:
            return True
        is_trial_available = machine.unaccepted_count == 0
        return is_trial_available and all(
            self._context.now >= records[scope].ejected_until for scope in failing
        )

    def record_success(self, machine: Machine, task_class: TaskClass) -> None:
        """Halve the score and the length of the next ejection, for the class and for the whole machine."""
        for scope in (ALL_CLASSES, task_class.name):
            record = machine.outlier_records.get(scope)
            if record is None:
                continue
            record.failure_score /= 2
            record.ejection_ms /= 2
            if record.failure_score < MIN_KEPT_SCORE:
                del machine.outlier_records[scope]

    def record_outcome(self, attempt: Attempt, machine: Machine, event: AttemptClosed) -> None:
        """Record a failure if the attempt ended in one.

        Time-outs and errors count for the class; failed connections and lost attempts count for the whole
        machine. The loss of an accepted attempt alone reaches the score for an ejection.
        """
        match event.outcome:
            case AttemptOutcome.ERROR if not event.client_trusted:
                return  # a client that sends invalid requests would get the whole fleet ejected
            case AttemptOutcome.TIMED_OUT | AttemptOutcome.ERROR:
                scope, score = attempt.task.task_class.name, 1.0
            case AttemptOutcome.UNREACHABLE:
                scope, score = ALL_CLASSES, 1.0
            case AttemptOutcome.NOT_SENT if self._slow_start.did_connection_fail(attempt, machine):
                scope, score = ALL_CLASSES, 1.0
            case AttemptOutcome.RESET if event.reason in (OutcomeReason.UNSPECIFIED, OutcomeReason.DRAINED):
                scope, score = ALL_CLASSES, EJECTION_SCORE if attempt.is_accepted else 1.0
            case _:
                return
        self._record_failure(machine, scope, score, event.outcome.value)

    def record_class_rejection(self, machine: Machine, task_class: TaskClass) -> None:
        """Record that the machine rejected a task without a reason: it rejects the whole class."""
        self._record_failure(machine, task_class.name, EJECTION_SCORE, "turned away")

    def record_missed_health_check(self, machine: Machine) -> None:
        """Record a health check without a response."""
        self._record_failure(machine, ALL_CLASSES, EJECTION_SCORE, "silent")

    def _record_failure(self, machine: Machine, scope: str, score: float, cause: str) -> None:
        record = machine.outlier_records.setdefault(scope, OutlierRecord())
        record.failure_score = min(2 * EJECTION_SCORE, record.failure_score + score)
        if record.failure_score < EJECTION_SCORE or self._context.now < record.ejected_until:
            return
        if scope == ALL_CLASSES and self._is_ejection_limit_reached():
            record.failure_score = EJECTION_SCORE / 2
            return
        self._eject(machine, scope, record, cause)

    def _is_ejection_limit_reached(self) -> bool:
        failing_cores = sum(m.cores for m in self._fleet.ready if _is_failing(m))
        return failing_cores > MAX_EJECTED_SHARE * self._fleet.ready_cores

    def _eject(self, machine: Machine, scope: str, record: OutlierRecord, cause: str) -> None:
        is_first_ejection = not record.ejection_ms
        max_ejection_ms = self._context.settings.slow_start.duration_ms
        record.ejection_ms = max(VIEW_LAG_MS, min(2 * record.ejection_ms, max_ejection_ms))
        record.ejected_until = self._context.now + record.ejection_ms
        if is_first_ejection:  # consecutive ejections would flood the log
            self._context.emit(LogMachineEjected(machine.id, scope, cause, record.ejection_ms))


def _is_failing(machine: Machine) -> bool:
    record = machine.outlier_records.get(ALL_CLASSES)
    return record is not None and record.failure_score >= EJECTION_SCORE
