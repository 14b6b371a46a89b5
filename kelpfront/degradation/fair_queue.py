"""The order in which admitted work is handled: highest rank first, owners in fair shares, then by deadline.

Deficit round robin (Shreedhar and Varghese, 1995) over the owners of a rank: in each round an owner releases
as many entries as its weight allows, however many it has queued. One owner with a thousand entries delays
another owner's single entry by one round, not by a thousand entries. What may enter the queue is up to
`load_shedder`.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

EntryT = TypeVar("EntryT")

MIN_WEIGHT = 0.01
"""Owners with a smaller weight count as this: each round without an entry costs the loop a turn."""
ENTRY_COST = 1.0
"""What one entry costs an owner of its deficit."""


class _QueuedEntry(NamedTuple, Generic[EntryT]):
    """An entry in heap order. Sequence numbers are unique, so that entries themselves are never compared."""

    deadline: float
    sequence_number: int
    entry: EntryT


@dataclass(slots=True)
class _OwnerQueue(Generic[EntryT]):
    """One owner's entries of one rank, as a heap by deadline."""

    heap: list[_QueuedEntry[EntryT]] = field(default_factory=list)
    deficit: float = 0.0


def _equal_weight(_owner: str) -> float:
    return 1.0


class FairQueue(Generic[EntryT]):
    """Entries by rank, owner and deadline. Whoever fills it limits its size: each entry is an open task."""

    def __init__(self, weight_of: Callable[[str], float] = _equal_weight) -> None:
        self._weight_of = weight_of
        self._ranks: dict[int, OrderedDict[str, _OwnerQueue[EntryT]]] = {}
        self._count = 0
        self._last_sequence_number = 0

    def __len__(self) -> int:
        return self._count

    def push(self, rank: int, owner: str, deadline: float, entry: EntryT) -> None:
        """Add an entry. Within an owner and rank entries leave by deadline, then in the order of arrival."""
        owners = self._ranks.setdefault(rank, OrderedDict())
        queue = owners.get(owner)
        if queue is None:
            queue = owners[owner] = _OwnerQueue()
        self._last_sequence_number += 1
        heapq.heappush(queue.heap, _QueuedEntry(deadline, self._last_sequence_number, entry))
        self._count += 1

    def pop(self) -> EntryT:
        """Remove and return the next entry.

        Raises:
            IndexError: the queue is empty.
        """
        if not self._ranks:
            raise IndexError("pop from an empty queue")
        rank = max(self._ranks)
        owners = self._ranks[rank]
        owner = self._next_owner(owners)
        queue = owners[owner]
        queue.deficit -= ENTRY_COST
        entry = heapq.heappop(queue.heap).entry
        self._count -= 1
        if not queue.heap:
            del owners[owner]  # with its deficit: an owner without entries must not save up a share
            if not owners:
                del self._ranks[rank]
        elif queue.deficit < ENTRY_COST:
            owners.move_to_end(owner)
        return entry

    def _next_owner(self, owners: OrderedDict[str, _OwnerQueue[EntryT]]) -> str:
        """Go on with the round until an owner's deficit pays for an entry."""
        while True:
            owner, queue = next(iter(owners.items()))
            if queue.deficit >= ENTRY_COST:
                return owner
            queue.deficit += max(MIN_WEIGHT, self._weight_of(owner))
            if queue.deficit >= ENTRY_COST:
                return owner
            owners.move_to_end(owner)
