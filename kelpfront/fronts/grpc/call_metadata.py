"""The metadata and status of a call, which correspond to the headers and Status object of the REST API."""

from __future__ import annotations

from typing import Any

import grpc

from kelpfront.api.errors import ApiError
from kelpfront.rpc.status import status_code_of, trailers

Context = grpc.aio.ServicerContext

SENT_AT_KEY = "sent-at-ms"
ATTEMPT_KEY = "attempt"


async def abort(context: Context[Any, Any], error: ApiError) -> None:
    """End a call with the status of an error. Always raises, like `abort` of the gRPC library."""
    await context.abort(status_code_of(error), error.message, trailers(error))


def read_metadata(context: Context[Any, Any], name: str) -> str:
    """Return a value of the client's metadata, or an empty string if it is absent."""
    for key, value in context.invocation_metadata() or ():
        if key == name and isinstance(value, str):
            return value
    return ""


def read_sent_at(context: Context[Any, Any]) -> float | None:
    """Return when the client sent the call, in milliseconds by its own clock; None if absent or invalid."""
    try:
        return float(read_metadata(context, SENT_AT_KEY))
    except ValueError:
        return None
