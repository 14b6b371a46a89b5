"""Reads the headers, query parameters and bodies of REST requests; raises ApiError if they are malformed."""

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
"""When the client sent the request, in milliseconds since the epoch by the client's clock."""
ATTEMPT_HEADER = "kelpfront-attempt"
"""The number of the client's attempt to send this submission; above 0 for a retry."""
MAX_INTEGER_DIGITS = 18
"""Digits of a query parameter; a number with more might not fit into 64 bits."""


def read_flag(request: Request, name: str) -> bool:
    """Return a boolean query parameter, or False if it is absent."""
    value = request.query.get(name, "false").lower()
    if value not in ("true", "1", "false", "0", ""):
        raise ApiError(400, f"{name}: {value!r} is not one of true, false")
    return value in ("true", "1")


def read_integer(request: Request, name: str) -> int | None:
    """Return a query parameter that is a non-negative integer, or None if it is absent."""
    value = request.query.get(name, "")
    if not value:
        return None
    if not (value.isascii() and value.isdigit() and len(value) <= MAX_INTEGER_DIGITS):
        raise ApiError(400, f"{name}: {value!r} is not a whole number")
    return int(value)


def read_selector(request: Request, resource: Resource) -> Selector:
    """Return the selector in the label and field selector parameters."""
    query = request.query
    return parse_selector(resource, query.get("labelSelector", ""), query.get("fieldSelector", ""))


def read_validation(request: Request) -> FieldValidation:
    """Return how to handle unknown fields of the body."""
    value: Any = request.query.get("fieldValidation") or "Strict"
    allowed = get_args(FieldValidation)
    if value not in allowed:
        raise ApiError(400, f"fieldValidation: {value!r} is not one of {', '.join(allowed)}")
    validation: FieldValidation = value
    return validation


def read_body(request: Request, content_type: str) -> Object:
    """Parse the body as JSON.

    Raises:
        ApiError: 415 if the content type is not `content_type`, 400 if the body cannot be parsed.
    """
    actual_type = request.headers.get("content-type", content_type).partition(";")[0].strip().lower()
    if actual_type != content_type:
        raise ApiError(415, f"content-type {actual_type!r}: {content_type} is supported here")
    data: Object = parse_json(request.body)
    return data


def read_sent_at(request: Request) -> float | None:
    """Return when the client sent the request; None if absent or invalid.

    The timeout of the job counts from this time.
    """
    try:
        return float(request.headers[SENT_AT_HEADER])
    except (KeyError, ValueError):
        return None


def check_accept(request: Request) -> None:
    """Raise ApiError 406 if the client does not accept JSON."""
    accept = request.headers.get("accept", "")
    accepted_types = {part.partition(";")[0].strip() for part in accept.split(",")}
    if accept and not accepted_types & {JSON, "application/*", "*/*", ""}:
        raise ApiError(406, f"accept {accept!r}: only {JSON} is served")


def reject_dry_run(request: Request) -> None:
    """Raise ApiError 400 for a dry run, which would otherwise be executed as a real request."""
    if request.query.get("dryRun"):
        raise ApiError(400, "dryRun is not supported")
