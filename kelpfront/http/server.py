"""The HTTP/1.1 server under the REST API and under the machines' protocol.

It reads requests whole, within bounds of size and time, hands each to one handler and writes the answer,
whole or as a stream. It knows nothing of what the requests mean.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from kelpfront.http.pacing import Turns

READ_SIZE = 65536


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """What one server spends on its clients."""

    connections: int = 10_000
    head_bytes: int = 32_768
    headers: int = 100
    body_bytes: int = 1 << 20
    head_timeout_s: float = 10.0  # for the whole head, from its first byte
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 90.0  # between requests of a connection
    write_timeout_s: float = 20.0  # for a client that does not read its answer
    write_buffer: int = 256 * 1024  # bytes of answer that may wait in this process for one client


class Peer:
    """The other end of a connection. `gone` is set when it has closed, or the connection broke.

    A peer that only shut down its sending side (as `nc -N` does) has `half_closed` set; it may still read.
    """

    __slots__ = ("_on_change", "address", "gone", "half_closed")

    def __init__(self) -> None:
        self.address = ""
        self.gone = False
        self.half_closed = False
        self._on_change: list[Callable[[], None]] = []

    def on_change(self, call: Callable[[], None]) -> Callable[[], None]:
        """Calls back when `gone` or `half_closed` is set; the result takes the call back."""
        self._on_change.append(call)
        if self.gone or self.half_closed:
            call()

        def cancel() -> None:
            if call in self._on_change:
                self._on_change.remove(call)

        return cancel

    def leave(self) -> None:
        """The other end is gone."""
        self.gone = True
        self._changed()

    def _changed(self) -> None:
        for call in list(self._on_change):
            call()


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

    `later` is for an answer that others have to be waited for: it is sent in place of this one, and the
    request's turn is over meanwhile.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: list[tuple[str, str]] = field(default_factory=list)
    stream: AsyncIterator[bytes] | None = None
    later: Awaitable[Response] | None = None


class Abort(Exception):  # noqa: N818 - control flow, not an error
    """Raised by a handler to break the connection without an answer: for stand-ins that misbehave."""


class RequestError(Exception):
    """A request that cannot be read: the connection is answered with `status` and closed."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status, self.message = status, message


Handler = Callable[[Request], Awaitable[Response]]


class ErrorBody(Protocol):
    """Makes the body that answers a request which never reached the handler."""

    def __call__(self, status: int, message: str) -> bytes: ...


def plain_error(status: int, message: str) -> bytes:
    return f'{{"code":{status},"message":"{message}"}}'.encode()


class _StreamProtocol(asyncio.StreamReaderProtocol):
    """asyncio's stream protocol, which also tells when the peer is gone while nobody reads."""

    def __init__(
        self, on_connection: Callable[[asyncio.StreamReader, asyncio.StreamWriter, Peer], None], limit: int
    ) -> None:
        self._peer = Peer()
        self._on_connection = on_connection
        super().__init__(asyncio.StreamReader(limit=limit), self._connected)

    def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        address = writer.get_extra_info("peername")
        self._peer.address = f"{address[0]}:{address[1]}" if isinstance(address, tuple) else str(address)
        self._on_connection(reader, writer, self._peer)

    def eof_received(self) -> bool | None:
        keep = super().eof_received()
        self._peer.half_closed = True
        self._peer._changed()
        return keep

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self._peer.leave()


class HttpServer:
    """Serves one handler on one address."""

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits | None = None,
        error_body: ErrorBody = plain_error,
        turns: Turns | None = None,
    ) -> None:
        """With `turns`, requests wait for theirs; then the handler must not wait for anything itself."""
        self._handler, self._error_body, self._turns = handler, error_body, turns
        self._limits = limits or HttpLimits()
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self._busy = 0
        self._closing = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def connections(self) -> int:
        return len(self._tasks)

    @property
    def port(self) -> int:
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self, host: str, port: int, backlog: int = 1024, reuse_port: bool = False) -> None:
        """Listens; OSError where the address cannot be had."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _StreamProtocol(self._connected, READ_SIZE),
            host,
            port,
            backlog=backlog,
            reuse_port=reuse_port or None,
        )

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()

    async def close(self, within_s: float = 5.0) -> None:
        """Stops listening, lets requests that are being answered end, then closes all connections."""
        self._closing = True
        self.stop_listening()
        if self._busy:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(within_s):
                    await self._idle.wait()
        self.abort()
        if self._tasks:
            await asyncio.wait(list(self._tasks), timeout=within_s)

    def abort(self) -> None:
        """Breaks all connections at once, as a machine that dies does."""
        self._closing = True
        self.stop_listening()
        for task, writer in list(self._tasks.items()):
            writer.transport.abort()
            task.cancel()

    # ---- One connection -------------------------------------------------------------------------------

    def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: Peer) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer, peer))
        self._tasks[task] = writer
        task.add_done_callback(self._disconnected)

    def _disconnected(self, task: asyncio.Task[None]) -> None:
        writer = self._tasks.pop(task)
        writer.close()
        if not task.cancelled() and (error := task.exception()) is not None:
            asyncio.get_running_loop().call_exception_handler(
                {"message": "an HTTP connection's task failed", "exception": error, "task": task}
            )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, peer: Peer) -> None:
        writer.transport.set_write_buffer_limits(high=self._limits.write_buffer)
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.head_bytes)
        exchange = _Exchange(conn, reader, writer, self._limits, self._turns)
        try:
            if len(self._tasks) > self._limits.connections or self._closing:
                raise RequestError(503, f"{self._limits.connections} connections are open, which is the most")
            while not self._closing:
                request = await exchange.read_request(peer)
                if request is None:
                    return
                self._busy += 1
                self._idle.clear()
                try:
                    response = await self._handler(request)
                    if response.later is not None:
                        exchange.end_turn()
                        response = await response.later
                    await exchange.send(response, self._closing)
                finally:
                    self._busy -= 1
                    if not self._busy:
                        self._idle.set()
                if not exchange.next_cycle():
                    return
        except RequestError as error:
            await exchange.refuse(error, self._error_body(error.status, error.message))
        except Abort:
            writer.transport.abort()
        except (ConnectionError, TimeoutError):
            writer.transport.abort()


class _Exchange:
    """The requests and answers of one connection."""

    def __init__(
        self,
        conn: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: HttpLimits,
        turns: Turns | None,
    ) -> None:
        self._conn, self._reader, self._writer, self._limits = conn, reader, writer, limits
        self._turns = turns
        self._began = 0.0  # when the present request had its turn; 0 where it had to wait for more since
        self._head_only = False
        self._loop = asyncio.get_running_loop()

    async def _read(self) -> None:
        self._tell_turns()
        self._conn.receive_data(await self._reader.read(READ_SIZE))

    def end_turn(self) -> None:
        """The present request is waiting for others; what it does after that is not counted."""
        self._tell_turns()

    def _tell_turns(self) -> None:
        """What the present request took of its turn so far."""
        if self._turns is not None and self._began:
            self._turns.spent(self._turns.clock() - self._began)
            self._began = 0.0

    def _next(self) -> object:
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as error:
            raise RequestError(error.error_status_hint, str(error)) from None

    async def read_request(self, peer: Peer) -> Request | None:
        """The next request, or None where the client left between requests."""
        limits = self._limits
        event = self._next()
        if event is h11.NEED_DATA and not self._conn.trailing_data[0]:
            try:
                async with asyncio.timeout(limits.idle_timeout_s):
                    await self._read()
            except TimeoutError:
                return None
            received_at = self._loop.time()
            if self._turns is not None:
                await self._turns.enter()
                self._began = self._turns.clock()
            event = self._next()
        else:
            received_at = self._loop.time()
        if event is h11.NEED_DATA:
            try:
                async with asyncio.timeout(limits.head_timeout_s):
                    while event is h11.NEED_DATA:
                        await self._read()
                        event = self._next()
            except TimeoutError:
                raise RequestError(
                    408, f"the request's head took longer than {limits.head_timeout_s:g} s"
                ) from None
        if isinstance(event, h11.ConnectionClosed):
            return None
        assert isinstance(event, h11.Request)
        if len(event.headers) > limits.headers:
            raise RequestError(431, f"{len(event.headers)} headers; {limits.headers} are allowed")
        headers = {name.decode("ascii"): value.decode("latin-1") for name, value in event.headers}
        body = await self._read_body(headers)
        self._head_only = event.method == b"HEAD"
        target = urlsplit(event.target.decode("ascii"))
        query = dict(parse_qsl(target.query, keep_blank_values=True))
        return Request(
            event.method.decode("ascii"), unquote(target.path), query, headers, body, received_at, peer
        )

    async def _read_body(self, headers: dict[str, str]) -> bytes:
        limits = self._limits
        length = headers.get("content-length")
        if length is not None and int(length) > limits.body_bytes:
            raise RequestError(413, f"a body of {length} bytes; {limits.body_bytes} are allowed")
        event = self._next() if length is not None or "transfer-encoding" in headers else None
        if event is None:
            while not isinstance(self._next(), h11.EndOfMessage):
                pass  # no body: its end is there at once
            return b""
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(limits.body_timeout_s):
                while not isinstance(event, h11.EndOfMessage):
                    if event is h11.NEED_DATA:
                        if self._conn.they_are_waiting_for_100_continue:
                            informational = h11.InformationalResponse(status_code=100, headers=[])
                            self._writer.write(self._conn.send(informational) or b"")
                        await self._read()
                    elif isinstance(event, h11.Data):
                        size += len(event.data)
                        if size > limits.body_bytes:
                            raise RequestError(
                                413, f"a body of over {limits.body_bytes} bytes, which are allowed"
                            )
                        parts.append(bytes(event.data))
                    event = self._next()
        except TimeoutError:
            raise RequestError(
                408, f"the request's body took longer than {limits.body_timeout_s:g} s"
            ) from None
        return b"".join(parts)

    async def send(self, response: Response, closing: bool) -> None:
        headers = [("content-type", response.content_type), *response.headers]
        if closing:
            headers.append(("connection", "close"))
        if response.stream is not None:
            await self._send_stream(response, headers)
            return
        headers.append(("content-length", str(len(response.body))))
        conn = self._conn
        parts = [
            conn.send(h11.Response(status_code=response.status, headers=headers)),
            conn.send(h11.Data(data=response.body)) if response.body and not self._head_only else b"",
            conn.send(h11.EndOfMessage()),
        ]
        self._writer.write(b"".join(part for part in parts if part))
        self._tell_turns()
        await self._drain()

    async def _send_stream(self, response: Response, headers: list[tuple[str, str]]) -> None:
        assert response.stream is not None
        conn, stream = self._conn, response.stream
        try:
            head = conn.send(h11.Response(status_code=response.status, headers=headers))
            self._tell_turns()
            await self._write(head or b"")
            async for chunk in stream:
                if chunk:
                    await self._write(conn.send(h11.Data(data=chunk)) or b"")
            await self._write(conn.send(h11.EndOfMessage()) or b"")
        finally:
            if hasattr(stream, "aclose"):
                await stream.aclose()

    async def _write(self, data: bytes) -> None:
        self._writer.write(data)
        await self._drain()

    async def _drain(self) -> None:
        """Waits for a client that does not read as fast as it is sent to, for a bounded time."""
        if self._writer.transport.get_write_buffer_size() > self._limits.write_buffer // 2:
            async with asyncio.timeout(self._limits.write_timeout_s):
                await self._writer.drain()

    def next_cycle(self) -> bool:
        """Whether the connection can carry another request."""
        if self._conn.our_state is not h11.DONE or self._conn.their_state is not h11.DONE:
            return False
        self._conn.start_next_cycle()
        return True

    async def refuse(self, error: RequestError, body: bytes) -> None:
        """Answers what could not be read, and closes."""
        if self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [
            ("content-type", "application/json"),
            ("content-length", str(len(body))),
            ("connection", "close"),
        ]
        try:
            data = self._conn.send(h11.Response(status_code=error.status, headers=headers)) or b""
            data += self._conn.send(h11.Data(data=body)) or b""
            data += self._conn.send(h11.EndOfMessage()) or b""
            self._writer.write(data)
            # What the client still sends is read for a while: closing on it would reset the answer away.
            async with asyncio.timeout(min(1.0, self._limits.write_timeout_s)):
                await self._writer.drain()
                self._writer.write_eof()
                while await self._reader.read(READ_SIZE):
                    pass
        except (OSError, TimeoutError, h11.LocalProtocolError):
            self._writer.transport.abort()
