"""A bounded pool of client connections to one address.

The pool decides which connection is reused and how long an idle one is kept. `client.HttpConnection` sends
the requests.
"""

from __future__ import annotations

import asyncio
from collections import deque

from kelpfront.http.client import HttpConnection, NotSentError


class HttpPool:
    """At most `max_connections` connections at a time, kept for reuse while idle.

    An idle connection is closed after `idle_timeout_s`, which must be less than the server's idle timeout: if
    the server closes the connection while a request is sent, the client cannot tell whether the request
    arrived. `connect_timeout_s` limits how long `acquire` waits.
    """

    def __init__(
        self,
        host: str,
        port: int,
        max_connections: int,
        connect_timeout_s: float,
        idle_timeout_s: float = 30.0,
    ) -> None:
        self._host = host
        self._port = port
        self._max_connections = max_connections
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._permits = asyncio.Semaphore(max_connections)
        self._idle: deque[HttpConnection] = deque()  # the most recently used one is at the right
        self._in_use: dict[HttpConnection, None] = {}
        self.closed = False

    @property
    def open(self) -> int:
        """The number of open connections, including idle ones."""
        return len(self._idle) + len(self._in_use)

    async def acquire(self) -> HttpConnection:
        """Return a connection, which the caller must return with `release`.

        Raises NotSentError if there is none within the connect timeout, or if the pool is closed.
        """
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                connection = await self._reuse_or_connect()
        except TimeoutError as error:
            raise NotSentError(
                f"{self._host}:{self._port}: no connection within {self._connect_timeout_s * 1000:.0f} ms "
                f"({self.open} of {self._max_connections} are open)"
            ) from error
        if self.closed:
            self._permits.release()
            connection.abort()
            raise NotSentError(f"{self._host}:{self._port}: the pool is closed")
        self._in_use[connection] = None
        return connection

    async def _reuse_or_connect(self) -> HttpConnection:
        """Return a connection and hold one permit for it until `release`."""
        await self._permits.acquire()
        try:
            return self._pop_idle() or await HttpConnection.open(self._host, self._port)
        except BaseException:
            self._permits.release()
            raise

    def _pop_idle(self) -> HttpConnection | None:
        """Return the most recently used idle connection, so that surplus ones reach the idle timeout."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if self._can_reuse(connection, now):
                return connection
            connection.abort()
        return None

    def _can_reuse(self, connection: HttpConnection, now: float) -> bool:
        return connection.usable and now - connection.last_used_at < self._idle_timeout_s

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool; it is closed if it cannot be reused."""
        self._in_use.pop(connection, None)
        if connection.usable and not self.closed:
            self._idle.append(connection)
        else:
            connection.abort()
        self._permits.release()

    def close_idle(self) -> None:
        """Close the connections that have exceeded the idle timeout."""
        now = asyncio.get_running_loop().time()
        while self._idle and not self._can_reuse(self._idle[0], now):
            self._idle.popleft().abort()

    def close(self) -> None:
        """Abort all connections; requests in progress on them raise NoAnswerError."""
        self.closed = True
        for connection in (*self._idle, *self._in_use):
            connection.abort()
        self._idle.clear()
