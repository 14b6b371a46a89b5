"""The bounded history of changes of one resource, from which watches resume.

It records up to which revision changes were compacted. `watch` converts changes to events.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Reversible
from dataclasses import dataclass

from kelpfront.store.objects import ObjectKey, StoredObject


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the store. `before` is None for a creation, `after` for a deletion.

    A deletion also gets a new revision, so that watches can resume after it.
    """

    revision: int
    before: StoredObject | None
    after: StoredObject | None

    @property
    def latest(self) -> StoredObject:
        """The object after the change, or the last state of a deleted object."""
        latest = self.after or self.before
        assert latest is not None
        return latest

    @property
    def key(self) -> ObjectKey:
        """The namespace and name of the object that changed."""
        return self.latest.key

    @property
    def weight(self) -> int:
        """How much the change counts towards the maximum weight of the history."""
        return self.latest.weight


class ChangeHistory:
    """The latest changes of one resource, in order, with a total weight of at most `max_weight`.

    The newest change is kept even if its weight alone exceeds the maximum. `compacted_revision` is the
    revision up to which changes were dropped.
    """

    def __init__(self, max_weight: int, first_revision: int) -> None:
        self.compacted_revision = first_revision
        self._max_weight = max_weight
        self._weight = 0
        self._changes: deque[Change] = deque()
        self._by_key: dict[ObjectKey, deque[Change]] = {}

    def append(self, change: Change) -> None:
        """Add the newest change, and drop the oldest ones while the total weight exceeds the maximum."""
        self._changes.append(change)
        self._by_key.setdefault(change.key, deque()).append(change)
        self._weight += change.weight
        while self._weight > self._max_weight and len(self._changes) > 1:
            self._compact_oldest()

    def _compact_oldest(self) -> None:
        oldest = self._changes.popleft()
        self._weight -= oldest.weight
        self.compacted_revision = oldest.revision
        object_changes = self._by_key[oldest.key]
        object_changes.popleft()
        if not object_changes:
            del self._by_key[oldest.key]

    def since(self, revision: int) -> list[Change]:
        """Return the changes after a revision, in order."""
        return _changes_after(self._changes, revision)

    def since_for_object(self, key: ObjectKey, revision: int) -> list[Change]:
        """Return the changes of one object after a revision, in order."""
        return _changes_after(self._by_key.get(key, ()), revision)


def _changes_after(changes: Reversible[Change], revision: int) -> list[Change]:
    # Searches from the newest change backwards, because most watches resume after a short interruption.
    newer: list[Change] = []
    for change in reversed(changes):
        if change.revision <= revision:
            break
        newer.append(change)
    newer.reverse()
    return newer
