"""Numbers for names: the decisions know machines, services and places by number.

Machines and services have numbers that all placers compute alike from the names, since placers that share
nothing must agree on the homes of services. Places (racks, rooms) are only compared within one placer.
"""

from __future__ import annotations

import xxhash

MACHINE_BITS = 48


def machine_number(host: str) -> int:
    """The number of a machine; two hosts of one inventory may not share one (`Inventory` checks)."""
    return xxhash.xxh3_64_intdigest(host.encode()) >> (64 - MACHINE_BITS)


def service_number(namespace: str, service: str) -> int:
    """The number of a service, which is known by its name within a namespace."""
    return xxhash.xxh3_64_intdigest(f"{namespace}/{service}".encode())


class Places:
    """Numbers for racks and rooms, in the order in which they are first seen."""

    def __init__(self) -> None:
        self._zones: dict[str, int] = {}
        self._cells: dict[tuple[str, str], int] = {}

    def zone(self, room: str) -> int:
        return self._zones.setdefault(room, len(self._zones))

    def cell(self, room: str, rack: str) -> int:
        """A rack's number; racks of the same name in two rooms are two racks."""
        return self._cells.setdefault((room, rack), len(self._cells))
