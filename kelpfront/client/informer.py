"""What a client knows of a resource from lists and watch events, whatever was cut in between. No I/O.

An `Informer` says what to do next (list, or watch from a revision) and turns lines into events. After a cut
it resumes behind the last event. Where the server no longer has that history, the client lists again and the
informer derives what changed meanwhile: its user sees each object's changes without a gap or repetition.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal, NamedTuple

from kelpfront.api.errors import ApiError, Cause
from kelpfront.api.meta import Object

EventKind = Literal["ADDED", "MODIFIED", "DELETED"]


@dataclass(frozen=True, slots=True)
class Event:
    """A change of one object; `object` is its state after the change, or its last one."""

    kind: EventKind
    object: Object


class ObjectList(NamedTuple):
    """All objects of a list, and the revision that they together show."""

    items: list[Object]
    revision: str


class Informer:
    """The state of one list. `revision` is None until the first list; a watch starts after it."""

    def __init__(self) -> None:
        self.revision: str | None = None
        self._known: dict[tuple[str, str], Object] = {}

    @property
    def known(self) -> dict[tuple[str, str], Object]:
        """Objects by namespace and name, as last observed; not to be changed."""
        return self._known

    def apply_list(self, items: list[Object], revision: str) -> list[Event]:
        """Return the events that lead from what was known to a complete list."""
        new = {key_of(item): item for item in items}
        events = [Event("DELETED", old) for key, old in self._known.items() if not _same(new.get(key), old)]
        for key, item in new.items():
            old = self._known.get(key)
            if old is None or not _same(item, old):
                events.append(Event("ADDED", item))
            elif revision_of(item) != revision_of(old):
                events.append(Event("MODIFIED", item))
        self._known = new
        self.revision = revision
        return events

    def apply_line(self, data: Any) -> Event | None:
        """Return the event of one line of a watch, or None for a bookmark.

        Raises ApiError where the server ends the watch with an error; 410 means that it must list again.
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
            self._known.pop(key, None)
        else:
            self._known[key] = obj
        return Event(kind, obj)


def key_of(obj: Object) -> tuple[str, str]:
    """Return an object's namespace, empty if it has none, and name."""
    metadata = obj["metadata"]
    return metadata.get("namespace", ""), metadata["name"]


def revision_of(obj: Object) -> str:
    """Return an object's resource version."""
    revision: str = obj["metadata"]["resourceVersion"]
    return revision


def status_error(status: Any) -> ApiError:
    """Return the error that a `Status` object describes."""
    if not isinstance(status, dict):
        return ApiError(500, "the server's error is not a Status")
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


def _same(new: Object | None, old: Object) -> bool:
    """Return whether it is the same object: one that was deleted and created again has another uid."""
    return new is not None and new["metadata"].get("uid") == old["metadata"].get("uid")
