"""Preferred machines of a service by rendezvous hashing: all placers compute the same order.

Tasks start cheaply on machines that run the service already, so placers with the same order benefit from each
other's choices without communication.
"""

from __future__ import annotations

from collections.abc import Iterable

from kelpfront.scheduling.events import MachineId
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.model import Machine

MAX_CACHED_MACHINES = 1 << 18
"""Maximum total length of the cached orders of all services; a cache of this size takes some megabytes."""
_MASK_64_BITS = 0xFFFFFFFFFFFFFFFF


def preference(service: int, machine: MachineId) -> int:
    """Return the rendezvous hash of a service and a machine; the lowest one is the service's first choice.

    All placers compute the same value, with the finalizer of splitmix64 (Steele, Lea, Flood).
    """
    mixed = (service ^ machine * 0x9E3779B97F4A7C15) & _MASK_64_BITS
    mixed = (mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9 & _MASK_64_BITS
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _MASK_64_BITS
    return mixed ^ mixed >> 31


def by_preference(service: int, machines: Iterable[Machine]) -> list[Machine]:
    """Return the machines in the service's order of preference."""
    return sorted(machines, key=lambda m: preference(service, m.id))


class PreferredMachines:
    """The ready machines in each service's order of preference, cached because services recur."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._cached_ready = fleet.ready
        self._orders: dict[int, list[Machine]] = {}

    def of_service(self, service: int) -> list[Machine]:
        """Return the ready machines in the service's order of preference."""
        if self._cached_ready is not self._fleet.ready:
            self._cached_ready = self._fleet.ready
            self._orders.clear()
        order = self._orders.get(service)
        if order is None:
            order = self._orders[service] = by_preference(service, self._fleet.ready)
            if len(self._orders) * len(order) > MAX_CACHED_MACHINES:
                del self._orders[next(iter(self._orders))]
        return order
