"""Load balancing guardrails: size ranks, a counter for each machine and rank, and the safe set.

The mechanism is that of "Load Balancing Guardrails" (Grosof, Scully, Harchol-Balter); docs/design.md says
what differs. Which of the safe machines gets the task is decided by `placement`.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.model import Machine

MAX_RANKED_LOAD = 0.95
"""Above this load the width of a rank hardly changes, while the estimate of the load is late."""
MIN_TIGHTNESS = 4.0
"""Tasks that chance alone may put on one machine for a placer that binds one on each."""
EXCESS_EXPONENT = 0.75
"""Excesses of placers add up between chance (the root of their number) and all alike (their number)."""


class SizeRank(NamedTuple):
    """A range of task sizes that one counter covers; sizes are multiples of the mean request of cores."""

    number: int
    upper_size: float


class Guardrails:
    """Counts what each machine was offered by size rank, and keeps counters near the lowest one."""

    def __init__(self, context: SchedulingContext, fleet: Fleet) -> None:
        settings = context.settings
        self._fleet = fleet
        # The paper's g: this placer's part of the mean tasks that the smallest machine accepts.
        smallest = min(settings.kind_cores) * settings.cores_overcommit / settings.mean_cores
        self._tightness: float = max(MIN_TIGHTNESS, smallest / settings.replica_count**EXCESS_EXPONENT)

    def rank_of(self, size: float) -> SizeRank:
        """Return the rank of a size, with the paper's width; load is the requested share of cores."""
        ready_cores = self._fleet.ready_cores
        requested = sum([m.requested_cores for m in self._fleet.ready])
        load = min(MAX_RANKED_LOAD, requested / ready_cores) if ready_cores else MAX_RANKED_LOAD
        width = 1 + 1 / (1 + math.log(1 / (1 - load)))
        number = math.floor(math.log(size, width))
        return SizeRank(number, width ** (number + 1))

    def by_counter(self, rank: SizeRank) -> list[Machine]:
        """Return the ready machines, those with the lowest counter of the rank first."""
        number = rank.number
        return sorted(self._fleet.ready, key=lambda m: m.counters.get(number, 0.0))

    def limit(self, lowest: Machine, rank: SizeRank) -> float:
        """Return the highest counter that is safe, if `lowest` has the lowest one of the candidates."""
        return lowest.counters.get(rank.number, 0.0) + self._tightness * rank.upper_size

    def safe_set(self, machines: list[Machine], rank: SizeRank, size: float) -> list[Machine]:
        """Return the machines that stay within the bound with the task; those lowest now if none does."""
        counters = [m.counters.get(rank.number, 0.0) for m in machines]
        lowest = min(counters)
        limit = lowest + self._tightness * rank.upper_size
        safe = [m for m, counter in zip(machines, counters, strict=True) if counter + size <= limit]
        return safe or [m for m, counter in zip(machines, counters, strict=True) if counter == lowest]

    def count_offer(self, machine: Machine, rank: SizeRank, size: float) -> None:
        """Raise the counter by the time that the size takes there; a rejection does not lower it again."""
        raised = size * self._fleet.ready_cores / len(self._fleet.ready) / machine.cores
        machine.counters[rank.number] = machine.counters.get(rank.number, 0.0) + raised

    def reset_counters(self, machine: Machine) -> None:
        """Set each counter of an empty, new or returning machine to the lowest of its rank.

        Without this a machine that was away would draw all tasks until its counters caught up.
        """
        others = [m for m in self._fleet.ready if m is not machine]
        for rank in {rank: None for m in others for rank in m.counters}:
            machine.counters[rank] = min(m.counters.get(rank, 0.0) for m in others)
