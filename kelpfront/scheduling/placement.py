"""The choice of a machine for a task: filters, then the safe set, then the preferred or least loaded machine.

It only chooses. `offers` makes the offer, and opening its attempt reserves the capacity.
"""

from __future__ import annotations

from itertools import chain

from kelpfront.scheduling.attempts import AttemptTable
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.filters import Candidates, Filters
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.guardrails import Guardrails, SizeRank
from kelpfront.scheduling.model import Machine, Task
from kelpfront.scheduling.preferences import PreferredMachines, by_preference, preference


class Placement:
    """Chooses the machine that a task is offered to."""

    def __init__(
        self,
        context: SchedulingContext,
        fleet: Fleet,
        guardrails: Guardrails,
        filters: Filters,
        attempts: AttemptTable,
    ) -> None:
        self._context = context
        self._fleet = fleet
        self._guardrails = guardrails
        self._filters = filters
        self._attempts = attempts
        self._preferred = PreferredMachines(fleet)

    def choose(self, task: Task) -> Machine | None:
        """Return the machine for the task and count the offer in its counter; None if no machine passes."""
        size = task.cores / self._context.settings.mean_cores
        rank = self._guardrails.rank_of(size)
        machine = self._choose_unsaturated(task, rank, size)
        if machine is None:
            machine = self._choose_saturated(task, rank, size)
        if machine is not None:
            self._guardrails.count_offer(machine, rank, size)
        return machine

    def candidates(self, task: Task) -> Candidates:
        """Return the ready machines that may get the task."""
        return self._filters.candidates(task, self._fleet.ready)

    def _choose_unsaturated(self, task: Task, rank: SizeRank, size: float) -> Machine | None:
        """Choose a safe machine that passes all filters: one that runs the service, else the preferred one.

        If none of them is safe with the task added, choose the machine with the lowest counter.
        """
        by_counter = self._guardrails.by_counter(rank)
        lowest = next(self._filters.unsaturated_in_order(task, by_counter), None)
        if lowest is None:
            return None
        limit = self._guardrails.limit(lowest, rank)
        running = {attempt.machine: None for attempt in self._attempts.of_service(task.service)}
        ready_running = [m for m in running if m is not None and m.is_ready]
        unsaturated = chain(
            self._filters.unsaturated_in_order(task, by_preference(task.service, ready_running)),
            self._filters.unsaturated_in_order(task, self._preferred.of_service(task.service)),
        )
        number = rank.number
        safe = (m for m in unsaturated if m.counters.get(number, 0.0) + size <= limit)
        return next(safe, lowest)

    def _choose_saturated(self, task: Task, rank: SizeRank, size: float) -> Machine | None:
        """Choose when no machine passes all filters: the least loaded of the safe machines.

        Machines with capacity by usage go first, and among equals those that run the service.
        """
        candidates = self.candidates(task)
        if not candidates.passing:
            return None
        safe = self._guardrails.safe_set(candidates.passing, rank, size)
        unsaturated = set(candidates.unsaturated)
        best = [m for m in safe if m in unsaturated] or self._least_loaded(task, safe)
        running = {attempt.machine for attempt in self._attempts.of_service(task.service)}
        best = [m for m in best if m in running] or best
        return min(best, key=lambda m: preference(task.service, m.id))

    def _least_loaded(self, task: Task, safe: list[Machine]) -> list[Machine]:
        """Return the machines with the least outstanding work, as a share of what each machine accepts.

        This is the paper's measure (section 6.4: units of time), for cores or memory, whichever is closer to
        its limit. Machines whose share differs from the lowest by no more than one task are included.
        """
        settings = self._context.settings
        shares = [
            max(
                m.requested_cores / m.cores / settings.cores_overcommit,
                m.requested_memory / m.memory / settings.memory_overcommit,
            )
            for m in safe
        ]
        limit = min(shares) + task.cores / min(m.cores for m in safe)
        return [m for m, share in zip(safe, shares, strict=True) if share <= limit]
