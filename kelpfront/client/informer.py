"""What a client knows of a resource from lists and watch events, whatever was cut in between. No I/O.

An `Informer` says what to do next (list, or watch from a revision) and turns lines into events. After a cut
it resumes behind the last event; where the server no longer has that history it lists anew and works out what
changed meanwhile, so that its user sees each object's way without a gap and nothing twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal

from kelpfront.api.errors import ApiError, Cause
from kelpfront.api.meta import Object

EventKind = Literal["ADDED", "MODIFIED", "DELETED"]


@dataclass(frozen=True, slots=True)
class Event:
    """A change of one object; `object` is as it is after it, or was last."""

    kind: EventKind
    object: Object


class Informer:
    """Of one list. `revision` is None until the first list; then a watch may start behind it."""

    def __init__(self) -> None:
        self.revision: str | None = None
        self._known: dict[tuple[str, str], Object] = {}

    @property
    def known(self) -> dict[tuple[str, str], Object]:
        """Objects by namespace and name, as last seen; not to be changed."""
        return self._known

    def listed(self, items: list[Object], revision: str) -> list[Event]:
        """A whole list: the events that lead from what was known to it."""
        new = {key_of(item): item for item in items}
        events = [Event("DELETED", old) for key, old in self._known.items() if not _same(new.get(key), old)]
        for key, item in new.items():
            old = self._known.get(key)
            if old is None or not _same(item, old):
                events.append(Event("ADDED", item))
            elif revision_of(item) != revision_of(old):
                events.append(Event("MODIFIED", item))
        self._known, self.revision = new, revision
        return events

    def line(self, data: Any) -> Event | None:
        """One line of a watch. ApiError where the server ends it with an error; 410 means to list anew."""
        kind, obj = data["type"], data["object"]
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
    metadata = obj["metadata"]
    return metadata.get("namespace", ""), metadata["name"]


def revision_of(obj: Object) -> str:
    revision: str = obj["metadata"]["resourceVersion"]
    return revision


def status_error(status: Any) -> ApiError:
    """A `Status` object as the error that it tells of."""
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
    """Whether it is still the same object: one that was deleted and made anew has another uid."""
    return new is not None and new["metadata"].get("uid") == old["metadata"].get("uid")
