"""Health checks of silent machines that hold attempts of this placer, and the reaction to missed checks.

The connections of a partitioned machine stay open, so only its silence reveals the partition. One missed
check ejects the machine. Two cancel its unaccepted attempts that may be retried elsewhere. Three declare it
lost, if it has also been silent for a minimum time.
"""

from __future__ import annotations

from kelpfront.scheduling.actions import CancelAttempt, CheckHealth, DeclareMachineLost, SetTimer
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import HealthCheckCompleted, LivenessObserved
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.model import Machine
from kelpfront.scheduling.outlier_detection import OutlierDetector
from kelpfront.scheduling.settings import Idempotency
from kelpfront.scheduling.timer_tokens import TimerKind, encode_token

MAX_SILENCE_MS = 1000.0
"""A machine with an unanswered offer is checked after this time without contact."""
SCAN_INTERVAL_MS = MAX_SILENCE_MS / 2
"""Interval of the scan for silent machines, while any machine holds an attempt."""
MACHINE_LOST_AFTER_MS = 7000.0
"""After this time of silence the tasks on a machine count as ended.

Clients must be notified within 8 s of the end of their tasks.
"""
HEALTH_CHECK_TIMEOUT_MS = 600.0
"""Time-out of a health check; it waits in the same queue of the machine as offers."""
MAX_HEALTH_CHECK_COST_SHARE = 0.004
"""Maximum cost of health checks, as a share of the utility earned, at one unit for each offer.

It applies where the placer is notified of lost machines anyway and a check only shortens the wait.
"""
MISSED_CHECKS_BEFORE_CANCEL = 2
"""Missed checks after which unaccepted attempts that may be retried elsewhere are cancelled.

A single missed check may be caused by one lost message.
"""
MISSED_CHECKS_BEFORE_LOST = 3
"""Missed checks after which a machine may be declared lost before the endpoint list shows it."""
CHECKS_BEFORE_LOSS_MS = MISSED_CHECKS_BEFORE_LOST * HEALTH_CHECK_TIMEOUT_MS
"""Duration of the checks that precede the loss of a machine."""


class HealthChecks:
    """Checks silent machines, and acts on responses and missed checks."""

    def __init__(self, context: SchedulingContext, fleet: Fleet, outliers: OutlierDetector) -> None:
        self._context = context
        self._fleet = fleet
        self._outliers = outliers
        self._is_scan_scheduled = False
        self._check_count = 0
        self._offer_count = 0

    def count_offer(self) -> None:
        """Count an offer: the budget of health checks is proportional to the number of offers."""
        self._offer_count += 1

    def on_attempt_opened(self, machine: Machine) -> None:
        """Start to measure the silence of a machine that held no attempt before."""
        if not machine.open_attempts:
            machine.last_contact_at = self._context.now
            machine.missed_health_checks = 0

    def schedule_scan(self) -> None:
        """Set the timer of the next scan, unless it is already set."""
        if self._context.settings.health_checks_allowed and not self._is_scan_scheduled:
            self._is_scan_scheduled = True
            scan_at = self._context.now + SCAN_INTERVAL_MS
            self._context.emit(SetTimer(scan_at, encode_token(TimerKind.HEALTH_CHECK_SCAN)))

    def on_scan_timer(self) -> None:
        """Check the machines that hold attempts and have been silent for too long."""
        self._is_scan_scheduled = False
        now = self._context.now
        holding = [m for m in self._fleet.machines.values() if m.open_attempts]
        for machine in holding:
            if machine.is_being_checked or now < self._check_due_at(machine):
                continue
            if self._is_check_budget_exhausted():
                break
            self._check(machine)
        if holding:
            self.schedule_scan()

    def on_observation(self, event: LivenessObserved) -> None:
        """Apply an observation by failure detectors; it can only postpone checks and losses of machines."""
        for machine_id in event.machines:
            machine = self._fleet.get(machine_id)
            if machine is not None:
                machine.record_observation(self._context.now, event.sent_at, check_anyway=event.check_anyway)

    def on_completed(self, event: HealthCheckCompleted) -> None:
        """Apply the result of a health check, and act on a missed one."""
        machine = self._fleet.get(event.machine)
        if machine is None:
            return
        now = self._context.now
        machine.end_health_check(now)
        if not event.no_response:
            # A failed check is contact too: overloaded machines fail checks but still answer offers.
            machine.last_contact_at = now
        if now < machine.last_contact_at + HEALTH_CHECK_TIMEOUT_MS:
            machine.missed_health_checks = 0
            return
        machine.missed_health_checks += 1
        self._outliers.record_missed_health_check(machine)
        self._act_on_missed_checks(machine)

    def _act_on_missed_checks(self, machine: Machine) -> None:
        now, settings = self._context.now, self._context.settings
        lost_at = machine.last_alive_at + MACHINE_LOST_AFTER_MS
        missed = machine.missed_health_checks
        if missed >= MISSED_CHECKS_BEFORE_CANCEL and settings.cancellation_allowed:
            self._cancel_retryable(machine)
        if missed >= MISSED_CHECKS_BEFORE_LOST and now >= lost_at:
            if not settings.machine_loss_notified:
                machine.missed_health_checks = 0
                self._context.emit(DeclareMachineLost(machine.id))
        elif missed < MISSED_CHECKS_BEFORE_CANCEL or now >= lost_at - 2 * HEALTH_CHECK_TIMEOUT_MS:
            self._check(machine)

    def _cancel_retryable(self, machine: Machine) -> None:
        for attempt in machine.open_attempts.values():
            is_retryable = attempt.task.task_class.idempotency is not Idempotency.NON_IDEMPOTENT
            if is_retryable and not attempt.is_accepted:
                self._context.emit(CancelAttempt(attempt.task.id, attempt.number))

    def _is_check_budget_exhausted(self) -> bool:
        settings = self._context.settings
        cost = settings.prices.health_check * self._check_count
        return settings.machine_loss_notified and cost > MAX_HEALTH_CHECK_COST_SHARE * self._offer_count

    def _check_due_at(self, machine: Machine) -> float:
        """Return when a machine is checked: soon if an offer is unanswered, else in time to detect a loss."""
        if machine.missed_health_checks:
            return machine.silent_since + MACHINE_LOST_AFTER_MS - HEALTH_CHECK_TIMEOUT_MS
        # With a check every second, sixteen placers sent more health checks than offers, because every
        # machine holds tasks of every placer.
        latest = machine.silent_since + MACHINE_LOST_AFTER_MS - CHECKS_BEFORE_LOSS_MS - SCAN_INTERVAL_MS
        if not machine.unaccepted_count:
            return latest
        unaccepted_since = [a.sent_at for a in machine.open_attempts.values() if not a.is_accepted]
        if not unaccepted_since:  # a reused task id replaced the counted attempt of an earlier task
            return latest
        return min(latest, max(machine.last_contact_at, min(unaccepted_since)) + MAX_SILENCE_MS)

    def _check(self, machine: Machine) -> None:
        machine.is_being_checked = True
        self._check_count += 1
        self._context.emit(CheckHealth(machine.id, HEALTH_CHECK_TIMEOUT_MS))
