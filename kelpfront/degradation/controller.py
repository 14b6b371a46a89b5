"""The degradation controller of one placer: records events, decides the level and admits new work.

The controller owns the signals, the backlog, the state machine and the load shedder. It reads no clock:
callers pass the time as milliseconds of the common clock. Internally it uses elapsed time, to which each call
adds at most `MAX_ELAPSED_STEP_MS`. A clock that jumps therefore neither looks like overload nor lets level
changes of the last hour expire. The placer's own controller publishes the level and writes the log.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from kelpfront.degradation import thresholds
from kelpfront.degradation.level_state_machine import LevelChange, LevelStateMachine
from kelpfront.degradation.load_shedder import AdmissionInputs, AdmissionRequest, LoadShedder, Rejection
from kelpfront.degradation.model import LEVEL_POLICIES, Level, LevelPolicy, OverloadObservation
from kelpfront.degradation.overload_signals import Backlog, OverloadSignals
from kelpfront.degradation.priority_order import PriorityOrder, rank_classes
from kelpfront.scheduling.settings import TaskClass

MAX_ELAPSED_STEP_MS = 2_000.0
"""Longest time between two calls that is counted. Calls come several times a second, so a longer time means
that the clock jumped or the process was suspended."""

PROCESS_SIGNALS = (thresholds.TIMER_LAG, thresholds.DECISION_TIME, thresholds.OPEN_TASKS, thresholds.MEMORY)
"""The signals that measure the placer's own process rather than the cluster or its tasks."""


@dataclass(frozen=True, slots=True)
class LevelSettings:
    """Operators' settings for degradation."""

    enabled: bool = True
    max_changes_per_hour: int = 12
    essential_priority: int | None = None
    """Classes of at least this priority are essential. None: `rank_classes` chooses the highest."""
    owner_weights: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Pin:
    """A level that an operator has fixed for a limited time."""

    level: Level
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class AnsweredTask:
    """An admitted task that was placed, refused or failed."""

    class_index: int
    owner: str
    waited_ms: float
    """Time from the request to the answer."""
    deadline_ms: float
    """Time from the request to the deadline."""

    @property
    def waited_share(self) -> float:
        """The waiting time as a share of the deadline."""
        return self.waited_ms / self.deadline_ms if self.deadline_ms else 1.0


def is_process_within_limits(readings: Mapping[str, float]) -> bool:
    """Whether all signals of the placer's own process are below their lowest entry thresholds."""
    for signal in thresholds.OVERLOAD_SIGNALS:
        if signal.name not in PROCESS_SIGNALS or signal.careful is None:
            continue
        if readings.get(signal.name, 0.0) >= signal.careful.entry:
            return False
    return True


class DegradationController:
    """Decides the level of service of one placer and which new work is admitted at that level."""

    def __init__(self, settings: LevelSettings, classes: Sequence[TaskClass], seed: int) -> None:
        self.settings = settings
        self.classes = tuple(classes)
        self.priority_order: PriorityOrder = rank_classes(classes, settings.essential_priority)
        self.state_machine = LevelStateMachine(
            self.priority_order.rank_count, settings.max_changes_per_hour, seed
        )
        self.signals = OverloadSignals(self.priority_order)
        self.backlog = Backlog(self.priority_order)
        inputs = AdmissionInputs(self.priority_order, self.state_machine, self.signals, self.backlog)
        self.load_shedder = LoadShedder(inputs, settings.owner_weights, seed + 1)
        self.readings: dict[str, float] = {}
        self.rejections_by_reason: dict[str, int] = {}
        self._last_clock_ms: float | None = None
        self._elapsed_ms = 0.0

    # ---- Time and level -------------------------------------------------------------------------------

    def advance_clock(self, now: float) -> float:
        """Advance the elapsed time to the clock time `now` and return it.

        Elapsed time never decreases, and one call adds at most `MAX_ELAPSED_STEP_MS`.
        """
        if self._last_clock_ms is not None:
            self._elapsed_ms += min(max(0.0, now - self._last_clock_ms), MAX_ELAPSED_STEP_MS)
        self._last_clock_ms = now
        return self._elapsed_ms

    @property
    def elapsed_ms(self) -> float:
        """The elapsed time as of the last call that passed a clock time."""
        return self._elapsed_ms

    @property
    def level(self) -> Level:
        """The current level; always `FULL` if degradation is disabled."""
        return self.state_machine.level if self.settings.enabled else Level.FULL

    @property
    def policy(self) -> LevelPolicy:
        """The restrictions of the placer's own work at the current level."""
        return LEVEL_POLICIES[self.level]

    def observe(self, now: float, observation: OverloadObservation) -> LevelChange | None:
        """Evaluate all signals and return the resulting change of level, if any.

        The placer calls this several times a second.
        """
        elapsed_ms = self.advance_clock(now)
        self.readings = self.signals.readings(elapsed_ms, observation)
        within_limits = is_process_within_limits(self.readings)
        self.load_shedder.free_task_slots = observation.free_task_slots if within_limits else 0.0
        if not self.settings.enabled:
            return None
        return self.state_machine.step(elapsed_ms, self.readings)

    def pin(self, now: float, level: Level | None, duration_ms: float = 0.0) -> LevelChange | None:
        """Fix the level for `duration_ms` on an operator's request; a `level` of None removes the pin."""
        elapsed_ms = self.advance_clock(now)
        return self.state_machine.pin(elapsed_ms, level, elapsed_ms + duration_ms)

    @property
    def active_pin(self) -> Pin | None:
        """The pin in force, if any."""
        if self.state_machine.pinned_level is None:
            return None
        remaining_ms = max(0.0, self.state_machine.pinned_until - self._elapsed_ms)
        return Pin(self.state_machine.pinned_level, remaining_ms)

    def attempt_time_ms(self, class_index: int, remaining_ms: float) -> float:
        """Return for how long to attempt a task that has `remaining_ms` until its deadline."""
        objectives = self.policy.attempt_time_objectives
        if objectives is None or self.priority_order.is_essential(class_index):
            return remaining_ms
        return min(remaining_ms, objectives * self.classes[class_index].latency_objective_ms)

    # ---- Admission and outcomes -----------------------------------------------------------------------

    def decide_admission(self, now: float, request: AdmissionRequest) -> Rejection | None:
        """Decide whether a job is admitted at the current level; None means that it is admitted."""
        elapsed_ms = self.advance_clock(now)
        if request.is_feasible and not request.is_retry:
            self.signals.on_requested(elapsed_ms, request.task_count)
        if not self.settings.enabled:
            return None
        rejection = self.load_shedder.decide(elapsed_ms, request)
        is_rejected = rejection is not None
        self.signals.on_admission_decided(elapsed_ms, request.task_count, rejected=is_rejected)
        if rejection is not None:
            reason = rejection.reason.value
            self.rejections_by_reason[reason] = self.rejections_by_reason.get(reason, 0) + 1
        return rejection

    def on_rejected_before_admission(self, now: float, task_count: int) -> None:
        """Count tasks that were requested for the first time and rejected before the admission decision."""
        self.signals.on_requested(self.advance_clock(now), task_count)

    def on_admitted(self, class_index: int, owner: str, task_count: int) -> None:
        """Add admitted tasks to the backlog; they stay in it until they are answered."""
        self.backlog.add(class_index, owner, task_count)

    def on_placed(self, now: float, task: AnsweredTask) -> None:
        """Remove a placed task from the backlog and count it in the signals."""
        self._remove_from_backlog(task.class_index, task.owner)
        within_objective = task.waited_ms <= self.classes[task.class_index].latency_objective_ms
        self.signals.on_placed(
            self.advance_clock(now), task.class_index, task.waited_share, within_objective=within_objective
        )
        self.load_shedder.on_task_started(task.waited_ms)

    def on_not_placed(self, now: float, task: AnsweredTask) -> None:
        """Remove a refused or failed task from the backlog and count it in the signals."""
        self._remove_from_backlog(task.class_index, task.owner)
        self.signals.on_not_placed(self.advance_clock(now), task.class_index, task.waited_share)

    def on_withdrawn(self, class_index: int, owner: str) -> None:
        """Remove a task that its owner withdrew from the backlog; the signals do not count it."""
        self._remove_from_backlog(class_index, owner)

    def on_offer_answered(self, now: float, class_index: int, *, rejected_as_full: bool) -> None:
        """Count a machine's answer to an offer of a task."""
        self.signals.on_offer_answered(
            self.advance_clock(now), class_index, rejected_as_full=rejected_as_full
        )

    def _remove_from_backlog(self, class_index: int, owner: str) -> None:
        self.backlog.add(class_index, owner, -1)
