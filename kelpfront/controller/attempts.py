"""Records how attempts go (accepted by a machine, ended, ended after the task ran) and tells the scheduler.

Messages from connections and streams are translated by `dispatch` and `reconciliation`; what follows from an
end (another attempt, an answer) is the scheduler's to decide.
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
    NOT_EXECUTED,
    AttemptClosed,
    AttemptOutcome,
    OutcomeReason,
    StatusTopic,
    TaskPlaced,
    TaskStatusReported,
)
from kelpfront.scheduling.settings import Idempotency

MOVED = "MOVED"
"""The reason of a task that is stopped so that its client submits it again, for a better place."""


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended.

    Attributes:
        outcome: for the scheduler.
        text: for clients, as the API shows it.
        reason: for the scheduler, where the machine says why.
        reason_name: the same by its name in the machines' protocol, for clients.
        message: what the machine or the connection said.
        task_finished: whether the task itself is over with it.
    """

    outcome: AttemptOutcome
    text: str
    reason: OutcomeReason = OutcomeReason.UNSPECIFIED
    reason_name: str = ""
    message: str = ""
    task_finished: bool = False


@dataclass(frozen=True, slots=True)
class InstanceEnd:
    """How an instance that a machine held ended, in the machines' words; None for what it did not say."""

    cause: wire.GoneCause
    exit_code: int | None = None
    message: str = ""
    cpu_s: float | None = None


@dataclass(frozen=True, slots=True)
class EndMeaning:
    """What the cause of an instance's end means.

    Attributes:
        outcome: for the scheduler.
        reason: for the scheduler.
        lost_reason: why the client lost the task; empty where it ended by itself.
    """

    outcome: AttemptOutcome
    reason: OutcomeReason = OutcomeReason.UNSPECIFIED
    lost_reason: str = ""


END_MEANINGS: dict[wire.GoneCause, EndMeaning] = {
    "ended": EndMeaning(AttemptOutcome.ENDED),
    "stopped": EndMeaning(AttemptOutcome.CANCELLED, lost_reason="STOPPED"),
    "failed": EndMeaning(AttemptOutcome.ERROR, lost_reason="START_FAILED"),
    "evicted": EndMeaning(AttemptOutcome.RESET, OutcomeReason.EVICTED, "EVICTED"),
    "pushed-out": EndMeaning(AttemptOutcome.RESET, OutcomeReason.PREEMPTED, "PUSHED_OUT"),
    "sent-away": EndMeaning(AttemptOutcome.RESET, OutcomeReason.DRAINED, "SENT_AWAY"),
    "lost": EndMeaning(AttemptOutcome.RESET, lost_reason="MACHINE_LOST"),
}


class AttemptTracker:
    """Accepts and ends attempts, each end once."""

    def __init__(self, context: ControllerContext, answers: TaskAnswers, orphans: OrphanHandler) -> None:
        self._context = context
        self._answers = answers
        self._orphans = orphans

    # ---- Accepted -------------------------------------------------------------------------------------

    def accept(self, now: float, attempt: Attempt, *, running: bool) -> None:
        """A machine has accepted the task, or runs it. Both may be reported more than once."""
        task = attempt.task
        if not attempt.placed and (task.withdrawn or not task.needs_answer):
            # Answered while it was out: whatever the machine holds now is an instance that was given up.
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
        """A placed task is over."""
        context = self._context
        task = attempt.task
        meaning = END_MEANINGS[end.cause]
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
        """End an attempt, once, and tell the scheduler."""
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
            # An instance turned up while this attempt was out: it is adopted before another is tried.
            self._orphans.adopt_anew(now, task, orphan_machine, orphan.attempt_number)
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
        """Stop waiting for the machine, and have it stop the task where another instance may be started."""
        possibly_executed = attempt.sent_at is not None and not attempt.placed and outcome not in NOT_EXECUTED
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
    began_at = attempt.decided_at if attempt.sent_at is None else attempt.sent_at
    return AttemptClosed(
        attempt.task.scheduler_id,
        attempt.scheduler_number,
        attempt.machine_id,
        end.outcome,
        end.reason,
        task_finished,
        now - began_at,
    )
