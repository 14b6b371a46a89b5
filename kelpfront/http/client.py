"""HTTP/1.1 client connections and a bounded pool of them.

Errors say what matters to a caller who must not do a thing twice: `NotSentError` means that nothing was sent,
`NoAnswerError` that the request may have arrived and the answer did not.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import h11

READ_SIZE = 65536


class HttpError(Exception):
    """A request that got no answer."""


class NotSentError(HttpError):
    """No connection could be had; nothing was sent."""


class NoAnswerError(HttpError):
    """The request was sent, at least in part, and its answer did not arrive whole."""


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    headers: dict[str, str]
    body: bytes


class HttpConnection:
    """One connection; one request at a time. A request that is cancelled or interrupted breaks it."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str, most_body: int
    ) -> None:
        self._reader, self._writer, self._host, self._most_body = reader, writer, host, most_body
        self._conn = h11.Connection(h11.CLIENT)
        self.used_at = 0.0

    @classmethod
    async def open(cls, host: str, port: int, most_body: int = 64 << 20) -> HttpConnection:
        try:
            reader, writer = await asyncio.open_connection(host, port, limit=READ_SIZE)
        except OSError as error:
            raise NotSentError(f"{host}:{port}: {error.strerror or error}") from None
        return cls(reader, writer, f"{host}:{port}", most_body)

    @property
    def usable(self) -> bool:
        """Whether another request may go out on it: idle, and not known to be closed by the other end."""
        return (
            self._conn.our_state is h11.IDLE
            and not self._writer.transport.is_closing()
            and not self._reader.at_eof()
            and self._reader.exception() is None
        )

    def abort(self) -> None:
        self._writer.transport.abort()

    def close(self) -> None:
        self._writer.close()

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        before_send: Callable[[], bool] | None = None,
    ) -> Reply:
        """One exchange. `before_send` is asked at the last instant; False sends nothing: NotSentError."""
        try:
            status, its_headers = await self._start(method, target, body, headers, before_send)
            parts: list[bytes] = []
            size = 0
            while not isinstance(event := await self._event(), h11.EndOfMessage):
                assert isinstance(event, h11.Data)
                size += len(event.data)
                if size > self._most_body:
                    raise NoAnswerError(f"an answer of over {self._most_body} bytes")
                parts.append(bytes(event.data))
        except BaseException:
            self.abort()
            raise
        self._end_cycle()
        return Reply(status, its_headers, b"".join(parts))

    async def stream(
        self, method: str, target: str, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()
    ) -> tuple[int, dict[str, str], AsyncIterator[bytes]]:
        """Status, headers, and the answer's body in pieces as they arrive."""
        try:
            status, its_headers = await self._start(method, target, body, headers, None)
        except BaseException:
            self.abort()
            raise
        return status, its_headers, self._pieces()

    async def _pieces(self) -> AsyncIterator[bytes]:
        ended = False
        try:
            while not isinstance(event := await self._event(), h11.EndOfMessage):
                assert isinstance(event, h11.Data)
                yield bytes(event.data)
            ended = True
        finally:
            if ended:
                self._end_cycle()
            else:
                self.abort()

    async def _start(
        self,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
        before_send: Callable[[], bool] | None,
    ) -> tuple[int, dict[str, str]]:
        its_headers = [("host", self._host), *headers]
        if body or method in ("POST", "PUT", "PATCH"):
            its_headers.append(("content-length", str(len(body))))
        conn = self._conn
        data = conn.send(h11.Request(method=method, target=target, headers=its_headers)) or b""
        if body:
            data += conn.send(h11.Data(data=body)) or b""
        data += conn.send(h11.EndOfMessage()) or b""
        if not self._open():
            raise NotSentError(f"{self._host}: closed by the other end")
        if before_send is not None and not before_send():
            raise NotSentError("not sent")
        self._writer.write(data)
        try:
            await self._writer.drain()
        except OSError as error:
            raise NoAnswerError(f"{self._host}: {error}") from None
        while True:
            event = await self._event()
            if isinstance(event, h11.Response):
                found = {name.decode("ascii"): value.decode("latin-1") for name, value in event.headers}
                return event.status_code, found
            assert isinstance(event, h11.InformationalResponse)

    def _open(self) -> bool:
        return not (self._writer.transport.is_closing() or self._reader.at_eof())

    async def _event(self) -> object:
        try:
            while (event := self._conn.next_event()) is h11.NEED_DATA:
                data = await self._reader.read(READ_SIZE)
                self._conn.receive_data(data)
        except h11.RemoteProtocolError as error:
            raise NoAnswerError(f"{self._host}: {error}") from None
        except OSError as error:
            raise NoAnswerError(f"{self._host}: {error}") from None
        if isinstance(event, h11.ConnectionClosed):
            raise NoAnswerError(f"{self._host}: closed before the answer")
        return event

    def _end_cycle(self) -> None:
        if self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE:
            self._conn.start_next_cycle()
            self.used_at = asyncio.get_running_loop().time()
        else:
            self.close()


class HttpPool:
    """Connections to one address: at most `most` at a time, kept for reuse while idle.

    Idle ones are closed after `idle_s`, which must be less than the server's own idle time: a request that
    meets the server's close cannot be told from one that arrived.
    """

    def __init__(self, host: str, port: int, most: int, connect_s: float, idle_s: float = 30.0) -> None:
        self._host, self._port, self._most = host, port, most
        self._connect_s, self._idle_s = connect_s, idle_s
        self._turns = asyncio.Semaphore(most)
        self._idle: deque[HttpConnection] = deque()
        self._lent: dict[HttpConnection, None] = {}
        self.closed = False

    @property
    def open(self) -> int:
        return len(self._idle) + len(self._lent)

    async def acquire(self) -> HttpConnection:
        """A connection to use and give back by `release`; NotSentError where none is to be had in time."""
        try:
            async with asyncio.timeout(self._connect_s):
                await self._turns.acquire()
                try:
                    connection = self._reuse() or await HttpConnection.open(self._host, self._port)
                except BaseException:
                    self._turns.release()
                    raise
        except TimeoutError:
            raise NotSentError(
                f"{self._host}:{self._port}: no connection within {self._connect_s * 1000:.0f} ms "
                f"({self.open} of {self._most} are open)"
            ) from None
        if self.closed:
            self._turns.release()
            connection.abort()
            raise NotSentError(f"{self._host}:{self._port}: the pool is closed")
        self._lent[connection] = None
        return connection

    def _reuse(self) -> HttpConnection | None:
        """The idle connection that was used last: the others may go stale."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and now - connection.used_at < self._idle_s:
                return connection
            connection.abort()
        return None

    def release(self, connection: HttpConnection) -> None:
        self._lent.pop(connection, None)
        if connection.usable and not self.closed:
            self._idle.append(connection)
        else:
            connection.abort()
        self._turns.release()

    def sweep(self) -> None:
        """Closes what has been idle for long."""
        now = asyncio.get_running_loop().time()
        while self._idle and not (self._idle[0].usable and now - self._idle[0].used_at < self._idle_s):
            self._idle.popleft().abort()

    def close(self) -> None:
        """Breaks all connections; requests on them end as NoAnswerError."""
        self.closed = True
        for connection in (*self._idle, *self._lent):
            connection.abort()
        self._idle.clear()
