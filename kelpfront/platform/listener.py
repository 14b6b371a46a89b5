"""The clients' listening socket: accepts no more connections than there are descriptors for.

asyncio's own server accepts whatever comes; out of descriptors it rests for a second, and all else that needs
one fails beside it: the next poll of the endpoint list, connections to machines, a read of a file. What is
done with a connection is the affair of `client_connections`.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import msgspec
import structlog

from kelpfront.platform.background_tasks import BackgroundTasks

log = structlog.get_logger("kelpfront.platform.listener")

FULL_CHECK_S = 0.02
"""Between checks whether there is capacity again."""

REFUSED_REST_S = 0.25
"""After the system has refused a descriptor all the same."""

ServeConnection = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class _CountedProtocol(asyncio.StreamReaderProtocol):
    """A stream that reports when its socket is closed."""

    def __init__(
        self, reader: asyncio.StreamReader, serve: ServeConnection, on_closed: Callable[[], None]
    ) -> None:
        super().__init__(reader, serve)
        self._on_closed = on_closed

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        asyncio.get_running_loop().call_soon(self._on_closed)  # its transport closes the socket after this


class ListenerLimits(msgspec.Struct, frozen=True):
    """How many connections a listener accepts.

    Attributes:
        burst: connections accepted in one go.
        max_open: returns how many sockets may be open.
        on_full: called while there is no capacity for one more; it may close some.
    """

    burst: int
    max_open: Callable[[], int]
    on_full: Callable[[], None]


class Listener:
    """Accepts connections of a bound socket.

    Attributes:
        open_count: sockets that are open, also those whose connection is being closed.
    """

    def __init__(
        self,
        sock: socket.socket,
        serve: ServeConnection,
        make_reader: Callable[[], asyncio.StreamReader],
        limits: ListenerLimits,
    ) -> None:
        self.open_count = 0
        self._sock = sock
        self._serve = serve
        self._make_reader = make_reader
        self._limits = limits
        self._opening = BackgroundTasks()
        self._resume_timer: asyncio.TimerHandle | None = None
        self._serving = False

    def start(self, queue: int) -> None:
        """Accept connections; so many may wait in the kernel."""
        self._sock.setblocking(False)  # noqa: FBT003 - takes it by position only
        self._sock.listen(queue)
        self._serving = True
        asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def is_serving(self) -> bool:
        """Return whether it is open."""
        return self._serving

    def close(self) -> None:
        """Accept no more; open connections stay."""
        if self._serving:
            self._serving = False
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
        if self._resume_timer is not None:
            self._resume_timer.cancel()

    async def wait_closed(self) -> None:
        """Wait until no connection is half accepted."""
        await self._opening.wait()

    def _accept(self) -> None:
        for _ in range(self._limits.burst):
            if self.open_count >= self._limits.max_open():
                self._limits.on_full()
                self._pause(FULL_CHECK_S)
                return
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("connection not accepted", error=str(error), open_connections=self.open_count)
                self._limits.on_full()
                self._pause(REFUSED_REST_S)
                return
            sock.setblocking(False)  # noqa: FBT003 - takes it by position only
            self.open_count += 1
            self._opening.start(self._open(sock))

    async def _open(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        reader = self._make_reader()
        try:
            await loop.connect_accepted_socket(
                lambda: _CountedProtocol(reader, self._serve, self._on_closed), sock
            )
        except OSError:  # before its stream was made: nobody else reports it
            sock.close()
            self._on_closed()

    def _on_closed(self) -> None:
        self.open_count -= 1
        if self._resume_timer is not None:
            self._resume()

    def _pause(self, for_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock)
        self._resume_timer = loop.call_later(for_s, self._resume)

    def _resume(self) -> None:
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        if self._serving:
            asyncio.get_running_loop().add_reader(self._sock, self._accept)
