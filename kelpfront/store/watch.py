"""Watches: who is told of which change, with a buffer that is bounded for each.

A watch never holds up a writer. One whose reader is too slow loses its buffer and ends as `Expired`; the
reader lists anew, as the API conventions have it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from kelpfront.api.selectors import Selector
from kelpfront.store.objects import Stored


class EventType(StrEnum):
    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"


@dataclass(frozen=True, slots=True)
class Change:
    """One change of the store: `before` is None where the object is new, `after` where it is gone.

    A deletion has a revision of its own, so that watches can resume behind it.
    """

    revision: int
    before: Stored | None
    after: Stored | None

    @property
    def shown(self) -> Stored:
        """The object that the change is about, as it was last."""
        stored = self.after or self.before
        assert stored is not None
        return stored

    @property
    def key(self) -> tuple[str, str]:
        return self.shown.key

    @property
    def weight(self) -> int:
        return self.shown.weight


@dataclass(frozen=True, slots=True)
class WatchEvent:
    type: EventType
    revision: int
    stored: Stored


class Watch:
    """One reader's view of the changes of a resource.

    `wake` is called when something is there to take and nothing was before; it must not block. The reader
    then calls `take`. `expired` is set when the buffer overflowed: what `take` returns ends with a gap.
    """

    def __init__(
        self,
        namespace: str | None,
        selector: Selector,
        limit: int,
        wake: Callable[[], None],
        on_close: Callable[[Watch], None],
        first: Iterable[Change] = (),
    ) -> None:
        self.namespace, self.selector, self.name = namespace, selector, selector.name
        self.expired = False
        self.closed = False
        self._wake, self._on_close = wake, on_close
        self._buffer = deque(event for change in first if (event := self._view(change)) is not None)
        self._limit = limit + len(self._buffer)  # what it starts with is bounded by the store itself

    def __len__(self) -> int:
        return len(self._buffer)

    def take(self, most: int) -> list[WatchEvent]:
        """The next events in order, at most so many."""
        buffer = self._buffer
        return [buffer.popleft() for _ in range(min(most, len(buffer)))]

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._buffer.clear()
            self._on_close(self)

    def _offer(self, change: Change) -> None:
        if self.expired:
            return
        event = self._view(change)
        if event is None:
            return
        if len(self._buffer) >= self._limit:
            self._buffer.clear()
            self.expired = True
        else:
            self._buffer.append(event)
        if self.expired or len(self._buffer) == 1:
            self._wake()

    def _view(self, change: Change) -> WatchEvent | None:
        """The change as this watch sees it: one that leaves its selection is a deletion to it."""
        before = change.before if change.before is not None and self._selects(change.before) else None
        after = change.after if change.after is not None and self._selects(change.after) else None
        if after is not None:
            kind = EventType.MODIFIED if before is not None else EventType.ADDED
            return WatchEvent(kind, change.revision, after)
        if before is not None:
            return WatchEvent(EventType.DELETED, change.revision, before.at(change.revision))
        return None

    def _selects(self, stored: Stored) -> bool:
        if self.namespace is not None and stored.namespace != self.namespace:
            return False
        return (self.name is None or stored.name == self.name) and self.selector.matches(stored)


class Watchers:
    """The watches of one resource, found by name where they are about one object.

    Thousands of clients that each watch their own job would otherwise each look at every change.
    """

    def __init__(self) -> None:
        self._wide: dict[Watch, None] = {}
        self._named: dict[str, dict[Watch, None]] = {}

    def __len__(self) -> int:
        return len(self._wide) + sum(len(group) for group in self._named.values())

    def add(self, watch: Watch) -> None:
        group = self._wide if watch.name is None else self._named.setdefault(watch.name, {})
        group[watch] = None

    def remove(self, watch: Watch) -> None:
        if watch.name is None:
            self._wide.pop(watch, None)
            return
        group = self._named.get(watch.name, {})
        group.pop(watch, None)
        if not group:
            self._named.pop(watch.name, None)

    def publish(self, change: Change) -> None:
        for watch in list(self._wide):
            watch._offer(change)
        named = self._named.get(change.key[1])
        if named:
            for watch in list(named):
                watch._offer(change)
