"""The order of the filters: constraints, capacity by request, outlier detection, capacity by usage.

Each filter is an object with a method `select(task, machines)`; this module combines them. `placement`
decides which of the machines that pass gets the task.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.model import Machine, Task

FIRST_BATCH_SIZE = 8
"""Number of machines in the first batch that is filtered; each further batch is twice as large."""


class Filter(Protocol):
    """A condition that machines must meet for a task."""

    def select(self, task: Task, machines: list[Machine]) -> list[Machine]:
        """Return the machines that meet the condition for the task, in the order given."""


@dataclass(frozen=True, slots=True)
class Candidates:
    """Machines that may get a task.

    Attributes:
        passing: machines that pass the filters.
        unsaturated: the subset of `passing` that also has capacity by usage.
    """

    passing: list[Machine]
    unsaturated: list[Machine]


class Filters:
    """Combines the filters, for the usual case and for a fleet with little capacity left."""

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

    def unsaturated_in_order(self, task: Task, machines: list[Machine]) -> Iterator[Machine]:
        """Yield the machines that pass all filters, in the order given.

        They are filtered in batches of doubling size. Usually one of the first few machines is chosen, and a
        placer that filters all machines for each task falls behind in a fleet of hundreds.
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
        """Return the machines that may get the task when few or none pass all filters.

        Machines where the task was attempted before, and ejected ones, are used only if no others are left.
        A task of the lowest priority waits rather than overload a machine: it would cost the tasks there more
        than it gains.
        """
        is_lowest = task.task_class.priority == self._lowest_priority
        allowed = self._constraints.select(task, machines)
        with_capacity = self._capacity.select(task, allowed)
        can_preempt = self._machines_preempt and task.task_class.priority > self._lowest_priority
        if with_capacity or not can_preempt:
            allowed = with_capacity
        healthy = self._outliers.select(task, allowed)
        unattempted = _not_attempted(task, healthy)
        unsaturated = self._utilization.select(task, unattempted)
        if unsaturated or (is_lowest and not task.possibly_executed):
            return Candidates(unsaturated, unsaturated)
        if unattempted:
            return Candidates(unattempted, unsaturated)
        passing = healthy or [m for m in allowed if m.unaccepted_count == 0]
        return Candidates(passing, self._utilization.select(task, passing))


def _not_attempted(task: Task, machines: list[Machine]) -> list[Machine]:
    attempted = task.attempted_machines
    return [m for m in machines if m.id not in attempted] if attempted else machines
