"""The objects of the API with revisions, a bounded history, consistent lists and watches. No I/O.

The revision is one number for the whole store that increases with each change. The caller sets the first one,
which must be above every revision that an earlier store at the same address used. A client that resumes with
a revision of the earlier store then gets an error that it has expired, and never the changes of a different
history.

`listing` splits lists into pages, `history` keeps past changes, and `watch` delivers changes to watches.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from kelpfront.api.errors import ApiError, already_exists, conflict, expired, not_found
from kelpfront.api.meta import RESOURCES, Object, Resource
from kelpfront.api.selectors import SELECT_ALL, Selector
from kelpfront.store.history import Change, ChangeHistory
from kelpfront.store.listing import ContinueToken, ListPage, ListPager
from kelpfront.store.objects import ObjectKey, StoredObject
from kelpfront.store.watch import ObjectScope, Watch, WatchRegistry


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """The limits of the store; each of them bounds its memory."""

    objects: int = 200_000  # in total over all resources
    history_weight: int = 50_000  # per resource; an object weighs 1, plus 1 for each task
    watches: int = 10_000  # per resource
    watch_buffer_events: int = 2_000  # undelivered events per watch
    open_lists: int = 64  # lists that a client has read in part
    page_objects: int = 5_000  # objects per response


class _ResourceTable:
    """The objects of one resource, the history of their changes, and the watches."""

    __slots__ = ("history", "objects", "watches")

    def __init__(self, limits: StoreLimits, first_revision: int) -> None:
        self.objects: dict[ObjectKey, StoredObject] = {}
        self.history = ChangeHistory(limits.history_weight, first_revision)
        self.watches = WatchRegistry()


class ResourceStore:
    """All API objects of one placer. No method blocks.

    Methods raise the ApiError that the API returns to the client. `revision` is that of the latest change.
    """

    def __init__(self, first_revision: int, limits: StoreLimits | None = None) -> None:
        self.limits = limits or StoreLimits()
        self.revision = first_revision
        self._tables = {plural: _ResourceTable(self.limits, first_revision) for plural in RESOURCES}
        self._pager = ListPager(self.limits.open_lists)

    def find(self, resource: Resource, key: ObjectKey) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        return self._tables[resource.plural].objects.get(key)

    def get(self, resource: Resource, key: ObjectKey) -> StoredObject:
        """Return an object. Raises ApiError 404 if it does not exist."""
        stored = self.find(resource, key)
        if stored is None:
            raise not_found(resource, key[1])
        return stored

    def count(self, resource: Resource) -> int:
        """Return the number of objects of a resource."""
        return len(self._tables[resource.plural].objects)

    def objects(self, resource: Resource) -> Iterator[StoredObject]:
        """Iterate over the objects of a resource; none may be added or deleted during the iteration."""
        return iter(self._tables[resource.plural].objects.values())

    def check_revision(self, resource: Resource, stored: StoredObject, given: str | None) -> None:
        """Raise ApiError 409 if the resource version `given` by a write is not that of the object."""
        if given and given != str(stored.revision):
            raise conflict(
                resource,
                stored.name,
                f"the object has been modified (resourceVersion {stored.revision}, given {given}); "
                "apply the change to the latest version and try again",
            )

    def check_can_create(self, resource: Resource, key: ObjectKey) -> None:
        """Raise ApiError 409 if the key is in use, or 429 if the store is full."""
        if key in self._tables[resource.plural].objects:
            raise already_exists(resource, key[1])
        object_count = sum(len(table.objects) for table in self._tables.values())
        if object_count >= self.limits.objects:
            raise ApiError(429, f"the store holds its most of {self.limits.objects} objects", retry_after_s=1)

    def create(self, resource: Resource, key: ObjectKey, body: Object, weight: int = 1) -> StoredObject:
        """Add an object. Raises ApiError if `check_can_create` does."""
        self.check_can_create(resource, key)
        return self._write(resource, key, body, weight)

    def update(self, resource: Resource, key: ObjectKey, body: Object, weight: int = 1) -> StoredObject:
        """Replace an object. Raises ApiError 404 if it does not exist."""
        self.get(resource, key)
        return self._write(resource, key, body, weight)

    def delete(self, resource: Resource, key: ObjectKey) -> StoredObject:
        """Remove an object and return its last state. Raises ApiError 404 if it does not exist."""
        table = self._tables[resource.plural]
        before = self.get(resource, key)
        self.revision += 1
        del table.objects[key]
        self._record_change(table, Change(self.revision, before, None))
        return before

    def _write(self, resource: Resource, key: ObjectKey, body: Object, weight: int) -> StoredObject:
        table = self._tables[resource.plural]
        self.revision += 1
        stored = StoredObject.encode(resource, key, self.revision, body, weight)
        before = table.objects.get(key)
        table.objects[key] = stored
        self._record_change(table, Change(self.revision, before, stored))
        return stored

    def _record_change(self, table: _ResourceTable, change: Change) -> None:
        table.history.append(change)
        table.watches.dispatch(change)

    def list_objects(
        self,
        resource: Resource,
        namespace: str | None = None,
        selector: Selector = SELECT_ALL,
        limit: int = 0,
        token: str = "",
    ) -> ListPage:
        """Return one page of at most `limit` objects, sorted by key; all pages of a list show one revision.

        A limit of 0 returns all objects. With the token of a page, the page after it is returned. Raises
        ApiError 410, with a token that continues at the current revision, if the list is no longer kept.
        """
        page_limit = min(limit, self.limits.page_objects) if limit > 0 else 0
        scope = ObjectScope(namespace, selector)
        if token:
            return self._continue_list(resource, scope, page_limit, ContinueToken.decode(token))
        return self._pager.first_page(self._matching(resource, scope), page_limit, self.revision)

    def _continue_list(
        self, resource: Resource, scope: ObjectScope, limit: int, token: ContinueToken
    ) -> ListPage:
        if not token.is_at_current_revision:
            return self._pager.next_page(token, limit)
        rest = [stored for stored in self._matching(resource, scope) if stored.key > token.after]
        return self._pager.first_page(rest, limit, self.revision)

    def _matching(self, resource: Resource, scope: ObjectScope) -> list[StoredObject]:
        objects = self._tables[resource.plural].objects
        if scope.key is not None:
            stored = objects.get(scope.key)
            return [stored] if stored is not None and scope.includes(stored) else []
        matching = [stored for stored in objects.values() if scope.includes(stored)]
        matching.sort(key=lambda stored: stored.key)
        return matching

    def watch(
        self,
        resource: Resource,
        wake: Callable[[], None],
        namespace: str | None = None,
        selector: Selector = SELECT_ALL,
        since_revision: int | None = None,
    ) -> Watch:
        """Return a watch of the changes after `since_revision`.

        If it is None, the watch starts with all existing objects. Raises ApiError 410 if the history no
        longer reaches back to the revision or the store never had it, and 429 if too many watches are open.
        See `Watch` for when `wake` is called.
        """
        table = self._tables[resource.plural]
        scope = ObjectScope(namespace, selector)
        if len(table.watches) >= self.limits.watches:
            raise ApiError(429, f"{self.limits.watches} watches are open, which is the most", retry_after_s=1)
        if since_revision is None:
            initial = [Change(stored.revision, None, stored) for stored in self._matching(resource, scope)]
        else:
            initial = self._changes_since(table, scope, since_revision)
        watch = Watch(scope, self.limits.watch_buffer_events, wake, table.watches.remove, initial)
        table.watches.add(watch)
        return watch

    def _changes_since(self, table: _ResourceTable, scope: ObjectScope, revision: int) -> list[Change]:
        compacted = table.history.compacted_revision
        if revision < compacted or revision > self.revision:
            raise expired(f"too old resource version: {revision} (oldest {compacted})")
        if scope.key is not None:
            return table.history.since_for_object(scope.key, revision)
        return table.history.since(revision)

    def watch_count(self, resource: Resource) -> int:
        """Return the number of open watches of a resource."""
        return len(self._tables[resource.plural].watches)
