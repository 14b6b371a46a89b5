"""Fields of later versions: a message that has one is refused, as the REST API's strict validation does."""

from __future__ import annotations

from typing import Any

from google.protobuf.message import Message
from google.protobuf.unknown_fields import UnknownFieldSet

from kelpfront.api.errors import ApiError, Cause
from kelpfront.api.meta import JOBS

MAX_REPORTED_FIELDS = 20  # an error names no more: its size must not be the client's choice


def refuse_unknown(message: Message, place: str, name: str = "") -> None:
    """Raise ApiError 422 where a message has fields that this version does not know.

    `place` is the path of the message in the resource, `name` the resource's name.
    """
    unknown: Any = UnknownFieldSet(message)
    numbers = sorted({field.field_number for field in unknown})
    causes = tuple(
        Cause(f"{place}.{number}", "field number unknown to this version", "FieldValueForbidden")
        for number in numbers[:MAX_REPORTED_FIELDS]
    )
    if causes:
        text = "; ".join(f"{cause.field}: {cause.message}" for cause in causes)
        raise ApiError(422, f"{place}: {text}", resource=JOBS, name=name, causes=causes)
