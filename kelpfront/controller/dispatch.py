"""Sends the scheduler's decisions to machines: offers, the gate before each send, their answers and timeouts.

It decides no placement. The gate is the last point at which what has changed since the decision can hold an
offer back; from then on the attempt may have been executed.
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
"""Reasons by their names in the machines' protocol."""


class Dispatcher:
    """Carries out what the scheduler decides about attempts, and takes in what came of their offers."""

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
        context.timers.set(attempt.timeout_at, lambda then: self._on_timeout(then, attempt))
        context.intents.append(SendOffer(entry.name, make_offer(context.cluster, task, attempt)))

    def cancel(self, now: float, cancel: CancelAttempt) -> None:
        """Give up an attempt that is out."""
        task = self._context.task_table.by_scheduler_id.get(cancel.task)
        if task is None:
            return
        for attempt in task.attempts:
            is_out = attempt.is_open and not attempt.placed
            if is_out and attempt.scheduler_number == cancel.attempt:
                end = AttemptEnd(AttemptOutcome.CANCELLED, "given up", task_finished=not task.needs_answer)
                self._attempts.close(now, attempt, end)

    def migrate(self, migrate: Migrate) -> None:
        """Stop a placed task, so that its client submits it again for a better place."""
        task = self._context.task_table.by_scheduler_id.get(migrate.task)
        attempt = None if task is None else task.open_attempt
        if task is not None and attempt is not None and attempt.placed:
            task.reason = MOVED
            self._context.stops.request(attempt.host, task.uid, attempt.number, "moved")

    # ---- The gate -------------------------------------------------------------------------------------

    def clear_to_send(self, now: float, task_uid: str, attempt_number: int) -> bool:
        """Return whether an offer may go out, right before its first byte; if not, it was not executed.

        It guards against what may have changed while a connection was made: the task was answered or
        withdrawn, its time is up, its machine drains or is gone, the window of a repeat with an idempotency
        key is over, or the offer was held up for longer than the slow-start slots allow for.
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

    # ---- What came of an offer ------------------------------------------------------------------------

    def on_answered(self, now: float, task_uid: str, attempt_number: int, answer: wire.Answer) -> None:
        """A machine answered an offer."""
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
        """An offer got no answer: no connection, or one that broke. Whether it went out is known here."""
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
        """Return an attempt that is out; None where the stream told before what the machine holds."""
        attempt = self._context.task_table.find_attempt(task_uid, attempt_number)
        is_out = attempt is not None and attempt.is_open and not attempt.placed
        return attempt if is_out else None

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
