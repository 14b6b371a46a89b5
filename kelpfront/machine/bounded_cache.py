"""A mapping of bounded size that drops its oldest entries.

A machine uses it for its bounded history: answers to offers, stops that arrived before their offer, ended
tasks and idle programs.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, TypeVar

K = TypeVar("K")
V = TypeVar("V")


class BoundedCache(Generic[K, V]):
    """Keeps the `max_entries` most recently written entries."""

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        self._entries: OrderedDict[K, V] = OrderedDict()

    def put(self, key: K, value: V) -> None:
        """Write an entry as the newest one, and drop the oldest entries beyond `max_entries`."""
        self._entries[key] = value
        self._entries.move_to_end(key)
        while len(self._entries) > self._max_entries:
            self._entries.popitem(last=False)

    def get(self, key: K) -> V | None:
        """Return the value of a key, or None if the key is absent."""
        return self._entries.get(key)

    def discard(self, key: K) -> None:
        """Remove a key if it is present."""
        self._entries.pop(key, None)

    def items(self) -> Iterator[tuple[K, V]]:
        """Iterate over all entries, oldest first."""
        return iter(self._entries.items())

    def values(self) -> Iterator[V]:
        """Iterate over all values, oldest first."""
        return iter(self._entries.values())

    def __contains__(self, key: K) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[K]:
        return iter(self._entries)
