"""A client's local copy of a resource, kept current across interrupted watches. No I/O.

An `Informer` tracks whether to list next or to watch from a revision, and converts watch lines to events. An
interrupted watch resumes after the last event. If the server no longer keeps the history since then, the
client lists again and the informer derives the changes in between, so that no change is reported twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal, NamedTuple

from kelpfront.api.errors import ApiError, Cause
from kelpfront.api.meta import Object

EventKind = Literal["ADDED", "MODIFIED", "DELETED"]


@dataclass(frozen=True, slots=True)
class Event:
    """A change of one object. `object` is its state after the change; for DELETED, its last state."""

    kind: EventKind
    object: Object


class ObjectList(NamedTuple):
    """All objects of a list, and the revision at which they were listed."""

    items: list[Object]
    revision: str


class Informer:
    """The local copy of one list. Watches start after `revision`, which is None if a list is needed first."""

    def __init__(self) -> None:
        self.revision: str | None = None
        self._objects: dict[tuple[str, str], Object] = {}

    @property
    def objects(self) -> dict[tuple[str, str], Object]:
        """The last observed objects by namespace and name. Callers must not modify the map."""
        return self._objects

    def apply_list(self, items: list[Object], revision: str) -> list[Event]:
        """Replace the objects by a complete list; return the events for the differences."""
        new = {key_of(item): item for item in items}
        events = [
            Event("DELETED", old)
            for key, old in self._objects.items()
            if not _is_same_object(new.get(key), old)
        ]
        for key, item in new.items():
            old = self._objects.get(key)
            if old is None or not _is_same_object(item, old):
                events.append(Event("ADDED", item))
            elif revision_of(item) != revision_of(old):
                events.append(Event("MODIFIED", item))
        self._objects = new
        self.revision = revision
        return events

    def apply_line(self, data: Any) -> Event | None:
        """Apply one line of a watch and return its event, or None for a bookmark.

        Raises ApiError if the line is an error of the server; after error 410 the client must list again.
        """
        kind = data["type"]
        obj = data["object"]
        if kind == "ERROR":
            error = status_error(obj)
            if error.code == 410:
                self.revision = None
            raise error
        self.revision = revision_of(obj)
        if kind == "BOOKMARK":
            return None
        key = key_of(obj)
        if kind == "DELETED":
            self._objects.pop(key, None)
        else:
            self._objects[key] = obj
        return Event(kind, obj)


def key_of(obj: Object) -> tuple[str, str]:
    """Return the namespace of an object, empty if it has none, and its name."""
    metadata = obj["metadata"]
    return metadata.get("namespace", ""), metadata["name"]


def revision_of(obj: Object) -> str:
    """Return the resource version of an object."""
    revision: str = obj["metadata"]["resourceVersion"]
    return revision


def status_error(status: Any) -> ApiError:
    """Convert a `Status` object to an ApiError."""
    if not isinstance(status, dict):
        return ApiError(500, "the server's error response is not a Status object")
    details = status.get("details") or {}
    return ApiError(
        int(status.get("code") or 500),
        str(status.get("message") or ""),
        reason=status.get("reason"),
        name=str(details.get("name") or ""),
        causes=tuple(
            Cause(str(cause.get("field")), str(cause.get("message")), str(cause.get("reason")))
            for cause in details.get("causes") or ()
            if isinstance(cause, dict)
        ),
        retry_after_s=int(details.get("retryAfterSeconds") or 0),
        continue_token=str((status.get("metadata") or {}).get("continue") or ""),
    )


def _is_same_object(new: Object | None, old: Object) -> bool:
    """Return whether both are the same object; one that was deleted and recreated has a different uid."""
    return new is not None and new["metadata"].get("uid") == old["metadata"].get("uid")
