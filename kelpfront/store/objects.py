"""One object of the store at one revision, as its readers and its watches get it. No I/O."""

from __future__ import annotations

import msgspec

from kelpfront.api.meta import Object, Resource, field_of

Key = tuple[str, str]
"""Namespace (empty for resources without) and name."""

NO_LABELS: dict[str, str] = {}


class Stored:
    """An object at a revision, as the JSON that its readers get.

    Only what selectors look at is kept beside it: a history of tens of thousands of parsed objects would make
    each garbage collection stop the process for tenths of a second.
    """

    __slots__ = ("_fields", "labels", "name", "namespace", "raw", "revision", "weight")

    def __init__(
        self,
        namespace: str,
        name: str,
        revision: int,
        raw: bytes,
        labels: dict[str, str],
        fields: dict[str, str],
        weight: int,
    ) -> None:
        self.namespace, self.name, self.revision = namespace, name, revision
        self.raw, self.labels, self.weight = raw, labels, weight
        self._fields = fields

    @classmethod
    def of(cls, resource: Resource, key: Key, revision: int, body: Object, weight: int = 1) -> Stored:
        """A body at a revision, which is written into it."""
        body["metadata"]["resourceVersion"] = str(revision)
        fields = {path: field_of(body, path) for path in resource.fields}
        labels: dict[str, str] = body["metadata"].get("labels") or NO_LABELS
        return cls(*key, revision, msgspec.json.encode(body), labels, fields, weight)

    @property
    def key(self) -> Key:
        return self.namespace, self.name

    @property
    def body(self) -> Object:
        """The object as data, made anew at each call."""
        body: Object = msgspec.json.decode(self.raw)
        return body

    def field(self, path: str) -> str:
        if path == "metadata.name":
            return self.name
        return self.namespace if path == "metadata.namespace" else self._fields[path]

    def at(self, revision: int) -> Stored:
        """The same object shown at another revision, as deletions are."""
        body = self.body
        body["metadata"]["resourceVersion"] = str(revision)
        raw = msgspec.json.encode(body)
        return Stored(self.namespace, self.name, revision, raw, self.labels, self._fields, self.weight)
