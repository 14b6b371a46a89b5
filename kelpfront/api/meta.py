"""Definitions shared by all resources: names, labels, metadata, and the kinds of resources.

The fields of each kind are in `jobs`, `machines` and `levels`.
"""

from __future__ import annotations

import hashlib
import re
from dataclasses import dataclass
from typing import Annotated, Any, Final

from pydantic import AfterValidator, BaseModel, ConfigDict, Field
from pydantic.alias_generators import to_camel

GROUP = "kelpfront.dev"
VERSION = "v1"
API_VERSION: Final = "kelpfront.dev/v1"

Object = dict[str, Any]
"""A resource as plain JSON data, the form in which the store keeps it."""

_LABEL_NAME = re.compile(r"[A-Za-z0-9]([-A-Za-z0-9_.]{0,61}[A-Za-z0-9])?")
_DNS_NAME = re.compile(r"[a-z0-9]([-a-z0-9.]{0,251}[a-z0-9])?")
_DNS_LABEL = re.compile(r"[a-z0-9]([-a-z0-9]{0,61}[a-z0-9])?")

DNS_NAME_FORM = "lower-case letters, digits, '-' and '.', at most 253, first and last a letter or digit"
DNS_LABEL_FORM = "lower-case letters, digits and '-', at most 63, first and last a letter or digit"
LABEL_FORM = "letters, digits, '-', '_' and '.', at most 63, first and last a letter or digit"


def job_name_of_token(token: str, prefix: str = "job-") -> str:
    """Return the name of a job that was submitted with a client token and without a name."""
    return prefix + hashlib.blake2b(token.encode(), digest_size=8).hexdigest()


def check_name(value: str) -> str:
    """Return a resource's name. Raises ValueError if it is not an RFC 1123 subdomain."""
    if not _DNS_NAME.fullmatch(value):
        raise ValueError(f"{value!r} is not a name: {DNS_NAME_FORM}")
    return value


def check_namespace(value: str) -> str:
    """Return a namespace. Raises ValueError if it is not an RFC 1123 label."""
    if not _DNS_LABEL.fullmatch(value):
        raise ValueError(f"{value!r} is not a namespace: {DNS_LABEL_FORM}")
    return value


def check_label_key(value: str) -> str:
    """Return a label's key. Raises ValueError if it does not have the form [PREFIX/]NAME."""
    prefix, slash, name = value.rpartition("/")
    if slash and not _DNS_NAME.fullmatch(prefix):
        raise ValueError(f"prefix of {value!r} is not a name: {DNS_NAME_FORM}")
    if not _LABEL_NAME.fullmatch(name):
        raise ValueError(f"{value!r} is not a label's key: {LABEL_FORM}")
    return value


def check_label_value(value: str) -> str:
    """Return a label's value, which may be empty. Raises ValueError if it is not valid."""
    if value and not _LABEL_NAME.fullmatch(value):
        raise ValueError(f"{value!r} is not a label's value: {LABEL_FORM}")
    return value


Name = Annotated[str, AfterValidator(check_name)]
LabelKey = Annotated[str, AfterValidator(check_label_key)]
LabelValue = Annotated[str, AfterValidator(check_label_value)]


class ApiModel(BaseModel):
    """Base of the resources' models: camelCase in JSON, unknown fields are errors."""

    model_config = ConfigDict(
        alias_generator=to_camel,
        populate_by_name=True,
        extra="forbid",
        frozen=True,
        hide_input_in_errors=True,
    )


class ObjectMeta(ApiModel):
    """Standard metadata. The server sets all but name, generateName, namespace, labels and annotations."""

    name: Name | None = Field(None, description="Unique in its namespace; cannot change.")
    generate_name: str | None = Field(
        None, max_length=200, description="Prefix of a name that the server completes, if name is absent."
    )
    namespace: str | None = Field(None, description="Set from the path.")
    labels: dict[LabelKey, LabelValue] | None = Field(None, max_length=64)
    annotations: dict[LabelKey, str] | None = Field(None, max_length=64)
    uid: str | None = Field(None, description="Set by the server; differs for each object, ever.")
    resource_version: str | None = Field(
        None, description="Grows with each change; if given on a write, the write fails where it is stale."
    )
    generation: int | None = Field(None, description="Grows with each change of the spec.")
    creation_timestamp: str | None = None
    deletion_timestamp: str | None = None
    deletion_grace_period_seconds: int | None = None
    self_link: str | None = None
    # Accepted so that clients can write back an object that they read; kelpfront does not store them.
    finalizers: list[str] | None = Field(None, max_length=0)
    owner_references: list[dict[str, Any]] | None = Field(None, max_length=0)
    managed_fields: list[dict[str, Any]] | None = None


class ListMeta(ApiModel):
    resource_version: str
    continue_: str | None = Field(None, alias="continue", description="Token that gets the rest of the list.")
    remaining_item_count: int | None = None


@dataclass(frozen=True, slots=True)
class Resource:
    """A kind of object that the API serves."""

    plural: str
    singular: str
    kind: str
    namespaced: bool
    verbs: tuple[str, ...]
    fields: tuple[str, ...]
    """Fields that selectors may use in addition to metadata.name and metadata.namespace."""

    @property
    def list_kind(self) -> str:
        """The kind of a list of these objects."""
        return f"{self.kind}List"

    @property
    def selectable(self) -> tuple[str, ...]:
        """All fields that a field selector may use."""
        names = ("metadata.name", "metadata.namespace") if self.namespaced else ("metadata.name",)
        return names + self.fields


JOBS = Resource(
    plural="jobs",
    singular="job",
    kind="Job",
    namespaced=True,
    verbs=("create", "delete", "deletecollection", "get", "list", "patch", "update", "watch"),
    fields=("spec.class", "spec.service", "status.phase"),
)
MACHINES = Resource(
    plural="machines",
    singular="machine",
    kind="Machine",
    namespaced=False,
    verbs=("get", "list", "patch", "update", "watch"),
    fields=("spec.kind", "spec.rack", "spec.room", "spec.unschedulable", "status.state"),
)
LEVELS = Resource(
    plural="levels",
    singular="level",
    kind="Level",
    namespaced=False,
    verbs=("get", "list", "patch", "update", "watch"),
    fields=("status.level",),
)
RESOURCES = {resource.plural: resource for resource in (JOBS, MACHINES, LEVELS)}


def field_text(obj: Object, path: str) -> str:
    """Return the value at a dotted path as the text that field selectors compare; booleans in lower case."""
    value: Any = obj
    for part in path.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    if value is None:
        return ""
    return str(value).lower() if isinstance(value, bool) else str(value)
