"""Handling of a repeated offer, or an offer of another attempt, for a task that is already on the machine.

The task is not started twice: one that is starting or running is assigned to the later attempt. The later
attempt is answered only when `Node.attempt_superseded` reports that the change is recorded.
"""

from __future__ import annotations

from kelpfront.machine.effects import EffectBuffer, SupersedeAttempt
from kelpfront.machine.messages import NOT_HERE, Answer, OfferRequest
from kelpfront.machine.model import ActiveTask, Phase
from kelpfront.machine.offer_answers import OfferAnswers
from kelpfront.machine.withdrawals import Withdrawals


class Supersession:
    """Decides which of two attempts of a task remains."""

    def __init__(self, withdrawals: Withdrawals, answers: OfferAnswers, effects: EffectBuffer) -> None:
        self._withdrawals = withdrawals
        self._answers = answers
        self._effects = effects

    def resolve(self, task: ActiveTask, request: OfferRequest) -> bool:
        """Handle another offer of an active task; returns whether to continue with it as a new offer."""
        new = request.offer
        current_attempt = task.offer.attempt
        if new.attempt == current_attempt:
            return False  # a repeated offer is answered together with the first
        if new.attempt < current_attempt:
            self._answers.give(new, Answer("refused", NOT_HERE, f"attempt {current_attempt} is here"))
            return False
        if task.phase is Phase.STOPPING:
            self._answers.give(new, Answer("refused", NOT_HERE, "an earlier attempt is being stopped"))
            return False
        if not task.has_begun:
            self._withdrawals.withdraw(task, "stopped", "a later attempt came")
            return True
        self._supersede(task, request)
        return False

    def confirm(self, task: ActiveTask) -> None:
        """Answer a later attempt, now that it is recorded that the task belongs to it."""
        if task.phase is Phase.RUNNING:
            self._answers.confirm_running(task)
        elif task.phase is Phase.STARTING and self._answers.answers_on_admission:
            self._answers.confirm_accepted(task)

    def _supersede(self, task: ActiveTask, request: OfferRequest) -> None:
        if not task.answered:
            self._answers.give(task.offer, Answer("error", "", "a later attempt took the copy over"))
        task.offer = request.offer
        task.placer = request.placer
        task.incarnation = request.incarnation
        task.answered = False
        self._effects.add(SupersedeAttempt(request.offer, request.placer, request.incarnation))
