"""Numbers for names: the scheduler knows machines, services and failure domains by number.

Numbers of machines and services are hashes of their names, so that replicas that share nothing compute the
same ones and agree on the preferred machines of a service. Zones and racks are numbered as they come: they
are only compared within one placer. Two hosts with one number are rejected by `Inventory`.
"""

from __future__ import annotations

from typing import NamedTuple

import xxhash

HASH_BITS = 64
MACHINE_BITS = 48
"""Bits of a machine's number."""


def machine_number(host: str) -> int:
    """Return the number of a machine. Two hosts of one inventory must not share one."""
    return xxhash.xxh3_64_intdigest(host.encode()) >> (HASH_BITS - MACHINE_BITS)


def service_number(namespace: str, service: str) -> int:
    """Return the number of a service, whose name is unique within its namespace."""
    return xxhash.xxh3_64_intdigest(f"{namespace}/{service}".encode())


class _Rack(NamedTuple):
    """The name of a rack, which is unique within its zone only."""

    zone: str
    rack: str


class FailureDomainNumbers:
    """Numbers of zones and racks, in the order in which they are first looked up."""

    def __init__(self) -> None:
        self._zones: dict[str, int] = {}
        self._racks: dict[_Rack, int] = {}

    def zone_number(self, zone: str) -> int:
        """Return the number of a zone (a room in the inventory)."""
        return self._zones.setdefault(zone, len(self._zones))

    def rack_number(self, zone: str, rack: str) -> int:
        """Return the number of a rack; racks of the same name in two zones are two racks."""
        return self._racks.setdefault(_Rack(zone, rack), len(self._racks))
