"""Handles orphaned instances: instances of a task whose attempt was given up, but which a machine holds.

An orphan arises when a machine accepts an offer but answers after the timeout, or when its answer is lost.
The instance is then either adopted as the task's only instance, or stopped through `stop_requests`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from kelpfront.api.jobs import Answer, TaskState
from kelpfront.controller.answers import TaskAnswers
from kelpfront.controller.context import ControllerContext
from kelpfront.controller.machine_record import MachineRecord
from kelpfront.controller.tasks import Attempt, OrphanedInstance, Task
from kelpfront.numbers import service_number
from kelpfront.scheduling.events import TaskFound, TaskWithdrawn
from kelpfront.scheduling.settings import Idempotency

FIRST_ATTEMPT_NUMBER = 0
"""The scheduler treats a task that is reported as already running as placed by its first attempt."""


class OrphanDecision(Enum):
    """What to do with an orphaned instance."""

    ADOPT = "adopt"
    STOP = "stop"
    WAIT = "wait"
    """Wait until the outstanding attempt has ended, then decide again."""


@dataclass(frozen=True, slots=True)
class OrphanSituation:
    """The state of a task when an orphaned instance of it is found.

    Attributes:
        idempotency: the idempotency of the task's class.
        answer: the task's answer; None if it has none yet.
        attempt_outstanding: whether another attempt is outstanding.
        placed: whether the task is placed elsewhere or has ended.
        wanted: whether the client still wants the task.
        given_up_ms: the time since the instance's attempt was given up.
        recheck_ms: how long after its failure a task may still be adopted.
    """

    idempotency: Idempotency
    answer: Answer | None
    attempt_outstanding: bool
    placed: bool
    wanted: bool
    given_up_ms: float
    recheck_ms: float


def decide(situation: OrphanSituation) -> OrphanDecision:
    """Return what to do with an orphaned instance.

    - The task is idempotent: stop. The instance uses capacity, and starting a new one is harmless.
    - The task is placed elsewhere, has ended, was withdrawn or was refused: stop. After a refusal the client
      may have submitted it again.
    - Any other task without an answer: adopt. If another attempt is outstanding, wait for it first, because
      its machine may hold the only instance, or may refuse the offer because of this instance.
    - Any other task that failed: adopt within `recheck_ms`, because such a task cannot safely be started
      again. After that the client may have submitted it again: stop.
    """
    unwanted = situation.placed or not situation.wanted or situation.answer is Answer.REFUSED
    if unwanted or situation.idempotency is Idempotency.IDEMPOTENT:
        return OrphanDecision.STOP
    if situation.answer is None:
        return OrphanDecision.WAIT if situation.attempt_outstanding else OrphanDecision.ADOPT
    within_recheck = situation.given_up_ms <= situation.recheck_ms
    return OrphanDecision.ADOPT if within_recheck else OrphanDecision.STOP


class OrphanHandler:
    """Adopts or stops orphaned instances, or records them until the outstanding attempt has ended."""

    def __init__(self, context: ControllerContext, answers: TaskAnswers) -> None:
        self._context = context
        self._answers = answers

    def on_found(self, now: float, host: str, task_uid: str, attempt_number: int) -> None:
        """Handle an instance on a machine whose attempt was given up or whose task is unknown."""
        context = self._context
        task = context.task_table.by_uid.get(task_uid)
        if task is None:
            context.stops.request(host, task_uid, attempt_number, "no longer wanted")
            return
        decision = decide(self._situation(now, task, attempt_number))
        entry = context.registry.entries.get(host)
        if decision is OrphanDecision.STOP or entry is None:
            context.stops.request(host, task_uid, attempt_number, "given up")
        elif decision is OrphanDecision.WAIT:
            task.orphan = OrphanedInstance(host, attempt_number)
        else:
            context.driver.feed(now, TaskWithdrawn(task.scheduler_id))
            self.adopt_with_new_id(now, task, entry, attempt_number)

    def _situation(self, now: float, task: Task, attempt_number: int) -> OrphanSituation:
        given_up = task.attempt(attempt_number)
        given_up_at = now if given_up is None or given_up.ended_at is None else given_up.ended_at
        current = task.open_attempt
        placed_elsewhere = current is not None and current.placed
        return OrphanSituation(
            idempotency=self._context.class_of(task).idempotency,
            answer=task.answer,
            attempt_outstanding=current is not None and not current.placed,
            placed=placed_elsewhere or task.state in (TaskState.ENDED, TaskState.LOST),
            wanted=not task.withdrawn,
            given_up_ms=now - given_up_at,
            recheck_ms=self._context.cluster.settings.orphan_check_ms,
        )

    def adopt_with_new_id(self, now: float, task: Task, entry: MachineRecord, attempt_number: int) -> None:
        """Adopt a running instance of a task that the scheduler has dropped, under a new scheduler id."""
        self._context.task_table.renumber(task)
        self.adopt(now, task, entry, attempt_number, running=True)

    def adopt(
        self, now: float, task: Task, entry: MachineRecord, attempt_number: int, *, running: bool
    ) -> None:
        """Make an instance that a machine holds the task's placed attempt, and notify the scheduler."""
        context = self._context
        self._reopen_attempt(now, task, entry, attempt_number)
        context.job_table.mark_active(task.job)
        entry.task_count += 1
        task.host = entry.name
        if task.state is not TaskState.PLACED:
            task.found = not task.needs_answer
            self._answers.answer(now, task, TaskState.PLACED)
        if running:
            task.move(now, TaskState.RUNNING)
        context.publisher.job_changed(task.job)
        context.log.info("task found", task, machine=entry.name, attempt=attempt_number)
        context.driver.feed(now, _found_event(task, entry))

    @staticmethod
    def _reopen_attempt(now: float, task: Task, entry: MachineRecord, attempt_number: int) -> None:
        attempt = task.attempt(attempt_number)
        if attempt is None:
            attempt = Attempt(
                task,
                FIRST_ATTEMPT_NUMBER,
                attempt_number,
                entry.name,
                entry.machine_id,
                now,
                math.inf,
                sent_at=now,
            )
            task.attempts.append(attempt)
        elif not attempt.is_open:
            attempt.message = f"{attempt.end}, then found to run"
        attempt.scheduler_number = FIRST_ATTEMPT_NUMBER
        attempt.placed = True
        attempt.ended_at = None
        attempt.end = ""


def _found_event(task: Task, entry: MachineRecord) -> TaskFound:
    job = task.job
    spec = job.spec
    service = service_number(job.namespace, spec["service"])
    return TaskFound(
        task.scheduler_id, job.class_index, service, spec["cores"], spec["memory"], entry.machine_id
    )
