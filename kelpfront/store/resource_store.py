"""Objects of the API with revisions, bounded history, consistent lists and watches. No I/O.

A revision is one number for the whole store and grows with each change. It starts from a number that the
caller gives, which must be above all that an earlier store of the same address gave out. A client that
resumes with an old revision is then told that it has expired, and is never shown a history that it did not
see.

Pages of lists are left to `listing`, past changes to `history` and delivery to watches to `watch`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from kelpfront.api.errors import ApiError, already_exists, conflict, expired, not_found
from kelpfront.api.meta import RESOURCES, Object, Resource
from kelpfront.api.selectors import EVERYTHING, Selector
from kelpfront.store.history import Change, ChangeHistory
from kelpfront.store.listing import ContinueToken, ListPage, ListPager
from kelpfront.store.objects import ObjectKey, StoredObject
from kelpfront.store.watch import ObjectScope, Watch, WatchRegistry


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What the store may hold; each is a bound on memory."""

    objects: int = 200_000  # of all resources together
    history_weight: int = 50_000  # of one resource's changes; an object weighs 1, and 1 for each task
    watches: int = 10_000  # of one resource
    watch_buffer_events: int = 2_000  # that a watch may be behind
    open_lists: int = 64  # lists of which a client has read a part
    page_objects: int = 5_000  # objects of one answer


class _ResourceTable:
    """The objects of one resource, the changes that led to them, and its watches."""

    __slots__ = ("history", "objects", "watches")

    def __init__(self, limits: StoreLimits, first_revision: int) -> None:
        self.objects: dict[ObjectKey, StoredObject] = {}
        self.history = ChangeHistory(limits.history_weight, first_revision)
        self.watches = WatchRegistry()


class ResourceStore:
    """All objects of one placer. Every method returns at once.

    Methods raise ApiError where the API answers with one. `revision` is that of the latest change.
    """

    def __init__(self, first_revision: int, limits: StoreLimits | None = None) -> None:
        self.limits = limits or StoreLimits()
        self.revision = first_revision
        self._tables = {plural: _ResourceTable(self.limits, first_revision) for plural in RESOURCES}
        self._pager = ListPager(self.limits.open_lists)

    def find(self, resource: Resource, key: ObjectKey) -> StoredObject | None:
        """Return an object, or None where there is none of this key."""
        return self._tables[resource.plural].objects.get(key)

    def get(self, resource: Resource, key: ObjectKey) -> StoredObject:
        """Return an object. Raises ApiError 404."""
        stored = self.find(resource, key)
        if stored is None:
            raise not_found(resource, key[1])
        return stored

    def count(self, resource: Resource) -> int:
        """Return how many objects a resource has."""
        return len(self._tables[resource.plural].objects)

    def objects(self, resource: Resource) -> Iterator[StoredObject]:
        """Iterate over a resource's objects, which must not change meanwhile."""
        return iter(self._tables[resource.plural].objects.values())

    def check_revision(self, resource: Resource, stored: StoredObject, given: str | None) -> None:
        """Raise ApiError 409 where a write names a resource version that the object no longer has."""
        if given and given != str(stored.revision):
            raise conflict(
                resource,
                stored.name,
                f"the object has been modified (resourceVersion {stored.revision}, given {given}); "
                "apply the change to the latest version and try again",
            )

    def check_can_create(self, resource: Resource, key: ObjectKey) -> None:
        """Raise ApiError 409 where the key is in use, and 429 where the store is full."""
        if key in self._tables[resource.plural].objects:
            raise already_exists(resource, key[1])
        object_count = sum(len(table.objects) for table in self._tables.values())
        if object_count >= self.limits.objects:
            raise ApiError(429, f"the store holds its most of {self.limits.objects} objects", retry_after_s=1)

    def create(self, resource: Resource, key: ObjectKey, body: Object, weight: int = 1) -> StoredObject:
        """Add an object. Raises ApiError as `check_can_create` does."""
        self.check_can_create(resource, key)
        return self._write(resource, key, body, weight)

    def update(self, resource: Resource, key: ObjectKey, body: Object, weight: int = 1) -> StoredObject:
        """Replace an object. Raises ApiError 404."""
        self.get(resource, key)
        return self._write(resource, key, body, weight)

    def delete(self, resource: Resource, key: ObjectKey) -> StoredObject:
        """Remove an object and return its last state. Raises ApiError 404."""
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
        selector: Selector = EVERYTHING,
        limit: int = 0,
        token: str = "",
    ) -> ListPage:
        """Return objects in the order of their names, in pages of `limit` that together show one revision.

        A limit of 0 asks for all. With a token, the page is the one after that which the token came with;
        ApiError 410, with a token that goes on at the present revision, where that list is no longer kept.
        """
        page_limit = min(limit, self.limits.page_objects) if limit > 0 else 0
        scope = ObjectScope(namespace, selector)
        if token:
            return self._continue_list(resource, scope, page_limit, ContinueToken.decode(token))
        return self._pager.first_page(self._matching(resource, scope), page_limit, self.revision)

    def _continue_list(
        self, resource: Resource, scope: ObjectScope, limit: int, token: ContinueToken
    ) -> ListPage:
        if not token.is_at_present:
            return self._pager.next_page(token, limit)
        rest = [stored for stored in self._matching(resource, scope) if stored.key > token.after]
        return self._pager.first_page(rest, limit, self.revision)

    def _matching(self, resource: Resource, scope: ObjectScope) -> list[StoredObject]:
        objects = self._tables[resource.plural].objects
        if scope.key is not None:
            stored = objects.get(scope.key)
            return [stored] if stored is not None and scope.includes(stored) else []
        found = [stored for stored in objects.values() if scope.includes(stored)]
        found.sort(key=lambda stored: stored.key)
        return found

    def watch(
        self,
        resource: Resource,
        wake: Callable[[], None],
        namespace: str | None = None,
        selector: Selector = EVERYTHING,
        since_revision: int | None = None,
    ) -> Watch:
        """Return a watch of the changes after a revision, or of all objects and then their changes if None.

        Raises ApiError 410 where the history no longer reaches back to the revision or the store never had
        it, and 429 where too many watches are open. `wake` is called as `Watch` says.
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
            return table.history.since_of(scope.key, revision)
        return table.history.since(revision)

    def watch_count(self, resource: Resource) -> int:
        """Return how many watches of a resource are open."""
        return len(self._tables[resource.plural].watches)
