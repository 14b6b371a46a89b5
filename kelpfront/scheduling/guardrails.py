"""Load balancing guardrails: size ranks, a counter for each machine and rank, and the safe set.

The mechanism is that of "Load Balancing Guardrails" (Grosof, Scully, Harchol-Balter); docs/design.md lists
the differences. `placement` decides which of the safe machines gets the task.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.model import Machine

MAX_RANKED_LOAD = 0.95
"""Upper bound of the load that sets the rank width.

Above it the width hardly changes, and the load estimate lags behind the real load.
"""
MIN_TIGHTNESS = 4.0
"""Lower bound of the tightness (the paper's g), in tasks.

A placer that binds one task per machine may put this many on a single machine by chance.
"""
EXCESS_EXPONENT = 0.75
"""Exponent of the number of placers by which their excesses on one machine add up.

It lies between 0.5, for placers that choose independently, and 1, for placers that all choose alike.
"""


class SizeRank(NamedTuple):
    """A range of task sizes that share a counter; sizes are multiples of the mean request for cores."""

    number: int
    upper_size: float


class Guardrails:
    """Counts the work offered to each machine by size rank, and bounds how far counters may diverge."""

    def __init__(self, context: SchedulingContext, fleet: Fleet) -> None:
        settings = context.settings
        self._fleet = fleet
        # The paper's g: this placer's part of the mean-sized tasks that the smallest machine accepts.
        smallest_capacity = min(settings.kind_cores) * settings.cores_overcommit / settings.mean_cores
        self._tightness: float = max(
            MIN_TIGHTNESS, smallest_capacity / settings.replica_count**EXCESS_EXPONENT
        )

    def rank_of(self, size: float) -> SizeRank:
        """Return the rank of a size, with the width from the paper; load is the requested share of cores."""
        ready_cores = self._fleet.ready_cores
        requested = sum([m.requested_cores for m in self._fleet.ready])
        load = min(MAX_RANKED_LOAD, requested / ready_cores) if ready_cores else MAX_RANKED_LOAD
        width = 1 + 1 / (1 + math.log(1 / (1 - load)))
        number = math.floor(math.log(size, width))
        return SizeRank(number, width ** (number + 1))

    def by_counter(self, rank: SizeRank) -> list[Machine]:
        """Return the ready machines, sorted by their counter of the rank, lowest first."""
        number = rank.number
        return sorted(self._fleet.ready, key=lambda m: m.counters.get(number, 0.0))

    def limit(self, lowest: Machine, rank: SizeRank) -> float:
        """Return the highest safe counter; `lowest` is the candidate with the lowest counter."""
        return lowest.counters.get(rank.number, 0.0) + self._tightness * rank.upper_size

    def safe_set(self, machines: list[Machine], rank: SizeRank, size: float) -> list[Machine]:
        """Return the machines whose counter stays within the limit with the task added.

        If there is none, return the machines with the lowest counter.
        """
        counters = [m.counters.get(rank.number, 0.0) for m in machines]
        lowest = min(counters)
        limit = lowest + self._tightness * rank.upper_size
        safe = [m for m, counter in zip(machines, counters, strict=True) if counter + size <= limit]
        return safe or [m for m, counter in zip(machines, counters, strict=True) if counter == lowest]

    def count_offer(self, machine: Machine, rank: SizeRank, size: float) -> None:
        """Raise the counter by the size, scaled to the machine's cores; a rejection does not lower it."""
        increment = size * self._fleet.ready_cores / len(self._fleet.ready) / machine.cores
        machine.counters[rank.number] = machine.counters.get(rank.number, 0.0) + increment

    def reset_counters(self, machine: Machine) -> None:
        """Set each counter of an empty, new or returning machine to the lowest counter of the rank.

        Otherwise a machine that was absent would attract all tasks until its counters caught up.
        """
        others = [m for m in self._fleet.ready if m is not machine]
        for rank in {rank: None for m in others for rank in m.counters}:
            machine.counters[rank] = min(m.counters.get(rank, 0.0) for m in others)
