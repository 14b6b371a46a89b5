"""Requests and responses as handlers see them, and the errors that end an exchange early.

Reading and writing them is left to `exchange`, their meaning to the handlers.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from kelpfront.http.peer import Peer


@dataclass(slots=True)
class Request:
    """One request; header names are in lower case, `received_at` is the loop's time of its first byte."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    received_at: float
    peer: Peer


@dataclass(slots=True)
class Response:
    """An answer. A stream is sent chunk by chunk as it is made; its end ends the answer.

    `deferred` is for an answer that has to wait for others: it is sent in place of this one, and the request
    does not count as work of this process meanwhile.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: list[tuple[str, str]] = field(default_factory=list)
    stream: AsyncIterator[bytes] | None = None
    deferred: Awaitable[Response] | None = None


Handler = Callable[[Request], Awaitable[Response]]


class Abort(Exception):  # noqa: N818 - control flow, not an error
    """Raised by a handler to break the connection without an answer: for stand-ins that misbehave."""


class RequestRejectedError(Exception):
    """A request that never reaches the handler: it is answered with `status`, and the connection closed."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


class ErrorBody(Protocol):
    """Makes the body that answers a request which never reached the handler."""

    def __call__(self, status: int, message: str) -> bytes:
        """Return a body of JSON."""
        ...


def plain_error(status: int, message: str) -> bytes:
    """Return a JSON object with the status and the message."""
    return f'{{"code":{status},"message":"{message}"}}'.encode()
