"""Builds the responses of the REST API."""

from __future__ import annotations

from typing import Any

import msgspec

from kelpfront.api.errors import ApiError
from kelpfront.controller.operations import WriteResult
from kelpfront.http.messages import Response

PLAIN_TEXT = "text/plain; charset=utf-8"


def json_response(status: int, data: Any) -> Response:
    """Return a response with `data` as JSON."""
    return Response(status, msgspec.json.encode(data))


def written_response(status: int, written: WriteResult) -> Response:
    """Return the response to a write: the stored object, and warnings in headers."""
    headers = [("warning", f'299 - "{warning}"'.replace("\n", " ")) for warning in written.warnings]
    return Response(status, written.stored.encoded, headers=headers)


def error_response(error: ApiError) -> Response:
    """Return a response with the Status object of an error."""
    headers = [("retry-after", str(error.retry_after_s))] if error.retry_after_s else []
    return Response(error.code, msgspec.json.encode(error.render()), headers=headers)


def error_body(status: int, message: str) -> bytes:
    """Return the body of the response to a request that could not be parsed as HTTP."""
    return msgspec.json.encode(ApiError(status, message).render())


def method_not_allowed(method: str, allowed: tuple[str, ...]) -> ApiError:
    """Return the error for a method that a path does not support."""
    return ApiError(405, f"{method} is not allowed here; allowed: {', '.join(allowed)}")
