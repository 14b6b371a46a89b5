"""Maps names to the numbers by which the scheduler identifies machines, services and failure domains.

Numbers of machines and services are hashes of their names. Placers that share no state thus compute the same
numbers and agree on the preferred machines of a service. Zones and racks are numbered in the order of their
first lookup, since they are only compared within one placer. `Inventory` rejects two hosts whose numbers
collide.
"""

from __future__ import annotations

from typing import NamedTuple

import xxhash

HASH_BITS = 64
MACHINE_BITS = 48
"""Width of a machine number in bits."""


def machine_number(host: str) -> int:
    """Return the number of a machine. It must be unique within an inventory."""
    return xxhash.xxh3_64_intdigest(host.encode()) >> (HASH_BITS - MACHINE_BITS)


def service_number(namespace: str, service: str) -> int:
    """Return the number of a service. The name of a service is unique within its namespace only."""
    return xxhash.xxh3_64_intdigest(f"{namespace}/{service}".encode())


class _Rack(NamedTuple):
    """The name of a rack, which is unique within its zone only."""

    zone: str
    rack: str


class FailureDomainNumbers:
    """Numbers zones and racks in the order in which they are first looked up."""

    def __init__(self) -> None:
        self._zones: dict[str, int] = {}
        self._racks: dict[_Rack, int] = {}

    def zone_number(self, zone: str) -> int:
        """Return the number of a zone, which the inventory calls a room."""
        return self._zones.setdefault(zone, len(self._zones))

    def rack_number(self, zone: str, rack: str) -> int:
        """Return the number of a rack; racks of the same name in different zones are different racks."""
        return self._racks.setdefault(_Rack(zone, rack), len(self._racks))
