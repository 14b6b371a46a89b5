"""The order in which task classes lose service under overload, derived from their settings.

The order does not depend on the names of classes. `load_shedder` decides when tasks of a class are rejected.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from kelpfront.scheduling.settings import TaskClass


@dataclass(frozen=True, slots=True)
class PriorityOrder:
    """The ranks of the task classes, by class index. Rank 0 loses service first."""

    rank_of_class: tuple[int, ...]
    rank_count: int
    first_essential_rank: int
    """Classes of this rank and above are essential."""
    rank_latency_objective_ms: tuple[float, ...]
    """For each rank the shortest latency objective of that rank and all above, so that a class of low rank is
    never allowed a longer wait than a class above it."""

    def is_essential(self, class_index: int) -> bool:
        """Whether a class is essential."""
        return self.rank_of_class[class_index] >= self.first_essential_rank


@dataclass(frozen=True, slots=True, order=True)
class _RankKey:
    """The settings that determine the rank of a class. Classes with equal keys share a rank."""

    priority: int
    priority_weight: float


def _rank_key(task_class: TaskClass) -> _RankKey:
    return _RankKey(task_class.priority, task_class.priority_weight)


def rank_classes(classes: Sequence[TaskClass], essential_priority: int | None = None) -> PriorityOrder:
    """Rank task classes by priority, then by priority weight.

    The classes of `essential_priority` and above are essential. If it is None, those of the highest priority
    are; if all classes have the same priority, those with the highest weight are.
    """
    keys = sorted({_rank_key(task_class) for task_class in classes})
    rank_of_key = {key: rank for rank, key in enumerate(keys)}
    rank_of_class = tuple(rank_of_key[_rank_key(task_class)] for task_class in classes)
    objectives_ms = tuple(
        min(
            task_class.latency_objective_ms
            for task_class, class_rank in zip(classes, rank_of_class, strict=True)
            if class_rank >= rank
        )
        for rank in range(len(keys))
    )
    return PriorityOrder(
        rank_of_class, len(keys), _first_essential_rank(keys, essential_priority), objectives_ms
    )


def _first_essential_rank(keys: Sequence[_RankKey], essential_priority: int | None) -> int:
    """Return the lowest essential rank. Whatever the settings, at least the highest rank is essential."""
    highest_rank = len(keys) - 1
    highest_priority = keys[-1].priority
    if essential_priority is None:
        all_same_priority = keys[0].priority == highest_priority
        if all_same_priority:
            return highest_rank
        essential_priority = highest_priority
    for rank, key in enumerate(keys):
        if key.priority >= essential_priority:
            return rank
    return highest_rank
