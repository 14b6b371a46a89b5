"""Records the progress of attempts (accepted, ended, ended after the task ran) and notifies the scheduler.

`dispatch` and `reconciliation` translate the messages of machines into calls of this module. The scheduler
decides what follows the end of an attempt: another attempt or an answer.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpfront.api.jobs import TaskState
from kelpfront.controller.answers import TaskAnswers
from kelpfront.controller.context import ControllerContext
from kelpfront.controller.intents import AbandonOffer
from kelpfront.controller.machine_record import MachineRecord
from kelpfront.controller.orphans import OrphanHandler
from kelpfront.controller.tasks import Attempt, OrphanedInstance, Task
from kelpfront.machine import messages as wire
from kelpfront.scheduling.events import (
    NOT_EXECUTED_OUTCOMES,
    AttemptClosed,
    AttemptOutcome,
    OutcomeReason,
    StatusTopic,
    TaskPlaced,
    TaskStatusReported,
)
from kelpfront.scheduling.settings import Idempotency

MOVED = "MOVED"
"""The reason shown for a task that is stopped so that its client resubmits it for a better placement."""


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended.

    Attributes:
        outcome: the outcome that is reported to the scheduler.
        text: the end as the API shows it.
        reason: the machine's reason, as reported to the scheduler.
        reason_name: the same reason by its name in the machine protocol, as the API shows it.
        message: the machine's message, or an error of the connection.
        task_finished: whether the task ended with the attempt, so that no other attempt follows.
    """

    outcome: AttemptOutcome
    text: str
    reason: OutcomeReason = OutcomeReason.UNSPECIFIED
    reason_name: str = ""
    message: str = ""
    task_finished: bool = False


@dataclass(frozen=True, slots=True)
class InstanceEnd:
    """How a task instance on a machine ended, as reported by the machine; None for what was not reported."""

    cause: wire.GoneCause
    exit_code: int | None = None
    message: str = ""
    cpu_s: float | None = None


@dataclass(frozen=True, slots=True)
class CauseOutcome:
    """What is recorded for the cause of an instance's end.

    Attributes:
        outcome: the outcome that is reported to the scheduler.
        reason: the reason that is reported to the scheduler.
        lost_reason: why the task was lost, as the API shows it; empty if the task exited by itself.
    """

    outcome: AttemptOutcome
    reason: OutcomeReason = OutcomeReason.UNSPECIFIED
    lost_reason: str = ""


CAUSE_OUTCOMES: dict[wire.GoneCause, CauseOutcome] = {
    "ended": CauseOutcome(AttemptOutcome.ENDED),
    "stopped": CauseOutcome(AttemptOutcome.CANCELLED, lost_reason="STOPPED"),
    "failed": CauseOutcome(AttemptOutcome.ERROR, lost_reason="START_FAILED"),
    "evicted": CauseOutcome(AttemptOutcome.RESET, OutcomeReason.EVICTED, "EVICTED"),
    "pushed-out": CauseOutcome(AttemptOutcome.RESET, OutcomeReason.PREEMPTED, "PUSHED_OUT"),
    "sent-away": CauseOutcome(AttemptOutcome.RESET, OutcomeReason.DRAINED, "SENT_AWAY"),
    "lost": CauseOutcome(AttemptOutcome.RESET, lost_reason="MACHINE_LOST"),
}


class AttemptTracker:
    """Records when attempts are accepted and when they end, each end exactly once."""

    def __init__(self, context: ControllerContext, answers: TaskAnswers, orphans: OrphanHandler) -> None:
        self._context = context
        self._answers = answers
        self._orphans = orphans

    # ---- Accepted -------------------------------------------------------------------------------------

    def accept(self, now: float, attempt: Attempt, *, running: bool) -> None:
        """Record that a machine has accepted or runs the task; either may be reported more than once."""
        task = attempt.task
        if not attempt.placed and (task.withdrawn or not task.needs_answer):
            # The task was answered or withdrawn while the attempt was outstanding: the instance is an orphan.
            self.close(now, attempt, AttemptEnd(AttemptOutcome.CANCELLED, "given up", task_finished=True))
            self._orphans.on_found(now, attempt.host, task.uid, attempt.number)
        elif not attempt.placed:
            self._place(now, attempt)
            if running:
                task.move(now, TaskState.RUNNING)
        elif running and task.state is TaskState.PLACED:
            task.move(now, TaskState.RUNNING)
            status = TaskStatusReported(
                task.scheduler_id, attempt.scheduler_number, attempt.machine_id, StatusTopic.RUNNING, 1.0
            )
            self._context.driver.feed(now, status)
        self._context.publisher.job_changed(task.job)

    def _place(self, now: float, attempt: Attempt) -> None:
        context = self._context
        task = attempt.task
        attempt.placed = True
        context.degradation.on_offer_closed(now, task, AttemptOutcome.ENDED, OutcomeReason.UNSPECIFIED)
        if attempt.sent_at is None:
            attempt.sent_at = now
        entry = context.registry.entries.get(attempt.host)
        if entry is not None:
            entry.task_count += 1
        task.host = attempt.host
        elapsed_ms = now - attempt.decided_at
        placed = TaskPlaced(task.scheduler_id, attempt.scheduler_number, attempt.machine_id, elapsed_ms)
        context.driver.feed(now, placed)
        self._answers.answer(now, task, TaskState.PLACED)
        context.log.debug("task placed", task, machine=attempt.host, attempt=attempt.number)
        orphan, task.orphan = task.orphan, None
        if orphan is not None:
            context.stops.request(orphan.host, task.uid, orphan.attempt_number, "placed elsewhere")

    # ---- Ended after the machine had accepted it ------------------------------------------------------

    def finish(self, now: float, attempt: Attempt, end: InstanceEnd) -> None:
        """Record that a placed task has ended."""
        context = self._context
        task = attempt.task
        meaning = CAUSE_OUTCOMES[end.cause]
        entry = context.registry.entries.get(attempt.host)
        if entry is not None:
            entry.task_count -= 1
        task.exit_code = end.exit_code
        task.cpu_s = end.cpu_s
        if not task.withdrawn:
            lost_reason = MOVED if task.reason == MOVED else meaning.lost_reason
            self._record_final_state(now, attempt, lost_reason)
        closed = AttemptEnd(
            meaning.outcome, end.cause, meaning.reason, message=end.message, task_finished=True
        )
        self.close(now, attempt, closed)
        context.task_table.remove(task)
        context.job_table.check_finished(task.job)

    def _record_final_state(self, now: float, attempt: Attempt, lost_reason: str) -> None:
        task = attempt.task
        if lost_reason:
            task.reason = lost_reason
            task.move(now, TaskState.LOST)
            self._context.log.info("task lost", task, machine=attempt.host, reason=lost_reason)
        else:
            task.move(now, TaskState.ENDED)
            self._context.log.debug("task ended", task, machine=attempt.host, reason=lost_reason)

    # ---- Ended ----------------------------------------------------------------------------------------

    def close(self, now: float, attempt: Attempt, end: AttemptEnd) -> None:
        """End an open attempt and notify the scheduler."""
        context = self._context
        task = attempt.task
        self._record_end(now, attempt, end)
        self._abandon_if_possibly_executed(attempt, end.outcome)
        orphan, task.orphan = task.orphan, None
        orphan_machine = self._machine_to_adopt_from(task, orphan)
        task_finished = (
            end.task_finished or task.withdrawn or not task.needs_answer or orphan_machine is not None
        )
        if not task_finished:
            task.move(now, TaskState.PENDING)
        context.publisher.job_changed(task.job)
        context.driver.feed(now, _closed_event(now, attempt, end, task_finished=task_finished))
        if orphan is not None and orphan_machine is not None:
            # A machine reported an orphan during this attempt: adopt it instead of starting another attempt.
            self._orphans.adopt_with_new_id(now, task, orphan_machine, orphan.attempt_number)
        elif orphan is not None:
            context.stops.request(orphan.host, task.uid, orphan.attempt_number, "given up")
        if task.withdrawn:
            context.task_table.remove(task)

    def _record_end(self, now: float, attempt: Attempt, end: AttemptEnd) -> None:
        attempt.ended_at = now
        attempt.end = end.text
        attempt.reason = end.reason_name
        attempt.message = end.message
        if attempt.placed:
            return
        task = attempt.task
        self._context.degradation.on_offer_closed(now, task, end.outcome, end.reason)
        self._context.log.debug(
            "attempt ended",
            task,
            machine=attempt.host,
            attempt=attempt.number,
            end=end.text,
            reason=end.reason_name,
        )

    def _abandon_if_possibly_executed(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Abandon the offer, and request a stop if the task is idempotent or withdrawn."""
        possibly_executed = (
            attempt.sent_at is not None and not attempt.placed and outcome not in NOT_EXECUTED_OUTCOMES
        )
        if not possibly_executed or outcome is AttemptOutcome.ERROR:
            return
        task = attempt.task
        self._context.intents.append(AbandonOffer(attempt.host, task.uid, attempt.number))
        is_idempotent = self._context.class_of(task).idempotency is Idempotency.IDEMPOTENT
        if is_idempotent or task.withdrawn:
            self._context.stops.request(attempt.host, task.uid, attempt.number, "given up")

    def _machine_to_adopt_from(self, task: Task, orphan: OrphanedInstance | None) -> MachineRecord | None:
        if orphan is None or not task.needs_answer or task.withdrawn:
            return None
        return self._context.registry.entries.get(orphan.host)


def _closed_event(now: float, attempt: Attempt, end: AttemptEnd, *, task_finished: bool) -> AttemptClosed:
    started_at = attempt.decided_at if attempt.sent_at is None else attempt.sent_at
    return AttemptClosed(
        attempt.task.scheduler_id,
        attempt.scheduler_number,
        attempt.machine_id,
        end.outcome,
        end.reason,
        task_finished,
        now - started_at,
    )
