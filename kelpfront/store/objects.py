"""One object of the store at one revision, encoded for those who read or watch it.

It keeps what selectors compare beside the encoded object. Which revisions are kept is decided in
`resource_store` and `history`.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from kelpfront.api.meta import Object, Resource, field_of

ObjectKey = tuple[str, str]
"""Namespace (empty for resources without namespaces) and name."""

NO_LABELS: dict[str, str] = {}  # shared by all objects without labels, to save memory


@dataclass(slots=True, eq=False)
class StoredObject:
    """An object at a revision, as the JSON that its readers get.

    Only what selectors compare is kept in parsed form. With a history of tens of thousands of parsed objects,
    each garbage collection would stop the process for tenths of a second.

    Attributes:
        namespace: Empty for a resource without namespaces.
        name: Unique in the namespace.
        revision: The store's revision that wrote the object; it is also the object's resource version.
        encoded: The object as JSON.
        labels: The object's labels, for label selectors.
        field_values: The resource's selectable fields by path, for field selectors.
        weight: What the object counts for in the bound of the history.
    """

    namespace: str
    name: str
    revision: int
    encoded: bytes
    labels: dict[str, str]
    field_values: dict[str, str]
    weight: int

    @classmethod
    def encode(
        cls, resource: Resource, key: ObjectKey, revision: int, body: Object, weight: int = 1
    ) -> StoredObject:
        """Return `body` at a revision, which is also written into the body's metadata."""
        namespace, name = key
        body["metadata"]["resourceVersion"] = str(revision)
        field_values = {path: field_of(body, path) for path in resource.fields}
        labels: dict[str, str] = body["metadata"].get("labels") or NO_LABELS
        encoded = msgspec.json.encode(body)
        return cls(namespace, name, revision, encoded, labels, field_values, weight)

    @property
    def key(self) -> ObjectKey:
        """The namespace and name."""
        return self.namespace, self.name

    @property
    def body(self) -> Object:
        """The object as data, decoded anew at each access, so that the caller may change it."""
        body: Object = msgspec.json.decode(self.encoded)
        return body

    def field(self, path: str) -> str:
        """Return the text at a path that the resource's field selectors may name."""
        if path == "metadata.name":
            return self.name
        if path == "metadata.namespace":
            return self.namespace
        return self.field_values[path]

    def with_revision(self, revision: int) -> StoredObject:
        """Return the same object with another revision, as watches get it when it is deleted."""
        body = self.body
        body["metadata"]["resourceVersion"] = str(revision)
        return StoredObject(
            self.namespace,
            self.name,
            revision,
            msgspec.json.encode(body),
            self.labels,
            self.field_values,
            self.weight,
        )
