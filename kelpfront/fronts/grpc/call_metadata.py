"""A call's metadata and status, which carry what REST has in headers and in the Status object."""

from __future__ import annotations

from typing import Any

import grpc

from kelpfront.api.errors import ApiError
from kelpfront.rpc.status import code_of, trailers

Context = grpc.aio.ServicerContext

SENT_AT = "sent-at-ms"
ATTEMPT = "attempt"


async def abort(context: Context[Any, Any], error: ApiError) -> None:
    """End a call with the status of an error. It raises, as gRPC's own `abort` does."""
    await context.abort(code_of(error), error.message, trailers(error))


def read_metadata(context: Context[Any, Any], name: str) -> str:
    """Return a value of the client's metadata; empty where it is absent."""
    for key, value in context.invocation_metadata() or ():
        if key == name and isinstance(value, str):
            return value
    return ""


def read_sent_at(context: Context[Any, Any]) -> float | None:
    """Return when the client sent the call, by its own clock, if it says so."""
    try:
        return float(read_metadata(context, SENT_AT))
    except ValueError:
        return None
