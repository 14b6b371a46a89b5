"""Evaluation of an offer at the head of the admission queue: it is refused or admitted to the start queue.

An evaluation applies `admission` to the tasks on the machine, claims the idempotency key, and preempts tasks
of lower priority if preemption is enabled.
"""

from __future__ import annotations

from kelpfront.machine.admission import AdmissionDecision, Request, decide_admission
from kelpfront.machine.idempotency_records import RecordHolder
from kelpfront.machine.messages import NOT_HERE, Answer
from kelpfront.machine.model import ADMITTED_PHASES, ActiveTask, NodeSettings, Phase
from kelpfront.machine.offer_answers import OfferAnswers
from kelpfront.machine.start_queue import StartQueue
from kelpfront.machine.task_stops import TaskStops
from kelpfront.machine.task_table import TaskTable


class Evaluation:
    """Evaluates the offers of a node."""

    def __init__(
        self,
        settings: NodeSettings,
        tasks: TaskTable,
        start_queue: StartQueue,
        answers: OfferAnswers,
        stops: TaskStops,
    ) -> None:
        self._settings = settings
        self._tasks = tasks
        self._start_queue = start_queue
        self._answers = answers
        self._stops = stops

    def evaluate(self, now: float, task: ActiveTask) -> None:
        """Admit or refuse a task that was removed from the admission queue."""
        if now > task.offer.not_after:
            self._refuse(task, Answer("refused", NOT_HERE, "too late"))
            return
        holder = self._tasks.keys.holder(task.offer)
        if holder is not None:
            self._refuse(task, _duplicate_refusal(holder))
            return
        decision = self._decide(task)
        if decision.reason:
            self._refuse(task, self._answers.with_load("refused", decision.reason, decision.message))
            return
        holder = self._tasks.keys.claim(task.offer)  # another machine may have claimed it since the check
        if holder is not None:
            self._refuse(task, _duplicate_refusal(holder))
            return
        self._admit(now, task, decision)

    def _decide(self, task: ActiveTask) -> AdmissionDecision:
        offer = task.offer
        claims = [other.claim() for other in self._tasks.by_uid.values() if other.phase in ADMITTED_PHASES]
        request = Request(offer.priority, offer.cores, offer.memory)
        settings = self._settings
        return decide_admission(settings.capacity, claims, request, preempts=settings.preempts)

    def _admit(self, now: float, task: ActiveTask, decision: AdmissionDecision) -> None:
        for victim in decision.preempted:
            self._stops.preempt(self._tasks.by_uid[victim], task)
        task.phase = Phase.QUEUED
        task.since = now
        self._start_queue.append(task)
        if self._answers.answers_on_admission:
            self._answers.confirm_accepted(task)

    def _refuse(self, task: ActiveTask, answer: Answer) -> None:
        self._tasks.discard(task)
        self._answers.give_for(task, answer)


def _duplicate_refusal(holder: RecordHolder) -> Answer:
    return Answer("refused", NOT_HERE, f"a copy stands on {holder.machine}")
