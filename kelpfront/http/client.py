"""HTTP/1.1 client connections.

The errors tell a caller whether a request that must not be executed twice can be retried safely:
`NotSentError` means that nothing was sent, `NoAnswerError` that the request may have arrived although its
response did not. `pool` reuses connections; callers retry requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import NamedTuple

import h11

READ_BYTES = 65536
MAX_BODY_BYTES = 64 << 20  # of a response, by default
_BODY_METHODS = ("POST", "PUT", "PATCH")  # these need a content length even if the body is empty


class HttpError(Exception):
    """A request failed without a complete response."""


class NotSentError(HttpError):
    """The request was not sent: there was no connection, or the caller withheld it."""


class NoAnswerError(HttpError):
    """The request was sent, at least in part, but its response did not arrive completely."""


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes


class StreamingReply(NamedTuple):
    """A response whose body is read in fragments as they arrive; header names are in lower case."""

    status: int
    headers: dict[str, str]
    fragments: AsyncIterator[bytes]


class _ReplyHead(NamedTuple):
    status: int
    headers: dict[str, str]


class HttpConnection:
    """A connection for one request at a time. A request that is cancelled or interrupted aborts it."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str, max_body_bytes: int
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._host = host
        self._max_body_bytes = max_body_bytes
        self._protocol = h11.Connection(h11.CLIENT)
        self.last_used_at = 0.0

    @classmethod
    async def open(cls, host: str, port: int, max_body_bytes: int = MAX_BODY_BYTES) -> HttpConnection:
        """Open a connection. Raises NotSentError if that fails."""
        try:
            reader, writer = await asyncio.open_connection(host, port, limit=READ_BYTES)
        except OSError as error:
            raise NotSentError(f"{host}:{port}: {error.strerror or error}") from error
        return cls(reader, writer, f"{host}:{port}", max_body_bytes)

    @property
    def usable(self) -> bool:
        """Whether another request can be sent: the connection is idle and not known to be closed."""
        return self._protocol.our_state is h11.IDLE and self._is_open() and self._reader.exception() is None

    def abort(self) -> None:
        """Close the connection at once and discard what was not sent."""
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection after all written data was sent."""
        self._writer.close()

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        before_send: Callable[[], bool] | None = None,
    ) -> Reply:
        """Send a request and return its complete response.

        `before_send` is called immediately before the request is written. If it returns False, nothing is
        sent and NotSentError is raised.

        Raises NotSentError, or NoAnswerError if the request may have arrived.
        """
        try:
            status, reply_headers = await self._send_request(method, target, body, headers, before_send)
            reply_body = await self._read_body()
        except BaseException:
            self.abort()
            raise
        self._finish_exchange()
        return Reply(status, reply_headers, reply_body)

    async def stream(
        self, method: str, target: str, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()
    ) -> StreamingReply:
        """Send a request and return the head of its response, with the body in fragments as they arrive.

        Raises the same errors as `request`. Reading the fragments may raise NoAnswerError.
        """
        try:
            status, reply_headers = await self._send_request(method, target, body, headers, None)
        except BaseException:
            self.abort()
            raise
        return StreamingReply(status, reply_headers, self._fragments())

    async def _read_body(self) -> bytes:
        fragments: list[bytes] = []
        size = 0
        event = await self._next_event()
        while not isinstance(event, h11.EndOfMessage):
            assert isinstance(event, h11.Data)
            size += len(event.data)
            if size > self._max_body_bytes:
                raise NoAnswerError(f"an answer of over {self._max_body_bytes} bytes")
            fragments.append(bytes(event.data))
            event = await self._next_event()
        return b"".join(fragments)

    async def _fragments(self) -> AsyncIterator[bytes]:
        is_complete = False
        try:
            event = await self._next_event()
            while not isinstance(event, h11.EndOfMessage):
                assert isinstance(event, h11.Data)
                yield bytes(event.data)
                event = await self._next_event()
            is_complete = True
        finally:
            if is_complete:
                self._finish_exchange()
            else:
                self.abort()

    async def _send_request(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        before_send: Callable[[], bool] | None,
    ) -> _ReplyHead:
        data = self._encode_request(method, target, body, headers)
        if not self._is_open():
            raise NotSentError(f"{self._host}: closed by the other end")
        if before_send is not None and not before_send():
            raise NotSentError("not sent")
        self._writer.write(data)
        try:
            await self._writer.drain()
        except OSError as error:
            raise NoAnswerError(f"{self._host}: {error}") from error
        return await self._read_head()

    def _encode_request(
        self, method: str, target: str, body: bytes, headers: tuple[tuple[str, str], ...]
    ) -> bytes:
        sent_headers = [("host", self._host), *headers]
        if body or method in _BODY_METHODS:
            sent_headers.append(("content-length", str(len(body))))
        protocol = self._protocol
        data = protocol.send(h11.Request(method=method, target=target, headers=sent_headers)) or b""
        if body:
            data += protocol.send(h11.Data(data=body)) or b""
        data += protocol.send(h11.EndOfMessage()) or b""
        return data

    async def _read_head(self) -> _ReplyHead:
        event = await self._next_event()
        while not isinstance(event, h11.Response):
            assert isinstance(event, h11.InformationalResponse)
            event = await self._next_event()
        headers = {name.decode("ascii"): value.decode("latin-1") for name, value in event.headers}
        return _ReplyHead(event.status_code, headers)

    def _is_open(self) -> bool:
        return not (self._writer.transport.is_closing() or self._reader.at_eof())

    async def _next_event(self) -> object:
        try:
            event = self._protocol.next_event()
            while event is h11.NEED_DATA:
                data = await self._reader.read(READ_BYTES)
                self._protocol.receive_data(data)
                event = self._protocol.next_event()
        except (h11.RemoteProtocolError, OSError) as error:
            raise NoAnswerError(f"{self._host}: {error}") from error
        if isinstance(event, h11.ConnectionClosed):
            raise NoAnswerError(f"{self._host}: closed before the answer")
        return event

    def _finish_exchange(self) -> None:
        """Make the connection ready for the next request, or close it if it cannot be reused."""
        protocol = self._protocol
        if protocol.our_state is h11.DONE and protocol.their_state is h11.DONE:
            protocol.start_next_cycle()
            self.last_used_at = asyncio.get_running_loop().time()
        else:
            self.close()
