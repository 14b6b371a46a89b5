"""Watches: dispatches each change to the watches that it concerns, each with a bounded buffer.

A watch never delays a writer. If it is read too slowly, its buffer is dropped and the watch expires; its
client must then list again, as in the Kubernetes API conventions. `history` provides the changes from before
a watch was opened, and the API front ends send the events to clients.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from kelpfront.api.selectors import SELECT_ALL, Selector
from kelpfront.store.history import Change
from kelpfront.store.objects import ObjectKey, StoredObject


class EventType(StrEnum):
    """The type of a watch event, as sent to clients."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One change as seen by a watch, with the object after the change (for DELETED, its last state)."""

    type: EventType
    revision: int
    stored: StoredObject


@dataclass(frozen=True, slots=True)
class ObjectScope:
    """The objects of a resource that a list or watch selects; `namespace` None means all namespaces."""

    namespace: str | None = None
    selector: Selector = SELECT_ALL

    @property
    def name(self) -> str | None:
        """The only name that can match, or None if several can."""
        return self.selector.name

    @property
    def key(self) -> ObjectKey | None:
        """The key of the only object that can match, or None if several can."""
        name = self.name
        if self.namespace is None or name is None:
            return None
        return self.namespace, name

    def includes(self, stored: StoredObject) -> bool:
        """Return whether the scope includes an object."""
        if self.namespace is not None and stored.namespace != self.namespace:
            return False
        return self.selector.matches(stored)


class Watch:
    """The buffered events of one reader of the changes of a resource.

    `wake` is called when an event is added to an empty buffer, and when the buffer overflows. It must not
    block. The reader then calls `next_events`. An overflow sets `expired`: events were lost, and no more
    follow.
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
        # Initial events do not count towards the limit, because the limits of the store already bound them.
        self._max_buffered = max_buffered + len(self._buffer)

    def __len__(self) -> int:
        return len(self._buffer)

    def next_events(self, limit: int) -> list[WatchEvent]:
        """Remove and return at most `limit` of the next events, in order."""
        buffer = self._buffer
        return [buffer.popleft() for _ in range(min(limit, len(buffer)))]

    def close(self) -> None:
        """Drop the buffer and stop receiving changes. Closing again has no effect."""
        if not self.closed:
            self.closed = True
            self._buffer.clear()
            self._on_close(self)

    def receive(self, change: Change) -> None:
        """Buffer the event for a change, if the change concerns this watch. The registry calls this."""
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
        """Return the event for a change, or None. An object that leaves the scope is reported as deleted."""
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

    Watches of a single name are indexed by it. Without the index, each change would be offered to all watches
    of thousands of clients that each watch one job.
    """

    def __init__(self) -> None:
        self._of_all_names: dict[Watch, None] = {}
        self._by_name: dict[str, dict[Watch, None]] = {}

    def __len__(self) -> int:
        return len(self._of_all_names) + sum(len(watches) for watches in self._by_name.values())

    def add(self, watch: Watch) -> None:
        """Start dispatching changes to a watch."""
        watches = self._of_all_names if watch.name is None else self._by_name.setdefault(watch.name, {})
        watches[watch] = None

    def remove(self, watch: Watch) -> None:
        """Stop dispatching changes to a watch."""
        if watch.name is None:
            self._of_all_names.pop(watch, None)
            return
        watches = self._by_name.get(watch.name, {})
        watches.pop(watch, None)
        if not watches:
            self._by_name.pop(watch.name, None)

    def dispatch(self, change: Change) -> None:
        """Pass a change to each watch that it may concern."""
        # Iterates over copies, because `wake` may close a watch.
        for watch in list(self._of_all_names):
            watch.receive(change)
        _, name = change.key
        for watch in list(self._by_name.get(name, ())):
            watch.receive(change)
