"""Health checks of machines that hold own tasks and are silent, and what missed ones lead to.

A machine that is cut off keeps its connections open, so only silence shows it. A missed check ejects the
machine, two cancel what may be repeated elsewhere, three and a time limit declare it lost.
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
"""A machine that owes an answer is checked after so long without contact."""
SCAN_INTERVAL_MS = MAX_SILENCE_MS / 2
"""How often silent machines are looked for, while any machine holds an attempt."""
MACHINE_LOST_AFTER_MS = 7000.0
"""Silent for so long, what runs there is over: clients are notified within 8 s of its end."""
HEALTH_CHECK_TIMEOUT_MS = 600.0
"""For the answer: a health check waits in the same queue as offers."""
MAX_HEALTH_CHECK_COST_SHARE = 0.004
"""Of all utility earned, where losses are notified anyway and a check only shortens the wait."""
MISSED_CHECKS_BEFORE_CANCEL = 2
"""What waits there may go elsewhere; one missed check may be one lost message."""
MISSED_CHECKS_BEFORE_LOST = 3
"""What runs there is lost, without waiting for the endpoint list to say so."""
LAST_CHECKS_MS = MISSED_CHECKS_BEFORE_LOST * HEALTH_CHECK_TIMEOUT_MS
"""The time that the checks before a loss take."""


class HealthChecks:
    """Checks silent machines, and acts on the answers and on their absence."""

    def __init__(self, context: SchedulingContext, fleet: Fleet, outliers: OutlierDetector) -> None:
        self._context = context
        self._fleet = fleet
        self._outliers = outliers
        self._is_scan_scheduled = False
        self._check_count = 0
        self._offer_count = 0

    def count_offer(self) -> None:
        """Count an offer: what health checks may cost is a share of what offers earn."""
        self._offer_count += 1

    def on_attempt_opened(self, machine: Machine) -> None:
        """Start to expect contact from a machine that held no attempt before."""
        if not machine.open_attempts:
            machine.last_contact_at = self._context.now
            machine.missed_health_checks = 0

    def schedule_scan(self) -> None:
        """Set the timer of the next scan, unless it is set already."""
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
            if self._are_checks_over_budget():
                break
            self._check(machine)
        if holding:
            self.schedule_scan()

    def on_observation(self, event: LivenessObserved) -> None:
        """Take over what failure detectors observed: it only puts off checks, and when a machine is lost."""
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
            # A failed check is contact too: overloaded machines fail checks, and answer what they owe.
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
            self._cancel_repeatable(machine)
        if missed >= MISSED_CHECKS_BEFORE_LOST and now >= lost_at:
            if not settings.machine_loss_notified:
                machine.missed_health_checks = 0
                self._context.emit(DeclareMachineLost(machine.id))
        elif missed < MISSED_CHECKS_BEFORE_CANCEL or now >= lost_at - 2 * HEALTH_CHECK_TIMEOUT_MS:
            self._check(machine)

    def _cancel_repeatable(self, machine: Machine) -> None:
        for attempt in machine.open_attempts.values():
            is_repeatable = attempt.task.task_class.idempotency is not Idempotency.NON_IDEMPOTENT
            if is_repeatable and not attempt.is_accepted:
                self._context.emit(CancelAttempt(attempt.task.id, attempt.number))

    def _are_checks_over_budget(self) -> bool:
        settings = self._context.settings
        cost = settings.prices.health_check * self._check_count
        return settings.machine_loss_notified and cost > MAX_HEALTH_CHECK_COST_SHARE * self._offer_count

    def _check_due_at(self, machine: Machine) -> float:
        """Return when a machine is checked: soon where it owes an answer, else in time to declare it lost."""
        if machine.missed_health_checks:
            return machine.silent_since + MACHINE_LOST_AFTER_MS - HEALTH_CHECK_TIMEOUT_MS
        # Not each second: all machines hold tasks of each placer, and sixteen placers sent more health checks
        # than offers.
        latest = machine.silent_since + MACHINE_LOST_AFTER_MS - LAST_CHECKS_MS - SCAN_INTERVAL_MS
        if not machine.unaccepted_count:
            return latest
        unaccepted_since = [a.sent_at for a in machine.open_attempts.values() if not a.is_accepted]
        if not unaccepted_since:  # an id that was used again hides the attempt of the earlier task
            return latest
        return min(latest, max(machine.last_contact_at, min(unaccepted_since)) + MAX_SILENCE_MS)

    def _check(self, machine: Machine) -> None:
        machine.is_being_checked = True
        self._check_count += 1
        self._context.emit(CheckHealth(machine.id, HEALTH_CHECK_TIMEOUT_MS))
