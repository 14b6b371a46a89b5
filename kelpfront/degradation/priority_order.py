"""The order in which task classes are given up, derived from their settings alone.

Names of classes play no part. Which class is rejected when is up to `load_shedder`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from kelpfront.scheduling.settings import TaskClass


@dataclass(frozen=True, slots=True)
class PriorityOrder:
    """The ranks of the task classes, which are known by their index. Rank 0 is given up first."""

    rank_of_class: tuple[int, ...]
    rank_count: int
    first_essential_rank: int
    """Classes of this rank and above are essential."""
    rank_latency_objective_ms: tuple[float, ...]
    """For each rank the shortest latency objective of that rank and all above: a class of low rank must not
    wait longer than a class above it may."""

    def is_essential(self, class_index: int) -> bool:
        """Whether a class is essential."""
        return self.rank_of_class[class_index] >= self.first_essential_rank


@dataclass(frozen=True, slots=True, order=True)
class _RankKey:
    """What decides the rank of a class; classes with the same key share a rank."""

    priority: int
    priority_weight: float


def _rank_key(task_class: TaskClass) -> _RankKey:
    return _RankKey(task_class.priority, task_class.priority_weight)


def rank_classes(classes: Sequence[TaskClass], essential_priority: int | None = None) -> PriorityOrder:
    """Rank task classes by priority, then by priority weight.

    Essential are the classes of `essential_priority` and above; without it those of the highest priority, and
    where all have the same priority those with the highest weight.
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
    """Return the lowest essential rank; at least one rank is essential whatever the settings say."""
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
