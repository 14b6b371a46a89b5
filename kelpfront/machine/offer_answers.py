"""Answers to offers: each offer is answered once, and the answer is repeated if the offer arrives again.

This module remembers the answers and adds each one to the node's effects. Its callers choose the answers.
"""

from __future__ import annotations

from kelpfront.machine.bounded_cache import BoundedCache
from kelpfront.machine.effects import AnswerOffer, EffectBuffer
from kelpfront.machine.load_meter import LoadMeter
from kelpfront.machine.messages import Answer, AnswerKind, Offer
from kelpfront.machine.model import ActiveTask, NodeSettings
from kelpfront.machine.report_log import ReportLog

MAX_ANSWERS = 10_000  # answers remembered; offers are repeated within seconds, before so many answers


class OfferAnswers:
    """The answers of a node. An offer is identified by its task and attempt."""

    def __init__(
        self, settings: NodeSettings, report_log: ReportLog, load: LoadMeter, effects: EffectBuffer
    ) -> None:
        self.answers_on_admission = settings.answer_mode == "accepted"
        self._report_log = report_log
        self._load = load
        self._effects = effects
        self._given: BoundedCache[tuple[str, int], Answer] = BoundedCache(MAX_ANSWERS)

    def repeat(self, offer: Offer) -> bool:
        """Repeat the answer to an offer; returns False if the offer has no answer yet."""
        answer = self._given.get((offer.task, offer.attempt))
        if answer is None:
            return False
        self._effects.add(AnswerOffer(offer.task, offer.attempt, answer))
        return True

    def remember(self, offer: Offer, answer: Answer) -> None:
        """Remember the answer to an offer, which is repeated if the offer arrives again."""
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
        """Answer the offer of a task unless it has an answer."""
        if not task.answered:
            self.give_for(task, answer)

    def with_load(self, kind: AnswerKind, reason: str = "", message: str = "") -> Answer:
        """Return an answer that includes the machine's load."""
        return Answer(kind, reason, message, self._load.report())

    def confirm_accepted(self, task: ActiveTask) -> None:
        """Report that a task was accepted, and answer its offer with `accepted`."""
        outbox = self._report_log.outbox(task.placer)
        outbox.append_accepted(task.uid, task.offer.attempt, running=False)
        self.give_for(task, self.with_load("accepted"))

    def confirm_running(self, task: ActiveTask) -> None:
        """Report that a task is running, and answer its offer with `running` unless it has an answer."""
        outbox = self._report_log.outbox(task.placer)
        outbox.append_accepted(task.uid, task.offer.attempt, running=True)
        if not task.answered:
            self.give_for(task, self.with_load("running"))
