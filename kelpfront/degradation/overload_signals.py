"""Measures overload: counts events of tasks and derives signal values from the counts and observations.

`thresholds` defines which values call for which level, and `level_state_machine` applies them. `Backlog`
counts the admitted tasks that are not answered yet; `load_shedder` compares the counts with its limits.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable, Iterable
from enum import StrEnum
from typing import NamedTuple

from kelpfront.degradation import thresholds
from kelpfront.degradation.model import OverloadObservation
from kelpfront.degradation.priority_order import PriorityOrder
from kelpfront.degradation.sliding_window import SlidingWindow

PLACEMENT_RATE_WINDOW_MS = 5_000.0
"""Window of the placement rate: long enough for tens of placements at a low rate."""


class _Counter(StrEnum):
    """The keys of the sums over a sliding window."""

    TASKS_REQUESTED = "tasks requested"
    TASKS_CONSIDERED = "tasks considered for admission"
    TASKS_REJECTED = "tasks rejected"
    TASKS_PLACED = "tasks placed"
    TASKS_ANSWERED = "tasks answered"
    WAITED_SHARES = "waited shares of deadlines"
    ESSENTIAL_ANSWERED = "essential tasks answered"
    ESSENTIAL_LATE = "essential tasks that started late"
    OFFERS_ANSWERED = "offers answered"
    OFFERS_REJECTED_AS_FULL = "offers rejected as full"


class _ClassCounter(NamedTuple):
    """The key of a sum for one task class."""

    counter: _Counter
    class_index: int


class OverloadSignals:
    """Measures the overload signals of one placer. Times are elapsed milliseconds, which never decrease."""

    def __init__(self, priority_order: PriorityOrder) -> None:
        self._priority_order = priority_order
        self._window = SlidingWindow(thresholds.SIGNAL_WINDOW_MS)
        self._placements = SlidingWindow(PLACEMENT_RATE_WINDOW_MS)

    # ---- Events ---------------------------------------------------------------------------------------

    def on_requested(self, now: float, task_count: int) -> None:
        """Count tasks requested for the first time, whether or not they are admitted."""
        self._window.add(now, _Counter.TASKS_REQUESTED, task_count)

    def on_admission_decided(self, now: float, task_count: int, *, rejected: bool) -> None:
        """Count the tasks of an admission decision, for first requests and retries alike."""
        self._window.add(now, _Counter.TASKS_CONSIDERED, task_count)
        if rejected:
            self._window.add(now, _Counter.TASKS_REJECTED, task_count)

    def on_placed(self, now: float, class_index: int, waited_share: float, *, within_objective: bool) -> None:
        """Count a placed task; `waited_share` is its waiting time as a share of its deadline."""
        self._placements.add(now, _Counter.TASKS_PLACED)
        self._placements.add(now, _ClassCounter(_Counter.TASKS_PLACED, class_index))
        self._window.add(now, _Counter.TASKS_PLACED)
        self._on_answered(now, class_index, waited_share, within_objective=within_objective)

    def on_not_placed(self, now: float, class_index: int, waited_share: float) -> None:
        """Count an admitted task that was refused or failed."""
        self._on_answered(now, class_index, waited_share, within_objective=False)

    def _on_answered(
        self, now: float, class_index: int, waited_share: float, *, within_objective: bool
    ) -> None:
        self._window.add(now, _Counter.TASKS_ANSWERED)
        self._window.add(now, _Counter.WAITED_SHARES, min(1.0, max(0.0, waited_share)))
        if self._priority_order.is_essential(class_index):
            self._window.add(now, _Counter.ESSENTIAL_ANSWERED)
            self._window.add(now, _Counter.ESSENTIAL_LATE, 0 if within_objective else 1)

    def on_offer_answered(self, now: float, class_index: int, *, rejected_as_full: bool) -> None:
        """Count a machine's answer to an offer of a task."""
        self._window.add(now, _ClassCounter(_Counter.OFFERS_ANSWERED, class_index))
        if rejected_as_full:
            self._window.add(now, _ClassCounter(_Counter.OFFERS_REJECTED_AS_FULL, class_index))

    # ---- Measurements ---------------------------------------------------------------------------------

    def placement_rate(self, now: float) -> float:
        """Return the number of tasks placed per second."""
        self._placements.advance(now)
        return self._placements.rate_per_s(_Counter.TASKS_PLACED)

    def class_placement_rate(self, now: float, class_index: int) -> float:
        """Return the number of tasks of a class placed per second."""
        self._placements.advance(now)
        return self._placements.rate_per_s(_ClassCounter(_Counter.TASKS_PLACED, class_index))

    def rejected_offer_share(self, class_index: int) -> float:
        """Return the share of a class's offers that machines rejected as full, or 0 if there were too few."""
        return self._share(
            _ClassCounter(_Counter.OFFERS_REJECTED_AS_FULL, class_index),
            _ClassCounter(_Counter.OFFERS_ANSWERED, class_index),
        )

    def readings(self, now: float, observation: OverloadObservation) -> dict[str, float]:
        """Return the current values of all signals by their names."""
        self._window.advance(now)
        return {
            **_capacity_readings(observation),
            thresholds.STATUS_AGE: observation.median_status_age_ms,
            **self._task_readings(),
            thresholds.TIMER_LAG: observation.timer_lag_ms,
            thresholds.DECISION_TIME: observation.decision_time_share,
            thresholds.OPEN_TASKS: observation.open_task_share,
            thresholds.MEMORY: observation.memory_share,
        }

    def _task_readings(self) -> dict[str, float]:
        classes = range(len(self._priority_order.rank_of_class))
        return {
            thresholds.UNSERVED_TASKS: self._unserved_share(),
            thresholds.REJECTED_TASKS: self._share(_Counter.TASKS_REJECTED, _Counter.TASKS_CONSIDERED),
            thresholds.LATE_ESSENTIAL_TASKS: self._share(
                _Counter.ESSENTIAL_LATE, _Counter.ESSENTIAL_ANSWERED
            ),
            thresholds.REJECTED_OFFERS: max(
                (self.rejected_offer_share(class_index) for class_index in classes), default=0.0
            ),
            thresholds.WAITED_SHARE: self._share(_Counter.WAITED_SHARES, _Counter.TASKS_ANSWERED),
        }

    def _unserved_share(self) -> float:
        requested = self._window.sum(_Counter.TASKS_REQUESTED)
        placed = self._window.sum(_Counter.TASKS_PLACED)
        if requested < thresholds.MIN_SAMPLE_COUNT:
            return 0.0
        return max(0.0, 1.0 - placed / requested)  # tasks may have been requested before the window

    def _share(self, part: Hashable, total: Hashable) -> float:
        total_count = self._window.sum(total)
        if total_count < thresholds.MIN_SAMPLE_COUNT:
            return 0.0
        return self._window.sum(part) / total_count


def _capacity_readings(observation: OverloadObservation) -> dict[str, float]:
    zones = observation.zones.values()
    total_cores = sum(zone.total_cores for zone in zones)
    ready_cores = sum(zone.ready_cores for zone in zones)
    unresponsive_cores = sum(zone.unresponsive_cores for zone in zones)
    lost_shares = (1.0 - zone.ready_cores / zone.total_cores for zone in zones if zone.total_cores)
    return {
        thresholds.CORES_LOST: 1.0 - ready_cores / total_cores if total_cores else 0.0,
        thresholds.ZONE_CORES_LOST: max(lost_shares, default=0.0),
        thresholds.UNRESPONSIVE_CORES: unresponsive_cores / ready_cores if ready_cores else 0.0,
    }


class _OwnerClass(NamedTuple):
    """The key of an owner's tasks of one class."""

    owner: str
    class_index: int


class Backlog:
    """Counts admitted tasks without an answer by class and owner. The limit of open tasks bounds its size."""

    def __init__(self, priority_order: PriorityOrder) -> None:
        self._priority_order = priority_order
        self._count_by_class = [0] * len(priority_order.rank_of_class)
        self._count_by_owner: Counter[_OwnerClass] = Counter()

    def add(self, class_index: int, owner: str, task_count: int) -> None:
        """Add admitted tasks; a negative count removes answered ones."""
        key = _OwnerClass(owner, class_index)
        self._count_by_class[class_index] += task_count
        self._count_by_owner[key] += task_count
        if not self._count_by_owner[key]:
            del self._count_by_owner[key]

    def count_of_class(self, class_index: int) -> int:
        """Return the number of tasks of a class."""
        return self._count_by_class[class_index]

    def count_of_owner(self, owner: str, classes: Iterable[int]) -> int:
        """Return the number of an owner's tasks of some classes."""
        return sum(self._count_by_owner.get(_OwnerClass(owner, class_index), 0) for class_index in classes)

    def count_of_classes(self, classes: Iterable[int]) -> int:
        """Return the number of tasks of some classes."""
        return sum(self._count_by_class[class_index] for class_index in classes)

    def count_ahead_of(self, class_index: int, excluded_classes: frozenset[int] = frozenset()) -> int:
        """Return the number of tasks whose rank is at least that of a new task of a class.

        Tasks of excluded classes are not counted, except those of the class itself.
        """
        rank_of_class = self._priority_order.rank_of_class
        rank = rank_of_class[class_index]
        total = 0
        for other_class, task_count in enumerate(self._count_by_class):
            is_counted = other_class == class_index or other_class not in excluded_classes
            if is_counted and rank_of_class[other_class] >= rank:
                total += task_count
        return total
