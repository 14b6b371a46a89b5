"""What a node wants done: the effects that it hands to whoever holds it, which carries them out in order.

The node itself does no I/O; the server answers offers and a `TaskRuntime` starts and stops tasks.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpfront.machine.messages import Answer, GoneCause, Offer


@dataclass(frozen=True, slots=True)
class AnswerOffer:
    """Answer the offer of this attempt, on each connection that waits for it."""

    task: str
    attempt: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start the task.

    `needs_program` is set where no task of the service runs here and its program is not cached: such a first
    start takes longer.
    """

    offer: Offer
    placer: str
    needs_program: bool


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a task that starts or runs; `Node.exited` is to be called when its process has ended."""

    task: str
    cause: GoneCause


@dataclass(frozen=True, slots=True)
class SupersedeAttempt:
    """A task that starts or runs belongs to a later attempt from now on.

    `Node.attempt_superseded` is to be called once that is on record: only then is the later attempt answered.
    """

    offer: Offer
    placer: str
    incarnation: str


Effect = AnswerOffer | StartTask | StopTask | SupersedeAttempt


class EffectBuffer:
    """Effects in the order in which they were decided, until they are carried out."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Append an effect."""
        self._effects.append(effect)

    def pop_all(self) -> list[Effect]:
        """Return all effects and forget them."""
        effects = self._effects
        self._effects = []
        return effects
