"""Objects of the API with revisions, bounded history, consistent lists and watches. No I/O.

A revision is one number for the whole store and grows with each change. It starts from a number that the
caller gives, which must be above all that an earlier store of the same address gave out: then a client that
resumes with an old revision is told that it is gone, and never shown a history that it did not see.
"""

from __future__ import annotations

import base64
import json
from bisect import bisect_right
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator, Reversible
from dataclasses import dataclass, field

from kelpfront.api.errors import ApiError, already_exists, conflict, expired, not_found
from kelpfront.api.meta import RESOURCES, Object, Resource
from kelpfront.api.selectors import EVERYTHING, Selector
from kelpfront.store.objects import Key, Stored
from kelpfront.store.watch import Change, Watch, Watchers


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What the store may hold; each is a bound on memory."""

    objects: int = 200_000  # of all resources
    history: int = 50_000  # of one resource, in units of weight: an object weighs 1 and 1 a task
    watches: int = 10_000
    watch_buffer: int = 2_000  # events that a watch may be behind
    open_lists: int = 64  # lists of which a client has read a part
    page: int = 5_000  # objects of one answer


@dataclass(frozen=True, slots=True)
class Page:
    """A part of a list, as it was at `revision`."""

    items: list[Stored]
    revision: int
    continue_token: str
    remaining: int


@dataclass(slots=True)
class _Table:
    """The objects of one resource and the changes that led to them."""

    objects: dict[Key, Stored] = field(default_factory=dict)
    history: deque[Change] = field(default_factory=deque)
    history_weight: int = 0
    history_of: dict[Key, deque[Change]] = field(default_factory=dict)  # the same changes by object
    compacted: int = 0  # changes up to this revision are no longer in the history
    watchers: Watchers = field(default_factory=Watchers)


class ResourceStore:
    """All objects of one placer. Every method is immediate; ApiError where the API would answer with one."""

    def __init__(self, first_revision: int, limits: StoreLimits | None = None) -> None:
        self.limits = limits or StoreLimits()
        self.revision = first_revision
        self._tables = {plural: _Table(compacted=first_revision) for plural in RESOURCES}
        self._open_lists: OrderedDict[str, tuple[int, list[Stored]]] = OrderedDict()
        self._list_number = 0

    # ---- Objects --------------------------------------------------------------------------------------

    def find(self, resource: Resource, key: Key) -> Stored | None:
        return self._tables[resource.plural].objects.get(key)

    def get(self, resource: Resource, key: Key) -> Stored:
        stored = self.find(resource, key)
        if stored is None:
            raise not_found(resource, key[1])
        return stored

    def count(self, resource: Resource) -> int:
        return len(self._tables[resource.plural].objects)

    def objects(self, resource: Resource) -> Iterator[Stored]:
        return iter(self._tables[resource.plural].objects.values())

    def check_revision(self, resource: Resource, stored: Stored, given: str | None) -> None:
        """409 where a write names a revision that the object no longer has."""
        if given and given != str(stored.revision):
            raise conflict(
                resource,
                stored.name,
                f"the object has been modified (resourceVersion {stored.revision}, given {given}); "
                "apply the change to the latest version and try again",
            )

    def check_new(self, resource: Resource, key: Key) -> None:
        """ApiError where `create` would not take an object of this key."""
        if key in self._tables[resource.plural].objects:
            raise already_exists(resource, key[1])
        if sum(len(table.objects) for table in self._tables.values()) >= self.limits.objects:
            raise ApiError(429, f"the store holds its most of {self.limits.objects} objects", retry_after_s=1)

    def create(self, resource: Resource, key: Key, body: Object, weight: int = 1) -> Stored:
        self.check_new(resource, key)
        return self._write(resource, key, body, weight)

    def update(self, resource: Resource, key: Key, body: Object, weight: int = 1) -> Stored:
        """Replaces an object."""
        self.get(resource, key)
        return self._write(resource, key, body, weight)

    def delete(self, resource: Resource, key: Key) -> Stored:
        """Removes the object and returns it as it was last."""
        table = self._tables[resource.plural]
        before = self.get(resource, key)
        self.revision += 1
        del table.objects[key]
        self._record(table, Change(self.revision, before, None))
        return before

    def _write(self, resource: Resource, key: Key, body: Object, weight: int) -> Stored:
        table = self._tables[resource.plural]
        self.revision += 1
        stored = Stored.of(resource, key, self.revision, body, weight)
        before = table.objects.get(key)
        table.objects[key] = stored
        self._record(table, Change(self.revision, before, stored))
        return stored

    def _record(self, table: _Table, change: Change) -> None:
        table.history.append(change)
        table.history_of.setdefault(change.key, deque()).append(change)
        table.history_weight += change.weight
        while table.history_weight > self.limits.history and len(table.history) > 1:
            oldest = table.history.popleft()
            table.history_weight -= oldest.weight
            table.compacted = oldest.revision
            of_object = table.history_of[oldest.key]
            of_object.popleft()
            if not of_object:
                del table.history_of[oldest.key]
        table.watchers.publish(change)

    # ---- Lists ----------------------------------------------------------------------------------------

    def select(
        self,
        resource: Resource,
        namespace: str | None = None,
        selector: Selector = EVERYTHING,
        limit: int = 0,
        token: str = "",
    ) -> Page:
        """Objects in order of their names, in parts of `limit` that together show one revision.

        The rest of a list that is read in parts is kept as references, for a bounded number of lists; a
        token whose list was dropped is answered with 410 and a token that goes on at the present revision.
        """
        limit = min(limit, self.limits.page) if limit > 0 else 0
        if token:
            return self._continue(resource, namespace, selector, limit, token)
        found = self._matching(resource, namespace, selector)
        return self._page(found, limit, self.revision, "")

    def _matching(self, resource: Resource, namespace: str | None, selector: Selector) -> list[Stored]:
        objects = self._tables[resource.plural].objects
        if namespace is not None and selector.name is not None:
            one = objects.get((namespace, selector.name))
            return [one] if one is not None and selector.matches(one) else []
        found = [
            stored
            for stored in objects.values()
            if (namespace is None or stored.namespace == namespace) and selector.matches(stored)
        ]
        found.sort(key=lambda stored: stored.key)
        return found

    def _page(self, found: list[Stored], limit: int, revision: int, handle: str, start: int = 0) -> Page:
        end = start + limit
        if not limit or len(found) <= end:
            return Page(found[start:], revision, "", 0)
        if not handle:
            self._list_number += 1
            handle = str(self._list_number)
            self._open_lists[handle] = revision, found
            while len(self._open_lists) > self.limits.open_lists:
                self._open_lists.popitem(last=False)
        return Page(
            found[start:end], revision, _token(revision, handle, found[end - 1].key), len(found) - end
        )

    def _continue(
        self, resource: Resource, namespace: str | None, selector: Selector, limit: int, token: str
    ) -> Page:
        revision, handle, after = _read_token(token)
        if revision == 0:  # a token that was given out with a 410: on from a name, at the present revision
            found = [stored for stored in self._matching(resource, namespace, selector) if stored.key > after]
            return self._page(found, limit, self.revision, "")
        kept = self._open_lists.get(handle)
        if kept is None or kept[0] != revision:
            raise expired(
                "the list that the continue token is of is no longer kept; start again without it, or go on "
                "at the present revision with the token of this answer",
                _token(0, "", after),
            )
        self._open_lists.move_to_end(handle)
        start = bisect_right(kept[1], after, key=lambda stored: stored.key)
        return self._page(kept[1], limit, revision, handle, start)

    # ---- Watches --------------------------------------------------------------------------------------

    def watch(
        self,
        resource: Resource,
        wake: Callable[[], None],
        namespace: str | None = None,
        selector: Selector = EVERYTHING,
        since: int | None = None,
    ) -> Watch:
        """A watch of the changes after revision `since`, or of all objects and then their changes if None.

        410 where the history no longer reaches back so far, or where the revision is none of this store.
        """
        table = self._tables[resource.plural]
        if len(table.watchers) >= self.limits.watches:
            raise ApiError(429, f"{self.limits.watches} watches are open, which is the most", retry_after_s=1)
        if since is not None and (since < table.compacted or since > self.revision):
            raise expired(f"too old resource version: {since} (oldest {table.compacted})")
        if since is None:
            selected = self._matching(resource, namespace, selector)
            first = [Change(stored.revision, None, stored) for stored in selected]
        elif namespace is not None and selector.name is not None:
            first = _behind(table.history_of.get((namespace, selector.name), ()), since)
        else:
            first = _behind(table.history, since)
        watch = Watch(namespace, selector, self.limits.watch_buffer, wake, table.watchers.remove, first)
        table.watchers.add(watch)
        return watch

    def watching(self, resource: Resource) -> int:
        return len(self._tables[resource.plural].watchers)


def _behind(history: Reversible[Change], since: int) -> list[Change]:
    """The changes after a revision, in order; looks from the newest, as most resume a short way back."""
    changes: list[Change] = []
    for change in reversed(history):
        if change.revision <= since:
            break
        changes.append(change)
    changes.reverse()
    return changes


def _token(revision: int, handle: str, after: Key) -> str:
    return base64.urlsafe_b64encode(json.dumps([revision, handle, *after]).encode()).decode().rstrip("=")


def _read_token(token: str) -> tuple[int, str, Key]:
    try:
        data = json.loads(base64.urlsafe_b64decode(token + "=" * (-len(token) % 4)))
        revision, handle, namespace, name = data
    except (ValueError, TypeError):
        raise ApiError(400, "the continue token is not one that this server gave out") from None
    if not (isinstance(revision, int) and all(isinstance(part, str) for part in (handle, namespace, name))):
        raise ApiError(400, "the continue token is not one that this server gave out")
    return revision, handle, (namespace, name)
