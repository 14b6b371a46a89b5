"""Answers of the REST API."""

from __future__ import annotations

from typing import Any

import msgspec

from kelpfront.api.errors import ApiError
from kelpfront.controller.operations import Written
from kelpfront.http.messages import Response

PLAIN_TEXT = "text/plain; charset=utf-8"


def json_response(status: int, data: Any) -> Response:
    """Answer with data as JSON."""
    return Response(status, msgspec.json.encode(data))


def written_response(status: int, written: Written) -> Response:
    """Answer a write with the object that is stored now."""
    headers = [("warning", f'299 - "{warning}"'.replace("\n", " ")) for warning in written.warnings]
    return Response(status, written.stored.encoded, headers=headers)


def error_response(error: ApiError) -> Response:
    """Answer with the Status object of an error."""
    headers = [("retry-after", str(error.retry_after_s))] if error.retry_after_s else []
    return Response(error.code, msgspec.json.encode(error.render()), headers=headers)


def error_body(status: int, message: str) -> bytes:
    """Return the body that answers a request which could not be read at all."""
    return msgspec.json.encode(ApiError(status, message).render())


def method_not_allowed(method: str, allowed: tuple[str, ...]) -> ApiError:
    """Return the error of a method that a path does not have."""
    return ApiError(405, f"{method} is not allowed here; allowed: {', '.join(allowed)}")
