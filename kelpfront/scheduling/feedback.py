"""Feedback about a machine from its attempts: contact, drains, capacity, failures and usage.

It is passed on to the components that use it. `retries` decides what happens to the task of an attempt.
"""

from __future__ import annotations

import math

from kelpfront.scheduling.capacity import Capacity
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import (
    NOT_EXECUTED_OUTCOMES,
    AttemptClosed,
    AttemptOutcome,
    OutcomeReason,
    StatusTopic,
    TaskStatusReported,
)
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.health_checks import MACHINE_LOST_AFTER_MS
from kelpfront.scheduling.migrations import Migrations
from kelpfront.scheduling.model import Attempt, Machine
from kelpfront.scheduling.outlier_detection import OutlierDetector
from kelpfront.scheduling.utilization import Utilization

MAX_DRAINING_MS = MACHINE_LOST_AFTER_MS
"""How long a machine counts as draining after it ended an attempt with the reason DRAINED.

By then the endpoint list must show the drain.
"""
OUTCOMES_WITHOUT_CONTACT = frozenset(
    {
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.UNREACHABLE,
        AttemptOutcome.NOT_SENT,
        AttemptOutcome.CANCELLED,
    }
)
"""Outcomes for which nothing was received from the machine."""


class AttemptFeedback:
    """Updates the state of machines when their attempts are accepted or end."""

    def __init__(
        self, context: SchedulingContext, fleet: Fleet, capacity: Capacity, outliers: OutlierDetector
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._capacity = capacity
        self._outliers = outliers

    def on_accepted(self, attempt: Attempt) -> None:
        """Record free capacity and contact, and a success if machines accept tasks only once they run."""
        self._capacity.on_accepted()
        machine = attempt.machine
        if machine is None:
            return
        machine.last_contact_at = self._context.now
        if self._context.settings.accepted_when_running:
            self._outliers.record_success(machine, attempt.task.task_class)

    def on_closed(self, attempt: Attempt, event: AttemptClosed) -> None:
        """Record contact, freed capacity, a drain, a failure or a rejection when an attempt ends."""
        machine = attempt.machine
        if machine is None:
            return
        now, task = self._context.now, attempt.task
        if event.outcome not in OUTCOMES_WITHOUT_CONTACT:
            machine.last_contact_at = now
        if attempt.is_accepted or event.outcome in NOT_EXECUTED_OUTCOMES:
            self._fleet.record_change(machine, -task.cores, -task.memory)
        if event.reason is OutcomeReason.DRAINED:  # while discovery is down nothing else reports the drain
            machine.draining_until = now + MAX_DRAINING_MS
        self._outliers.record_outcome(attempt, machine, event)
        if event.outcome is AttemptOutcome.REJECTED:
            self._on_rejected(attempt, machine, event.reason)

    def _on_rejected(self, attempt: Attempt, machine: Machine, reason: OutcomeReason) -> None:
        if reason is OutcomeReason.UNSPECIFIED:
            self._outliers.record_class_rejection(machine, attempt.task.task_class)
        elif reason is not OutcomeReason.NOT_HERE:
            self._capacity.on_rejected(attempt.task, machine, reason)


class StatusReports:
    """Handles machines' status reports on running attempts."""

    def __init__(
        self,
        context: SchedulingContext,
        utilization: Utilization,
        outliers: OutlierDetector,
        migrations: Migrations,
    ) -> None:
        self._context = context
        self._utilization = utilization
        self._outliers = outliers
        self._migrations = migrations

    def on_reported(self, attempt: Attempt, event: TaskStatusReported) -> None:
        """Handle a report on an open attempt; a value that is not finite is ignored."""
        machine, task = attempt.machine, attempt.task
        if machine is None or not math.isfinite(event.value):
            return
        machine.last_contact_at = self._context.now
        attempt.is_reported = True
        match event.topic:
            case StatusTopic.RUNNING:
                self._outliers.record_success(machine, task.task_class)
            case StatusTopic.SERVICE:
                self._migrations.migrate_if_underserved(attempt, machine, event.value)
            case StatusTopic.CORES_USED:
                self._utilization.record_core_usage(task, event.value)
            case StatusTopic.MEMORY_USED:
                self._utilization.record_memory_usage(task, event.value)
