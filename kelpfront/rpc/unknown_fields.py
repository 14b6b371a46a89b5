"""Rejects messages with fields of later versions, like the REST API's strict validation."""

from __future__ import annotations

from typing import Any

from google.protobuf.message import Message
from google.protobuf.unknown_fields import UnknownFieldSet

from kelpfront.api.errors import ApiError, Cause
from kelpfront.api.meta import JOBS

MAX_REPORTED_FIELDS = 20  # bounds the size of an error, which the client could otherwise choose


def reject_unknown_fields(message: Message, path: str, name: str = "") -> None:
    """Raise ApiError 422 if a message has fields that this version does not know.

    `path` is the path of the message in the resource, `name` the resource's name.
    """
    unknown: Any = UnknownFieldSet(message)
    numbers = sorted({field.field_number for field in unknown})
    causes = tuple(
        Cause(f"{path}.{number}", "field number unknown to this version", "FieldValueForbidden")
        for number in numbers[:MAX_REPORTED_FIELDS]
    )
    if causes:
        text = "; ".join(f"{cause.field}: {cause.message}" for cause in causes)
        raise ApiError(422, f"{path}: {text}", resource=JOBS, name=name, causes=causes)
