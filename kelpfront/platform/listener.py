"""The owners' listening socket: accepts no more connections than there are descriptors for.

asyncio's own server accepts whatever comes; out of descriptors it rests for a second, and all else that needs
one fails beside it: the next ask for the list, connections to machines, a look at a file.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import structlog

log = structlog.get_logger("kelpfront.platform.listener")

LOOK_S = 0.02  # between looks whether there is room again
REST_S = 0.25  # after the system has refused a descriptor all the same

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class _Held(asyncio.StreamReaderProtocol):
    """A stream that tells when its socket is closed."""

    def __init__(self, reader: asyncio.StreamReader, serve: Serve, closed: Callable[[], None]) -> None:
        super().__init__(reader, serve)
        self._tell_closed = closed

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        asyncio.get_running_loop().call_soon(self._tell_closed)  # its transport closes the socket after this


class Listener:
    """`most` is how many sockets may be held, `burst` how many are accepted in one go.

    `held` counts sockets that are open, also those whose connection is being closed. `full` is called while
    there is no room for one more, and may close some. `sock` is bound, `stream` makes what a connection is
    read by.
    """

    def __init__(
        self,
        sock: socket.socket,
        serve: Serve,
        stream: Callable[[], asyncio.StreamReader],
        burst: int,
        most: Callable[[], int],
        full: Callable[[], None],
    ) -> None:
        self._sock, self._serve, self._stream, self._burst = sock, serve, stream, burst
        self._most, self._full = most, full
        self._jobs: set[asyncio.Task[None]] = set()
        self._look: asyncio.TimerHandle | None = None
        self._serving = False
        self.held = 0

    def start(self, queue: int) -> None:
        self._sock.setblocking(False)
        self._sock.listen(queue)
        self._serving = True
        asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def is_serving(self) -> bool:
        return self._serving

    def close(self) -> None:
        if self._serving:
            self._serving = False
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
        if self._look is not None:
            self._look.cancel()

    def _accept(self) -> None:
        for _ in range(self._burst):
            if self.held >= self._most():
                self._full()
                self._pause(LOOK_S)
                return
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("a connection could not be accepted", error=str(error), held=self.held)
                self._full()
                self._pause(REST_S)
                return
            sock.setblocking(False)
            self.held += 1
            job = asyncio.get_running_loop().create_task(self._take(sock))
            self._jobs.add(job)
            job.add_done_callback(self._jobs.discard)

    async def _take(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        reader = self._stream()
        try:
            await loop.connect_accepted_socket(lambda: _Held(reader, self._serve, self._closed), sock)
        except OSError:  # before its stream was made: nobody else tells of it
            sock.close()
            self._closed()

    def _closed(self) -> None:
        self.held -= 1
        if self._look is not None:
            self._resume()

    def _pause(self, for_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock)
        self._look = loop.call_later(for_s, self._resume)

    def _resume(self) -> None:
        if self._look is not None:
            self._look.cancel()
            self._look = None
        if self._serving:
            asyncio.get_running_loop().add_reader(self._sock, self._accept)
