"""The filters in their order: constraints, capacity by request, ejected machines, capacity by use.

Each filter is an object with a method `select(task, machines)`; here is how they are combined. Which of the
machines that pass gets the task is decided by `placement`.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.model import Machine, Task

FIRST_BATCH_SIZE = 8
"""Machines that are filtered before more are."""


class Filter(Protocol):
    """One condition on machines."""

    def select(self, task: Task, machines: list[Machine]) -> list[Machine]:
        """Return the machines that meet the condition for the task, in their order."""


@dataclass(frozen=True, slots=True)
class Candidates:
    """Machines that may get a task.

    Attributes:
        passing: those that pass the filters.
        uncrowded: those of them that also have capacity by use.
    """

    passing: list[Machine]
    uncrowded: list[Machine]


class Filters:
    """Combines the filters, for the ordinary case and for a fleet that has little left."""

    def __init__(
        self,
        context: SchedulingContext,
        constraints: Filter,
        capacity: Filter,
        outliers: Filter,
        utilization: Filter,
    ) -> None:
        self._constraints = constraints
        self._capacity = capacity
        self._outliers = outliers
        self._utilization = utilization
        self._machines_preempt = context.settings.machines_preempt
        self._lowest_priority = min(cls.priority for cls in context.settings.classes)

    def uncrowded_in_order(self, task: Task, machines: list[Machine]) -> Iterator[Machine]:
        """Yield the machines that pass all filters, in the order given.

        They are filtered in batches that double: most often one of the first few will do, and a placer that
        filters all machines for each task falls behind with hundreds of them.
        """
        start = 0
        size = FIRST_BATCH_SIZE
        while start < len(machines):
            batch = machines[start : start + size]
            start += size
            size *= 2
            allowed = self._constraints.select(task, batch)
            healthy = self._outliers.select(task, self._capacity.select(task, allowed))
            yield from self._utilization.select(task, _not_attempted(task, healthy))

    def candidates(self, task: Task, machines: list[Machine]) -> Candidates:
        """Return the machines that may get the task where none or few pass all filters.

        Machines where the task was attempted, and ejected ones, come last. A task of the lowest priority
        waits where it would crowd others: it takes more than it gains.
        """
        is_lowest = task.task_class.priority == self._lowest_priority
        allowed = self._constraints.select(task, machines)
        with_capacity = self._capacity.select(task, allowed)
        can_preempt = self._machines_preempt and task.task_class.priority > self._lowest_priority
        if with_capacity or not can_preempt:
            allowed = with_capacity
        healthy = self._outliers.select(task, allowed)
        fresh = _not_attempted(task, healthy)
        uncrowded = self._utilization.select(task, fresh)
        if uncrowded or (is_lowest and not task.possibly_executed):
            return Candidates(uncrowded, uncrowded)
        if fresh:
            return Candidates(fresh, uncrowded)
        passing = healthy or [m for m in allowed if m.unaccepted_count == 0]
        return Candidates(passing, self._utilization.select(task, passing))


def _not_attempted(task: Task, machines: list[Machine]) -> list[Machine]:
    attempted = task.attempted_machines
    return [m for m in machines if m.id not in attempted] if attempted else machines
