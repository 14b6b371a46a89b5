"""Answers to offers: given once, and repeated when the same offer comes again.

It owns the answers given and hands each out as an effect. What the answer is, is decided by its callers.
"""

from __future__ import annotations

from kelpfront.machine.bounded_cache import BoundedCache
from kelpfront.machine.effects import AnswerOffer, EffectBuffer
from kelpfront.machine.load_meter import LoadMeter
from kelpfront.machine.messages import Answer, AnswerKind, Offer
from kelpfront.machine.model import ActiveTask, NodeSettings
from kelpfront.machine.report_log import ReportLog

MAX_ANSWERS = 10_000  # answers given; an offer is repeated within seconds, of which this is many


class OfferAnswers:
    """The answers of a node. An offer is known by its task and attempt."""

    def __init__(
        self, settings: NodeSettings, report_log: ReportLog, load: LoadMeter, effects: EffectBuffer
    ) -> None:
        self.answers_on_admission = settings.answer_mode == "accepted"
        self._report_log = report_log
        self._load = load
        self._effects = effects
        self._given: BoundedCache[tuple[str, int], Answer] = BoundedCache(MAX_ANSWERS)

    def repeat(self, offer: Offer) -> bool:
        """Answer an offer as it was answered before; returns False where it has no answer yet."""
        answer = self._given.get((offer.task, offer.attempt))
        if answer is None:
            return False
        self._effects.add(AnswerOffer(offer.task, offer.attempt, answer))
        return True

    def remember(self, offer: Offer, answer: Answer) -> None:
        """Remember an answer that an earlier process gave, or would give."""
        self._given.put((offer.task, offer.attempt), answer)

    def give(self, offer: Offer, answer: Answer) -> None:
        """Answer an offer."""
        self.remember(offer, answer)
        self._effects.add(AnswerOffer(offer.task, offer.attempt, answer))

    def give_for(self, task: ActiveTask, answer: Answer) -> None:
        """Answer the offer of a task."""
        task.answered = True
        self.give(task.offer, answer)

    def give_if_open(self, task: ActiveTask, answer: Answer) -> None:
        """Answer the offer of a task unless it is answered."""
        if not task.answered:
            self.give_for(task, answer)

    def with_load(self, kind: AnswerKind, reason: str = "", message: str = "") -> Answer:
        """Return an answer that shows the machine's load."""
        return Answer(kind, reason, message, self._load.report())

    def confirm_accepted(self, task: ActiveTask) -> None:
        """Report that a task was accepted, and answer its offer with that."""
        outbox = self._report_log.outbox(task.placer)
        outbox.append_accepted(task.uid, task.offer.attempt, running=False)
        self.give_for(task, self.with_load("accepted"))

    def confirm_running(self, task: ActiveTask) -> None:
        """Report that a task runs, and answer its offer with that unless it is answered."""
        outbox = self._report_log.outbox(task.placer)
        outbox.append_accepted(task.uid, task.offer.attempt, running=True)
        if not task.answered:
            self.give_for(task, self.with_load("running"))
