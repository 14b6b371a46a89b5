"""Tests of the ranks of task classes, which determine the order of load shedding."""

from __future__ import annotations

from degradation_drivers import CLASSES
from helpers import task_class

from kelpfront.degradation.priority_order import rank_classes


def test_ranks_come_from_priority_then_weight_and_not_from_names() -> None:
    order = rank_classes(CLASSES)
    assert order.rank_of_class == (0, 1, 2)
    assert order.first_essential_rank == 2
    assert order.rank_latency_objective_ms == (600.0, 600.0, 600.0), "no class waits longer than one above it"
    assert rank_classes(CLASSES, essential_priority=1).first_essential_rank == 1
    same_priority = [task_class(name=str(n), priority=0, priority_weight=float(n)) for n in range(4)]
    assert rank_classes(same_priority).first_essential_rank == 3, "the highest weight is essential"
    assert rank_classes([task_class()]).first_essential_rank == 0
    renamed = [
        task_class(name=f"x{n}", priority=original.priority, priority_weight=original.priority_weight)
        for n, original in enumerate(CLASSES)
    ]
    assert rank_classes(renamed).rank_of_class == order.rank_of_class
