"""The choice of a machine for a task: filter, then the safe set, then the preferred or least loaded machine.

It only chooses. The offer is made by `offers`, and opening its attempt reserves the capacity.
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
        """Return the machine for the task and count the offer there; None if no machine passes."""
        size = task.cores / self._context.settings.mean_cores
        rank = self._guardrails.rank_of(size)
        machine = self._choose_uncrowded(task, rank, size)
        if machine is None:
            machine = self._choose_crowded(task, rank, size)
        if machine is not None:
            self._guardrails.count_offer(machine, rank, size)
        return machine

    def candidates(self, task: Task) -> Candidates:
        """Return the ready machines that may get the task."""
        return self._filters.candidates(task, self._fleet.ready)

    def _choose_uncrowded(self, task: Task, rank: SizeRank, size: float) -> Machine | None:
        """Of the safe machines that serve the task well: one that runs the service, else a preferred one."""
        by_counter = self._guardrails.by_counter(rank)
        lowest = next(self._filters.uncrowded_in_order(task, by_counter), None)
        if lowest is None:
            return None
        limit = self._guardrails.limit(lowest, rank)
        running = {attempt.machine: None for attempt in self._attempts.of_service(task.service)}
        ready_running = [m for m in running if m is not None and m.is_ready]
        uncrowded = chain(
            self._filters.uncrowded_in_order(task, by_preference(task.service, ready_running)),
            self._filters.uncrowded_in_order(task, self._preferred.of_service(task.service)),
        )
        number = rank.number
        safe = (m for m in uncrowded if m.counters.get(number, 0.0) + size <= limit)
        return next(safe, lowest)

    def _choose_crowded(self, task: Task, rank: SizeRank, size: float) -> Machine | None:
        """No machine would serve the task well: of the safe ones the least loaded."""
        candidates = self.candidates(task)
        if not candidates.passing:
            return None
        safe = self._guardrails.safe_set(candidates.passing, rank, size)
        uncrowded = set(candidates.uncrowded)
        best = [m for m in safe if m in uncrowded] or self._least_loaded(task, safe)
        running = {attempt.machine for attempt in self._attempts.of_service(task.service)}
        best = [m for m in best if m in running] or best
        return min(best, key=lambda m: preference(task.service, m.id))

    def _least_loaded(self, task: Task, safe: list[Machine]) -> list[Machine]:
        """Return the machines with the least work left, as a share of what the machine accepts.

        This is the paper's measure (6.4: units of time), of cores or memory, whichever is nearer to its
        limit; with those that one task would even out.
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
