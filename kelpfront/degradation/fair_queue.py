"""Orders admitted work: the highest rank first, then owners in fair shares, then by deadline.

The owners of a rank are served by deficit round robin (Shreedhar and Varghese, 1995): in each round an owner
releases as many entries as its weight allows, however many it has queued. One owner with a thousand entries
delays another owner's single entry by one round, not by a thousand entries. `load_shedder` decides which work
may enter the queue.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, NamedTuple, TypeVar

EntryT = TypeVar("EntryT")

MIN_WEIGHT = 0.01
"""Lower bound of an owner's weight. A smaller one would need many rounds, each of which costs a loop
iteration, until the owner may release an entry."""
ENTRY_COST = 1.0
"""The amount by which one released entry reduces its owner's deficit."""


class _QueuedEntry(NamedTuple, Generic[EntryT]):
    """A heap item. Sequence numbers are unique, so the entries themselves are never compared."""

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
    """A queue of entries ordered by rank, owner and deadline.

    It has no size limit of its own: each entry is an open task, and callers limit the number of open tasks.
    """

    def __init__(self, weight_of: Callable[[str], float] = _equal_weight) -> None:
        self._weight_of = weight_of
        self._ranks: dict[int, OrderedDict[str, _OwnerQueue[EntryT]]] = {}
        self._count = 0
        self._last_sequence_number = 0

    def __len__(self) -> int:
        return self._count

    def push(self, rank: int, owner: str, deadline: float, entry: EntryT) -> None:
        """Add an entry. Entries of one owner and rank leave by deadline, then in order of arrival."""
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
            del owners[owner]  # drops its deficit too: an owner without entries must not save up credit
            if not owners:
                del self._ranks[rank]
        elif queue.deficit < ENTRY_COST:
            owners.move_to_end(owner)
        return entry

    def _next_owner(self, owners: OrderedDict[str, _OwnerQueue[EntryT]]) -> str:
        """Continue the round until an owner's deficit covers the cost of one entry, and return that owner."""
        while True:
            owner, queue = next(iter(owners.items()))
            if queue.deficit >= ENTRY_COST:
                return owner
            queue.deficit += max(MIN_WEIGHT, self._weight_of(owner))
            if queue.deficit >= ENTRY_COST:
                return owner
            owners.move_to_end(owner)
