"""Messages and bytes by placer, direction and operation. Pure."""

from __future__ import annotations

from typing import Any

IN, OUT = "in", "out"  # of the side that counts


class Traffic:
    """What one stand-in has heard from and told each placer since it began."""

    def __init__(self) -> None:
        self._counts: dict[int, dict[str, list[int]]] = {}

    def add(self, placer: int, way: str, op: str, size: int, messages: int = 1) -> None:
        of_one = self._counts.setdefault(placer, {})
        count = of_one.setdefault(f"{way} {op}", [0, 0])
        count[0] += messages
        count[1] += size

    def json(self) -> dict[str, Any]:
        """By placer and `in offer`: messages and bytes."""
        return {str(placer): counts for placer, counts in self._counts.items()}


Counts = dict[str, dict[str, list[int]]]


def difference(after: Counts, before: Counts) -> Counts:
    """What was counted between two looks."""
    found: Counts = {}
    for placer, counts in after.items():
        old = before.get(placer, {})
        found[placer] = {
            name: [now - was for now, was in zip(count, old.get(name, [0, 0]), strict=True)]
            for name, count in counts.items()
        }
    return found


def added(all_of: list[Counts]) -> Counts:
    """What several have counted, together."""
    total: Counts = {}
    for one in all_of:
        for placer, counts in one.items():
            of_one = total.setdefault(placer, {})
            for name, (messages, size) in counts.items():
                count = of_one.setdefault(name, [0, 0])
                count[0] += messages
                count[1] += size
    return total


def sums(counts: dict[str, list[int]], way: str) -> tuple[int, int]:
    """Messages and bytes of one direction."""
    chosen = [count for name, count in counts.items() if name.startswith(way + " ")]
    return sum(count[0] for count in chosen), sum(count[1] for count in chosen)
