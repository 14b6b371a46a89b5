"""Reads the headers, query parameters and bodies of REST requests. What is malformed is an ApiError."""

from __future__ import annotations

from typing import Any, get_args

from kelpfront.api.decode import FieldValidation, parse_json
from kelpfront.api.errors import ApiError
from kelpfront.api.meta import Object, Resource
from kelpfront.api.selectors import Selector, parse_selector
from kelpfront.http.messages import Request

JSON = "application/json"
MERGE_PATCH = "application/merge-patch+json"
SENT_AT_HEADER = "kelpfront-sent-at"
"""When the client sent the request, in milliseconds since the epoch by its own clock."""
ATTEMPT_HEADER = "kelpfront-attempt"
MAX_INTEGER_DIGITS = 18
"""More would not fit into 64 bits."""


def read_flag(request: Request, name: str) -> bool:
    """Return a boolean query parameter; False where it is absent."""
    value = request.query.get(name, "false").lower()
    if value not in ("true", "1", "false", "0", ""):
        raise ApiError(400, f"{name}: {value!r} is not one of true, false")
    return value in ("true", "1")


def read_integer(request: Request, name: str) -> int | None:
    """Return a query parameter that is an integer of 0 or more; None where it is absent."""
    value = request.query.get(name, "")
    if not value:
        return None
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_INTEGER_DIGITS):
        raise ApiError(400, f"{name}: {value!r} is not a whole number")
    return int(value)


def read_selector(request: Request, resource: Resource) -> Selector:
    """Return what the request selects of a resource's objects."""
    query = request.query
    return parse_selector(resource, query.get("labelSelector", ""), query.get("fieldSelector", ""))


def read_validation(request: Request) -> FieldValidation:
    """Return how unknown fields of the body are to be treated."""
    value: Any = request.query.get("fieldValidation") or "Strict"
    allowed = get_args(FieldValidation)
    if value not in allowed:
        raise ApiError(400, f"fieldValidation: {value!r} is not one of {', '.join(allowed)}")
    validation: FieldValidation = value
    return validation


def read_body(request: Request, content_type: str) -> Object:
    """Return the body as data; ApiError 415 where it is of another type."""
    given = request.headers.get("content-type", content_type).partition(";")[0].strip().lower()
    if given != content_type:
        raise ApiError(415, f"content-type {given!r}: {content_type} is supported here")
    data: Object = parse_json(request.body)
    return data


def read_sent_at(request: Request) -> float | None:
    """Return when the client sent the request; its job's timeout then counts from there."""
    try:
        return float(request.headers[SENT_AT_HEADER])
    except (KeyError, ValueError):
        return None


def check_accept(request: Request) -> None:
    """Raise ApiError 406 where the client does not accept JSON."""
    accept = request.headers.get("accept", "")
    types = {part.partition(";")[0].strip() for part in accept.split(",")}
    if accept and not types & {JSON, "application/*", "*/*", ""}:
        raise ApiError(406, f"accept {accept!r}: only {JSON} is served")


def reject_dry_run(request: Request) -> None:
    """Raise ApiError 400 for a dry run, which would be carried out."""
    if request.query.get("dryRun"):
        raise ApiError(400, "dryRun is not supported")
