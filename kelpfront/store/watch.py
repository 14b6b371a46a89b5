"""Watches: which change goes to which watch, through a bounded buffer for each.

A watch never delays a writer. One that is read too slowly loses its buffer and expires, and its client lists
again, as the public API conventions say. Changes before a watch began come from `history`; sending events to
clients is left to the fronts.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from kelpfront.api.selectors import EVERYTHING, Selector
from kelpfront.store.history import Change
from kelpfront.store.objects import ObjectKey, StoredObject


class EventType(StrEnum):
    """What happened to an object, in the words that clients read."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change as a watch sees it, with the object after it (for DELETED: its last state)."""

    type: EventType
    revision: int
    stored: StoredObject


@dataclass(frozen=True, slots=True)
class ObjectScope:
    """Which objects of a resource a list or watch is about; `namespace` None means all namespaces."""

    namespace: str | None = None
    selector: Selector = EVERYTHING

    @property
    def name(self) -> str | None:
        """The only name that can match, if there is one."""
        return self.selector.name

    @property
    def key(self) -> ObjectKey | None:
        """The only object that can match, if there is one."""
        name = self.name
        if self.namespace is None or name is None:
            return None
        return self.namespace, name

    def includes(self, stored: StoredObject) -> bool:
        """Return whether an object is in the scope."""
        if self.namespace is not None and stored.namespace != self.namespace:
            return False
        return self.selector.matches(stored)


class Watch:
    """One reader's view of the changes of a resource.

    `wake` is called when the buffer stops being empty, and when it overflows. It must not block. The reader
    then calls `next_events`. `expired` is set by an overflow: events were lost, and none will follow.
    """

    def __init__(
        self,
        scope: ObjectScope,
        max_buffered: int,
        wake: Callable[[], None],
        on_close: Callable[[Watch], None],
        initial: Iterable[Change] = (),
    ) -> None:
        self.scope = scope
        self.name = scope.name
        self.expired = False
        self.closed = False
        self._wake = wake
        self._on_close = on_close
        events = (self._event_for(change) for change in initial)
        self._buffer = deque(event for event in events if event is not None)
        # The initial events do not count, because the bounds of the store and its history limit them.
        self._max_buffered = max_buffered + len(self._buffer)

    def __len__(self) -> int:
        return len(self._buffer)

    def next_events(self, limit: int) -> list[WatchEvent]:
        """Remove and return the next events in order, at most `limit`."""
        buffer = self._buffer
        return [buffer.popleft() for _ in range(min(limit, len(buffer)))]

    def close(self) -> None:
        """Drop the buffer and receive no more changes. Closing again does nothing."""
        if not self.closed:
            self.closed = True
            self._buffer.clear()
            self._on_close(self)

    def receive(self, change: Change) -> None:
        """Buffer a change if it concerns this watch. Called by the registry for each change."""
        if self.expired:
            return
        event = self._event_for(change)
        if event is None:
            return
        if len(self._buffer) >= self._max_buffered:
            self._buffer.clear()
            self.expired = True
        else:
            self._buffer.append(event)
        if self.expired or len(self._buffer) == 1:
            self._wake()

    def _event_for(self, change: Change) -> WatchEvent | None:
        """Return the change as this watch sees it: an object that leaves its scope is deleted to it."""
        was_included = change.before is not None and self.scope.includes(change.before)
        if change.after is not None and self.scope.includes(change.after):
            event_type = EventType.MODIFIED if was_included else EventType.ADDED
            return WatchEvent(event_type, change.revision, change.after)
        if change.before is not None and was_included:
            last_state = change.before.with_revision(change.revision)
            return WatchEvent(EventType.DELETED, change.revision, last_state)
        return None


class WatchRegistry:
    """The open watches of one resource.

    Watches of a single object are found by its name. Otherwise each change would be offered to all of
    thousands of clients that each watch their own job.
    """

    def __init__(self) -> None:
        self._of_many: dict[Watch, None] = {}
        self._by_name: dict[str, dict[Watch, None]] = {}

    def __len__(self) -> int:
        return len(self._of_many) + sum(len(group) for group in self._by_name.values())

    def add(self, watch: Watch) -> None:
        """Let a watch receive changes from now on."""
        group = self._of_many if watch.name is None else self._by_name.setdefault(watch.name, {})
        group[watch] = None

    def remove(self, watch: Watch) -> None:
        """Let a watch receive no more changes."""
        if watch.name is None:
            self._of_many.pop(watch, None)
            return
        group = self._by_name.get(watch.name, {})
        group.pop(watch, None)
        if not group:
            self._by_name.pop(watch.name, None)

    def dispatch(self, change: Change) -> None:
        """Offer a change to each watch that it may concern."""
        # Copies, because a watch may be closed by what its `wake` calls.
        for watch in list(self._of_many):
            watch.receive(change)
        _, name = change.key
        for watch in list(self._by_name.get(name, ())):
            watch.receive(change)
