"""State shared by all components of one scheduler: settings, time, randomness and pending actions.

It makes no decisions. Components read the time of the current event here and add the resulting actions.
"""

from __future__ import annotations

import random

from kelpfront.scheduling.actions import SchedulerAction
from kelpfront.scheduling.settings import SchedulerSettings


class SchedulingContext:
    """Settings, the time of the current event, and the actions that it has caused so far.

    Attributes:
        settings: the settings that the scheduler was created with.
        random: the only source of randomness, seeded by the caller.
        now: time of the current event in milliseconds; never decreases.
    """

    __slots__ = ("_actions", "now", "random", "settings")

    def __init__(self, settings: SchedulerSettings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.now = 0.0
        self._actions: list[SchedulerAction] = []

    def advance(self, now: float) -> None:
        """Advance the clock to the time of the next event."""
        self.now = max(now, self.now)

    def emit(self, action: SchedulerAction) -> None:
        """Add an action; the caller executes actions in the order in which they were added."""
        self._actions.append(action)

    def take_actions(self) -> list[SchedulerAction]:
        """Return and clear the actions added since the last call, in order."""
        actions, self._actions = self._actions, []
        return actions
