"""The effects of a node: the actions that it decides on and that its owner carries out in order.

The node itself does no I/O; the server answers offers and a `TaskRuntime` starts and stops tasks.
"""

from __future__ import annotations

from dataclasses import dataclass

from kelpfront.machine.messages import Answer, GoneCause, Offer


@dataclass(frozen=True, slots=True)
class AnswerOffer:
    """Send the answer to the offer of this attempt on each connection that waits for it."""

    task: str
    attempt: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start the task.

    `needs_program` is set if no task of the service is active on this machine and its program is not cached:
    such a first start takes longer.
    """

    offer: Offer
    placer: str
    needs_program: bool


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop a task that is starting or running; call `Node.exited` when its process has ended."""

    task: str
    cause: GoneCause


@dataclass(frozen=True, slots=True)
class SupersedeAttempt:
    """Assign a task that is starting or running to a later attempt.

    Call `Node.attempt_superseded` once the change is recorded: only then is the later attempt answered.
    """

    offer: Offer
    placer: str
    incarnation: str


Effect = AnswerOffer | StartTask | StopTask | SupersedeAttempt


class EffectBuffer:
    """Effects that are not carried out yet, in the order in which they were decided."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []

    def add(self, effect: Effect) -> None:
        """Append an effect."""
        self._effects.append(effect)

    def pop_all(self) -> list[Effect]:
        """Remove and return all effects."""
        effects = self._effects
        self._effects = []
        return effects
