"""Sends the scheduler's decisions to machines as offers, and handles their answers, failures and timeouts.

A final check runs right before an offer is sent. It is the last point at which an offer can be held back
because something changed since the decision; afterwards the attempt may have been executed. Placement is
decided by the scheduler alone.
"""

from __future__ import annotations

from kelpfront.api.jobs import TaskState
from kelpfront.api.machines import State
from kelpfront.controller.attempts import MOVED, AttemptEnd, AttemptTracker
from kelpfront.controller.context import ControllerContext
from kelpfront.controller.endpoint_publisher import EndpointPublisher
from kelpfront.controller.intents import SendOffer
from kelpfront.controller.load_reports import LoadReports
from kelpfront.controller.offers import make_offer
from kelpfront.controller.tasks import Attempt
from kelpfront.machine import messages as wire
from kelpfront.scheduling.actions import Bind, CancelAttempt, Migrate
from kelpfront.scheduling.events import AttemptOutcome, OutcomeReason

REJECTION_REASONS = {
    "UNTOLD": OutcomeReason.UNSPECIFIED,
    "NO_CORES": OutcomeReason.NO_CORES,
    "NO_MEMORY": OutcomeReason.NO_MEMORY,
    "QUEUE_FULL": OutcomeReason.QUEUE_FULL,
    "NOT_HERE": OutcomeReason.NOT_HERE,
    "EVICTED": OutcomeReason.EVICTED,
    "PUSHED_OUT": OutcomeReason.PREEMPTED,
    "SENT_AWAY": OutcomeReason.DRAINED,
}
"""Rejection reasons by their names in the machine protocol."""


class Dispatcher:
    """Carries out the scheduler's decisions about attempts, and handles the results of their offers."""

    def __init__(
        self,
        context: ControllerContext,
        attempts: AttemptTracker,
        load_reports: LoadReports,
        endpoints: EndpointPublisher,
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._load_reports = load_reports
        self._endpoints = endpoints

    # ---- The scheduler's decisions --------------------------------------------------------------------

    def bind(self, now: float, bind: Bind) -> None:
        """Offer a task to the machine that the scheduler chose."""
        context = self._context
        task = context.task_table.by_scheduler_id[bind.task]
        entry = context.registry.by_id[bind.machine]
        number = len(task.attempts)
        attempt = Attempt(
            task,
            number,
            number,
            entry.name,
            bind.machine,
            now,
            timeout_at=now + bind.timeout_ms,
            send_deadline=now + bind.send_within_ms,
        )
        task.attempts.append(attempt)
        task.move(now, TaskState.PLACING)
        context.publisher.job_changed(task.job)
        context.timers.set(attempt.timeout_at, lambda fired_at: self._on_timeout(fired_at, attempt))
        context.intents.append(SendOffer(entry.name, make_offer(context.cluster, task, attempt)))

    def cancel(self, now: float, cancel: CancelAttempt) -> None:
        """Cancel an outstanding attempt."""
        task = self._context.task_table.by_scheduler_id.get(cancel.task)
        if task is None:
            return
        for attempt in task.attempts:
            is_outstanding = attempt.is_open and not attempt.placed
            if is_outstanding and attempt.scheduler_number == cancel.attempt:
                end = AttemptEnd(AttemptOutcome.CANCELLED, "given up", task_finished=not task.needs_answer)
                self._attempts.close(now, attempt, end)

    def migrate(self, migrate: Migrate) -> None:
        """Stop a placed task so that its client resubmits it for a better placement."""
        task = self._context.task_table.by_scheduler_id.get(migrate.task)
        attempt = None if task is None else task.open_attempt
        if task is not None and attempt is not None and attempt.placed:
            task.reason = MOVED
            self._context.stops.request(attempt.host, task.uid, attempt.number, "moved")

    # ---- The check before sending ---------------------------------------------------------------------

    def clear_to_send(self, now: float, task_uid: str, attempt_number: int) -> bool:
        """Return whether an offer may be sent; called right before its first byte is written.

        This detects changes while the connection was being made: the task was answered or withdrawn, the
        attempt timed out, the machine is draining or gone, the window for a retry with an idempotency key has
        ended, or the offer was delayed for longer than the slow-start slots allow. An offer that is not
        cleared counts as not executed.
        """
        attempt = self._context.task_table.find_attempt(task_uid, attempt_number)
        if attempt is None or not attempt.is_open or attempt.sent_at is not None:
            return False
        if not self._still_sendable(now, attempt):
            attempt.held_back = True
            return False
        attempt.sent_at = now
        return True

    def _still_sendable(self, now: float, attempt: Attempt) -> bool:
        entry = self._context.registry.entries.get(attempt.host)
        is_usable = entry is not None and entry.state is State.READY
        delay_ms = now - attempt.decided_at
        in_time = now < attempt.timeout_at and now <= attempt.send_deadline
        return is_usable and in_time and delay_ms <= self._context.cluster.settings.connect_timeout_ms

    # ---- Results of offers ----------------------------------------------------------------------------

    def on_answered(self, now: float, task_uid: str, attempt_number: int, answer: wire.Answer) -> None:
        """Handle a machine's answer to an offer."""
        attempt = self._find_unanswered(task_uid, attempt_number)
        if attempt is None:
            return
        entry = self._context.registry.entries.get(attempt.host)
        if answer.load is not None and entry is not None:
            self._load_reports.on_load(now, entry, answer.load)
        match answer.answer:
            case "running" | "accepted":
                self._attempts.accept(now, attempt, running=answer.answer == "running")
            case "refused":
                self._attempts.close(now, attempt, _rejection(answer))
            case "error":
                end = AttemptEnd(
                    AttemptOutcome.ERROR, "error", reason_name=answer.reason, message=answer.message
                )
                self._attempts.close(now, attempt, end)
        self._endpoints.publish_due(now)

    def on_failed(self, now: float, task_uid: str, attempt_number: int, message: str) -> None:
        """Handle an offer that got no answer because the connection failed or broke.

        Whether the offer had been sent decides the outcome.
        """
        attempt = self._find_unanswered(task_uid, attempt_number)
        if attempt is None:
            return
        if attempt.held_back:
            end = AttemptEnd(AttemptOutcome.NOT_SENT, "not sent", message="held back")
        elif attempt.sent_at is None:
            end = AttemptEnd(AttemptOutcome.UNREACHABLE, "unreachable", message=message)
        else:
            end = AttemptEnd(AttemptOutcome.RESET, "reset", message=message)
        self._attempts.close(now, attempt, end)
        self._endpoints.publish_due(now)

    def _find_unanswered(self, task_uid: str, attempt_number: int) -> Attempt | None:
        """Return an outstanding attempt; None if it ended or the machine's stream reported it as accepted."""
        attempt = self._context.task_table.find_attempt(task_uid, attempt_number)
        is_outstanding = attempt is not None and attempt.is_open and not attempt.placed
        return attempt if is_outstanding else None

    def _on_timeout(self, now: float, attempt: Attempt) -> None:
        if not attempt.is_open or attempt.placed:
            return
        if attempt.sent_at is None:
            end = AttemptEnd(AttemptOutcome.UNREACHABLE, "unreachable", message="not sent in time")
        else:
            end = AttemptEnd(AttemptOutcome.TIMED_OUT, "timed out")
        self._attempts.close(now, attempt, end)


def _rejection(answer: wire.Answer) -> AttemptEnd:
    reason = REJECTION_REASONS.get(answer.reason, OutcomeReason.UNSPECIFIED)
    return AttemptEnd(AttemptOutcome.REJECTED, "refused", reason, answer.reason, answer.message)
