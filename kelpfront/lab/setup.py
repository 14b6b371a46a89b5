"""Settings, inventories and free ports for clusters on one host."""

from __future__ import annotations

import csv
from collections.abc import Sequence
from pathlib import Path

from kelpfront.inventory import Host, Inventory

# The classes of clusters on which protocols and loads are measured: one of each effect.
THREE_CLASSES = """
[limits]
open_tasks = 20000
[log]
level = error
[kind small]
cores = 24
memory = 48
[class web]
effect = safe
aim = 1 s
deadline = 10 s
[class ingest]
effect = keyed
group = room
window = 8 s
aim = 1 s
deadline = 10 s
priority = 1
[class blend]
effect = unsafe
aim = 1 s
deadline = 10 s
priority = 1
"""


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
