"""Task classes and drivers for the degradation tests: a state machine with a clock and a loaded placer."""

from __future__ import annotations

from typing import Any

from helpers import task_class

from kelpfront.degradation import (
    AdmissionRequest,
    AnsweredTask,
    DegradationController,
    Level,
    LevelChange,
    LevelSettings,
    LevelStateMachine,
    OverloadObservation,
)
from kelpfront.scheduling.settings import Idempotency

CLASSES = (
    task_class(
        name="batch", priority=0, priority_weight=1.0, latency_objective_ms=1000.0, deadline_ms=5000.0
    ),
    task_class(name="web", priority=1, priority_weight=3.0, latency_objective_ms=700.0, deadline_ms=5000.0),
    task_class(
        Idempotency.NON_IDEMPOTENT,
        name="blend",
        priority=2,
        priority_weight=2.0,
        latency_objective_ms=600.0,
        deadline_ms=8000.0,
    ),
)
BATCH, WEB, BLEND = range(len(CLASSES))
STEP_MS = 100.0
"""Time between two observations."""
START_OF_CLOCK_MS = 1e12


class StateMachineDriver:
    """Steps a state machine ten times a second with the signal values that a test passes."""

    def __init__(self, max_changes_per_hour: int = 12, seed: int = 1) -> None:
        self.state_machine = LevelStateMachine(len(CLASSES), max_changes_per_hour, seed)
        self.now = 0.0
        self.changes: list[LevelChange] = []

    def run(self, seconds: float, **signals: float) -> None:
        """Let time pass with constant signal values; omitted signals are 0."""
        readings = {name.replace("_", "-"): value for name, value in signals.items()}
        end = self.now + seconds * 1000.0
        while self.now < end:
            self.now += STEP_MS
            change = self.state_machine.step(self.now, readings)
            if change is not None:
                self.changes.append(change)

    @property
    def level(self) -> str:
        """The name of the current level."""
        return self.state_machine.level.api_name

    @property
    def path(self) -> list[str]:
        """The names of the levels entered so far, in order."""
        return [change.after.api_name for change in self.changes]


class LoadedPlacer:
    """A controller that is pinned to a level and has placed tasks at a constant rate for ten seconds."""

    def __init__(
        self,
        level: Level,
        placements_per_s: int = 20,
        free_task_slots: float = 0.0,
        **settings: Any,
    ) -> None:
        self.controller = DegradationController(LevelSettings(**settings), CLASSES, 5)
        self.now = START_OF_CLOCK_MS
        self.controller.observe(self.now, OverloadObservation(free_task_slots=free_task_slots))
        self.controller.pin(self.now, level, 1e12)
        for _ in range(10 * placements_per_s):
            self.now += 1000.0 / placements_per_s
            self.controller.on_admitted(WEB, "a", 1)
            self.controller.on_placed(self.now, AnsweredTask(WEB, "a", 150.0, 5000.0))

    def submit(
        self, class_index: int, owner: str = "a", task_count: int = 1, remaining_ms: float = 5000.0
    ) -> str:
        """Request a job; return the reason of its rejection, or an empty string if it is admitted."""
        request = AdmissionRequest(class_index, owner, task_count, remaining_ms)
        rejection = self.controller.decide_admission(self.now, request)
        if rejection is None:
            self.controller.on_admitted(class_index, owner, task_count)
            return ""
        assert rejection.retry_ms >= 700.0
        return rejection.reason.value

    def fill(self, class_index: int, owner: str = "a", limit: int = 1000) -> int:
        """Submit jobs until one is rejected; return the number of admitted jobs."""
        for number in range(limit):
            if self.submit(class_index, owner):
                return number
        return limit
