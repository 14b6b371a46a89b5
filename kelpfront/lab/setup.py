"""Settings, inventories and free ports for clusters on one host."""

from __future__ import annotations

import csv
from collections.abc import Sequence
from pathlib import Path

from kelpfront.inventory import Host, Inventory


def write_csv(path: Path, inventory: Inventory) -> None:
    """An inventory as CSV, put in place whole: a placer that reads meanwhile sees the old or the new."""
    part = path.with_suffix(".part")
    with part.open("w", encoding="utf-8", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        writer.writerow(["host", "kind", "rack", "room", "address"])
        for host in inventory.hosts.values():
            writer.writerow([host.name, host.kind, host.rack, host.room, host.address])
    part.replace(path)


def make_hosts(count: int, rooms: Sequence[str], kinds: Sequence[tuple[str, float, float]]) -> list[Host]:
    """Hosts over rooms and racks of six, every third of the second kind. Addresses come later."""
    hosts = []
    for number in range(count):
        room = rooms[number % len(rooms)]
        rack = f"rack-{room}-{number // len(rooms) // 6}"
        kind, cores, memory = kinds[1] if len(kinds) > 1 and number % 3 == 2 else kinds[0]
        hosts.append(Host(f"n{number:03}", kind, rack, room, cores, memory, ""))
    return hosts
