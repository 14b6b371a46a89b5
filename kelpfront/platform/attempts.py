"""Attempts of one placer, from the scheduler's decision to their end. Pure.

It chooses nothing: no machine, no time-out, no further attempt. What is owed to the client is
`request_lifecycle`'s affair; what follows an acceptance is `running_tasks`'.
"""

from __future__ import annotations

import msgspec

from kelpfront.platform import messages
from kelpfront.platform.core_state import CoreState
from kelpfront.platform.intents import AbandonAttempt, Offer
from kelpfront.platform.messages import Cause
from kelpfront.platform.requests import Attempt, PendingRequest
from kelpfront.platform.scheduler_driver import SchedulerDriver
from kelpfront.scheduling.actions import Bind, CancelAttempt
from kelpfront.scheduling.events import (
    AttemptClosed,
    AttemptOutcome,
    LoadReport,
    MachineId,
    MachineState,
    OutcomeReason,
)
from kelpfront.scheduling.settings import SchedulerSettings


class AttemptEnd(msgspec.Struct, frozen=True):
    """How an attempt ended, with what its machine reported on that."""

    outcome: AttemptOutcome
    reason: OutcomeReason = OutcomeReason.UNSPECIFIED
    load: LoadReport | None = None


class Attempts:
    """Creates, gives up and closes attempts; the scheduler receives how each ended."""

    def __init__(self, settings: SchedulerSettings, driver: SchedulerDriver, state: CoreState) -> None:
        self._class_names = [task_class.name for task_class in settings.classes]
        self._driver = driver
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
            self._timers.set(attempt.send_by, lambda then: self._on_send_window_over(then, attempt))
        self._outbox.put(Offer(attempt.machine, request.request_id, attempt.number))

    def _report_not_sent(self, action: Bind, request: PendingRequest | None) -> None:
        """Have the scheduler receive that the attempt it wants cannot be made."""
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
        """Give up the attempt if it is the one in flight."""
        request = self._requests.of_task(action.task)
        attempt = None if request is None else request.attempt
        if attempt is not None and attempt.number == action.attempt:
            self.give_up(now, attempt, AttemptOutcome.CANCELLED)

    def _on_timeout(self, now: float, attempt: Attempt) -> None:
        if attempt.request.attempt is attempt and not attempt.accepted:
            outcome = AttemptOutcome.TIMED_OUT if attempt.sent else AttemptOutcome.UNREACHABLE
            self.give_up(now, attempt, outcome)

    def _on_send_window_over(self, now: float, attempt: Attempt) -> None:
        if attempt.request.attempt is attempt and not attempt.sent:
            self.give_up(now, attempt, AttemptOutcome.NOT_SENT)

    def encode_offer(self, now: float, attempt: Attempt) -> bytes | None:
        """Return the bytes of an offer right before they are written; None where it must not be sent."""
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
        # What was decided for a former incarnation, which may have been warm, is decided anew.
        is_for_former_incarnation = attempt.created_at < machine.restarted_at
        return now <= attempt.send_by and not is_for_former_incarnation

    def give_up(self, now: float, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Give an attempt up; its machine is notified first: only then is it no longer in flight."""
        request_id = attempt.request.request_id
        data = messages.encode("end", request_id, {}, Cause.NORMAL) if attempt.sent else b""
        no_response = outcome is AttemptOutcome.TIMED_OUT
        self._outbox.put(AbandonAttempt(attempt.machine, attempt.key, data, no_response))
        self.close(now, attempt, AttemptEnd(outcome))

    def close(self, now: float, attempt: Attempt, end: AttemptEnd) -> None:
        """End an attempt; the scheduler receives how."""
        request = attempt.request
        request.attempt = None
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
        """Drop a request that is over and of which nothing is in flight."""
        self._requests.remove(request)
        self._sessions.forget_request(request)

    def in_flight_on(self, machine: MachineId, request: PendingRequest | None) -> Attempt | None:
        """Return the request's attempt if it was sent to that machine and is not closed."""
        attempt = None if request is None else request.attempt
        is_there = attempt is not None and attempt.machine == machine and attempt.sent
        return attempt if is_there else None
