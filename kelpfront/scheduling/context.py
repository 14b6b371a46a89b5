"""What all parts of one scheduler share while an event is handled: settings, time, randomness and actions.

It decides nothing. Parts read the time of the event here and add the actions that the event leads to.
"""

from __future__ import annotations

import random

from kelpfront.scheduling.actions import SchedulerAction
from kelpfront.scheduling.settings import SchedulerSettings


class SchedulingContext:
    """Settings, the time of the event that is handled, and the actions that it has led to so far.

    Attributes:
        settings: what the scheduler was told when it started.
        random: the only source of randomness, seeded by the caller.
        now: time of the present event in milliseconds; it never goes back.
    """

    __slots__ = ("_actions", "now", "random", "settings")

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0.0
        self._actions: list[SchedulerAction] = []

    def advance(self, now: float) -> None:
        """Move on to the time of the next event."""
        self.now = max(now, self.now)

    def emit(self, action: SchedulerAction) -> None:
        """Add an action; the caller carries actions out in the order in which they were added."""
        self._actions.append(action)

    def take_actions(self) -> list[SchedulerAction]:
        """Return the actions added since the last call, in their order."""
        actions, self._actions = self._actions, []
        return actions
