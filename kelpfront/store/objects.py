"""One object of the store at one revision, encoded for its readers and watches.

The values that selectors compare are kept in addition to the encoded object. `resource_store` and `history`
decide which revisions are kept.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from kelpfront.api.meta import Object, Resource, field_text

ObjectKey = tuple[str, str]
"""Namespace (empty for resources without namespaces) and name."""

NO_LABELS: dict[str, str] = {}  # shared by all objects without labels, to save memory


@dataclass(slots=True, eq=False)
class StoredObject:
    """An object at a revision, encoded as the JSON that clients receive.

    Only the values that selectors compare are kept in parsed form. With a history of tens of
    thousands of parsed objects, each garbage collection would stop the process for tenths of a second.

    Attributes:
        namespace: Empty for a resource without namespaces.
        name: Unique in the namespace.
        revision: The revision of the store at which the object was written; also its resource version.
        encoded: The object as JSON.
        labels: The object's labels, for label selectors.
        field_values: The resource's selectable fields by path, for field selectors.
        weight: How much the object counts towards the maximum weight of the history.
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
        """Encode `body` at a revision. Sets the resource version in the metadata of `body`."""
        namespace, name = key
        body["metadata"]["resourceVersion"] = str(revision)
        field_values = {path: field_text(body, path) for path in resource.fields}
        labels: dict[str, str] = body["metadata"].get("labels") or NO_LABELS
        encoded = msgspec.json.encode(body)
        return cls(namespace, name, revision, encoded, labels, field_values, weight)

    @property
    def key(self) -> ObjectKey:
        """The namespace and name."""
        return self.namespace, self.name

    @property
    def body(self) -> Object:
        """The decoded object. Each access decodes a new copy, which the caller may change."""
        body: Object = msgspec.json.decode(self.encoded)
        return body

    def field(self, path: str) -> str:
        """Return the value at the path of a selectable field."""
        if path == "metadata.name":
            return self.name
        if path == "metadata.namespace":
            return self.namespace
        return self.field_values[path]

    def with_revision(self, revision: int) -> StoredObject:
        """Return a copy with another revision, which watches receive when the object is deleted."""
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
