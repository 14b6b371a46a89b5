"""Attempts of one placer, from the scheduler's decision to their end. Pure.

The scheduler chooses machines, timeouts and retries; this module only carries them out. Answers to clients
are sent by `request_lifecycle`, and accepted tasks are handled by `running_tasks`.
"""

from __future__ import annotations

import msgspec

from kelpfront.platform import messages
from kelpfront.platform.core_state import CoreState
from kelpfront.platform.discovery_freshness import DiscoveryFreshness
from kelpfront.platform.intents import AbandonAttempt, Offer
from kelpfront.platform.messages import Cause
from kelpfront.platform.requests import Attempt, PendingRequest
from kelpfront.platform.scheduler_driver import SchedulerDriver
from kelpfront.scheduling.actions import Bind, CancelAttempt
from kelpfront.scheduling.events import (
    NOT_EXECUTED_OUTCOMES,
    AttemptClosed,
    AttemptOutcome,
    LoadReport,
    MachineId,
    MachineState,
    OutcomeReason,
)
from kelpfront.scheduling.settings import SchedulerSettings


class AttemptEnd(msgspec.Struct, frozen=True):
    """How an attempt ended, with the reason and the load that its machine reported."""

    outcome: AttemptOutcome
    reason: OutcomeReason = OutcomeReason.UNSPECIFIED
    load: LoadReport | None = None


class Attempts:
    """Creates, abandons and closes attempts, and reports the outcome of each to the scheduler."""

    def __init__(
        self,
        settings: SchedulerSettings,
        driver: SchedulerDriver,
        state: CoreState,
        freshness: DiscoveryFreshness,
    ) -> None:
        self._class_names = [task_class.name for task_class in settings.classes]
        self._driver = driver
        self._freshness = freshness
        self._requests = state.requests
        self._endpoints = state.endpoints
        self._machine_tasks = state.machine_tasks
        self._sessions = state.sessions
        self._outbox = state.outbox
        self._timers = state.timers
        self._counters = state.counters

    def bind(self, now: float, action: Bind) -> None:
        """Offer the task to a machine."""
        request = self._requests.of_task(action.task)
        can_offer = request is not None and request.attempt is None
        if request is None or not can_offer or action.machine not in self._endpoints.machines:
            self._report_not_sent(action, request)
            return
        timeout_at = now + action.timeout_ms if action.timeout_ms > 0 else request.deadline
        attempt = Attempt(
            request=request,
            number=request.attempt_count,
            machine=action.machine,
            created_at=now,
            deadline=min(timeout_at, request.deadline),
            send_by=now + action.send_within_ms,
        )
        request.attempt_count += 1
        request.attempt = attempt
        self._counters.attempts += 1
        self._timers.set(attempt.deadline, lambda then: self._on_timeout(then, attempt))
        if attempt.send_by < attempt.deadline:
            self._timers.set(attempt.send_by, lambda then: self._on_send_window_expired(then, attempt))
        self._outbox.put(Offer(attempt.machine, request.request_id, attempt.number))

    def _report_not_sent(self, action: Bind, request: PendingRequest | None) -> None:
        """Report to the scheduler that the attempt it asked for was not made."""
        closed = AttemptClosed(
            action.task,
            0 if request is None else request.attempt_count,
            action.machine,
            AttemptOutcome.NOT_SENT,
            OutcomeReason.UNSPECIFIED,
            task_finished=request is None or request.answered,
            elapsed_ms=0.0,
        )
        self._driver.enqueue(closed)
        if request is not None:
            request.attempt_count += 1

    def cancel(self, now: float, action: CancelAttempt) -> None:
        """Abandon the attempt if it is the one in flight."""
        request = self._requests.of_task(action.task)
        attempt = None if request is None else request.attempt
        if attempt is not None and attempt.number == action.attempt:
            self.abandon(now, attempt, AttemptOutcome.CANCELLED)

    def _on_timeout(self, now: float, attempt: Attempt) -> None:
        if attempt.request.attempt is attempt and not attempt.accepted:
            outcome = AttemptOutcome.TIMED_OUT if attempt.sent else AttemptOutcome.UNREACHABLE
            self.abandon(now, attempt, outcome)

    def _on_send_window_expired(self, now: float, attempt: Attempt) -> None:
        if attempt.request.attempt is attempt and not attempt.sent:
            self.abandon(now, attempt, AttemptOutcome.NOT_SENT)

    def encode_offer(self, now: float, attempt: Attempt) -> bytes | None:
        """Return the bytes of an offer, right before they are written; None if it must not be sent."""
        if not self._may_send(now, attempt):
            self.close(now, attempt, AttemptEnd(AttemptOutcome.NOT_SENT))
            return None
        attempt.sent = True
        spec = attempt.request.spec
        return spec.encode_offer(self._class_names[spec.class_index], attempt.deadline - now)

    def _may_send(self, now: float, attempt: Attempt) -> bool:
        machine = self._endpoints.machines.get(attempt.machine)
        if machine is None or machine.state is not MachineState.READY:
            return False
        if self._freshness.may_hide_drains(now):  # the offer waited for its connection meanwhile
            return False
        # An offer chosen for the machine's previous incarnation, which may have been warm, needs a new
        # decision.
        is_for_previous_incarnation = attempt.created_at < machine.restarted_at
        return now <= attempt.send_by and not is_for_previous_incarnation

    def abandon(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Abandon an attempt. The machine is notified before the attempt stops counting as in flight."""
        request_id = attempt.request.request_id
        data = messages.encode("end", request_id, {}, Cause.NORMAL) if attempt.sent else b""
        no_response = outcome is AttemptOutcome.TIMED_OUT
        self._outbox.put(AbandonAttempt(attempt.machine, attempt.key, data, no_response))
        self.close(now, attempt, AttemptEnd(outcome))

    def close(self, now: float, attempt: Attempt, end: AttemptEnd) -> None:
        """Close an attempt and report its outcome to the scheduler."""
        request = attempt.request
        request.attempt = None
        request.possibly_executed |= attempt.sent and end.outcome not in NOT_EXECUTED_OUTCOMES
        is_finished = request.answered
        if attempt.accepted:
            self._counters.task_outcomes[end.outcome] += 1
            self._machine_tasks.remove(attempt.machine, request)
        else:
            self._counters.attempt_outcomes[end.outcome] += 1
        if is_finished:
            self.forget_request(request)
        closed = AttemptClosed(
            request.task,
            attempt.number,
            attempt.machine,
            end.outcome,
            end.reason,
            task_finished=is_finished,
            elapsed_ms=now - attempt.created_at,
            load=end.load,
            client_trusted=self._sessions.is_established(request.connection),
        )
        self._driver.submit(now, closed)

    def forget_request(self, request: PendingRequest) -> None:
        """Remove a finished request that has no attempt in flight."""
        self._requests.remove(request)
        self._sessions.forget_request(request)

    def in_flight_on(self, machine: MachineId, request: PendingRequest | None) -> Attempt | None:
        """Return the request's open attempt if it was sent to that machine."""
        attempt = None if request is None else request.attempt
        is_on_machine = attempt is not None and attempt.machine == machine and attempt.sent
        return attempt if is_on_machine else None
