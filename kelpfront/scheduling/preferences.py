"""Preferred machines of a service by rendezvous hashing: all placers compute the same order.

A start is cheap where the service runs, so placers that agree on the order help each other without talking.
"""

from __future__ import annotations

from collections.abc import Iterable

from kelpfront.scheduling.events import MachineId
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.model import Machine

MAX_CACHED_MACHINES = 1 << 18
"""Machines in the cached orders of all services together: some megabytes."""
_MASK_64_BITS = 0xFFFFFFFFFFFFFFFF


def preference(service: int, machine: MachineId) -> int:
    """Return a number that every placer computes alike: the lowest of a service is its first choice.

    The steps are those of the finalizer of splitmix64 (Steele, Lea, Flood).
    """
    mixed = (service ^ machine * 0x9E3779B97F4A7C15) & _MASK_64_BITS
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & _MASK_64_BITS
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _MASK_64_BITS
    return mixed ^ mixed >> 31


def by_preference(service: int, machines: Iterable[Machine]) -> list[Machine]:
    """Return the machines in the order in which the service prefers them."""
    return sorted(machines, key=lambda m: preference(service, m.id))


class PreferredMachines:
    """The ready machines in each service's order; cached, as services come again."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._cached_for = fleet.ready
        self._orders: dict[int, list[Machine]] = {}

    def of_service(self, service: int) -> list[Machine]:
        """Return the ready machines, the service's first choice first."""
        if self._cached_for is not self._fleet.ready:
            self._cached_for = self._fleet.ready
            self._orders.clear()
        order = self._orders.get(service)
        if order is None:
            order = self._orders[service] = by_preference(service, self._fleet.ready)
            if len(self._orders) * len(order) > MAX_CACHED_MACHINES:
                del self._orders[next(iter(self._orders))]
        return order
