"""The requests and responses that handlers work with, and the errors that end an exchange early.

`exchange` reads requests and writes responses; handlers interpret them.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from kelpfront.http.peer import Peer


@dataclass(slots=True)
class Request:
    """One request. Header names are in lower case; `received_at` is the loop's time of its first byte."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    received_at: float
    peer: Peer


@dataclass(slots=True)
class Response:
    """A response. A `stream` is sent chunk by chunk as it is produced; its end ends the response.

    `deferred` is for a response that has to wait for something else. The awaited response is sent instead of
    this one, and the wait does not count as work in the request's slot.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: list[tuple[str, str]] = field(default_factory=list)
    stream: AsyncIterator[bytes] | None = None
    deferred: Awaitable[Response] | None = None


Handler = Callable[[Request], Awaitable[Response]]


class AbortConnection(Exception):  # noqa: N818 - control flow, not an error
    """Raised by a handler to abort the connection without a response, to simulate a crash or a fault."""


class RequestRejectedError(Exception):
    """The request is not passed to the handler: the response has `status`, and the connection is closed."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


class ErrorBody(Protocol):
    """Creates the response body for a request that was rejected before it reached the handler."""

    def __call__(self, status: int, message: str) -> bytes:
        """Return a JSON body."""
        ...


def plain_error(status: int, message: str) -> bytes:
    """Return a JSON object with the status and the message."""
    return f'{{"code":{status},"message":"{message}"}}'.encode()
