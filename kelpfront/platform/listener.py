"""The clients' listening socket: accepts no more connections than there are descriptors for.

asyncio's server accepts connections without a limit. When descriptors run out, it pauses for a second, and
meanwhile everything else that needs a descriptor fails: the next poll of the endpoint list, connections to
machines, reads of files. Accepted connections are handled by `client_connections`.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import msgspec
import structlog

from kelpfront.platform.background_tasks import BackgroundTasks

log = structlog.get_logger("kelpfront.platform.listener")

FULL_CHECK_INTERVAL_S = 0.02
"""Interval between checks whether another connection may be accepted."""

ACCEPT_ERROR_PAUSE_S = 0.25
"""Pause after an error of `accept`, such as the system's refusal of a descriptor."""

RECEIVE_BYTES = 8 << 10
"""Maximum size of one receive from a client."""

ServeConnection = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class _ClientProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """A stream protocol that receives into a shared buffer and reports when its socket is closed.

    asyncio receives up to 256 KiB at once for other stream protocols, and hundreds of connections that each
    hold as much exceed the memory limit of a placer.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        serve: ServeConnection,
        buffer: memoryview,
        on_closed: Callable[[], None],
    ) -> None:
        super().__init__(reader, serve)
        self._buffer = buffer
        self._on_closed = on_closed

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002 - the interface's parameter
        """Return the buffer to receive into."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the received bytes on to the stream."""
        self.data_received(bytes(self._buffer[:nbytes]))

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        asyncio.get_running_loop().call_soon(self._on_closed)  # its transport closes the socket after this


class ListenerLimits(msgspec.Struct, frozen=True):
    """How many connections a listener accepts.

    Attributes:
        burst: connections accepted per loop iteration.
        max_open: returns how many sockets may be open.
        on_full: called when no further connection can be accepted; it may close some.
    """

    burst: int
    max_open: Callable[[], int]
    on_full: Callable[[], None]


class Listener:
    """Accepts connections on a bound socket.

    Attributes:
        open_count: open sockets, including those whose connection is being closed.
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
        self._buffer = memoryview(bytearray(RECEIVE_BYTES))
        self._opening = BackgroundTasks()
        self._resume_timer: asyncio.TimerHandle | None = None
        self._serving = False

    def start(self, queue: int) -> None:
        """Start to accept connections; up to `queue` of them may wait in the kernel."""
        self._sock.setblocking(False)  # noqa: FBT003 - takes it by position only
        self._sock.listen(queue)
        self._serving = True
        asyncio.get_running_loop().add_reader(self._sock, self._accept)

    def is_serving(self) -> bool:
        """Return whether the listening socket is open."""
        return self._serving

    def close(self) -> None:
        """Stop accepting connections; open ones are kept."""
        if self._serving:
            self._serving = False
            asyncio.get_running_loop().remove_reader(self._sock)
            self._sock.close()
        if self._resume_timer is not None:
            self._resume_timer.cancel()

    async def wait_closed(self) -> None:
        """Wait until every accepted connection has its stream."""
        await self._opening.wait()

    def _accept(self) -> None:
        for _ in range(self._limits.burst):
            if self.open_count >= self._limits.max_open():
                self._limits.on_full()
                self._pause(FULL_CHECK_INTERVAL_S)
                return
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                log.warning("connection not accepted", error=str(error), open_connections=self.open_count)
                self._limits.on_full()
                self._pause(ACCEPT_ERROR_PAUSE_S)
                return
            sock.setblocking(False)  # noqa: FBT003 - takes it by position only
            self.open_count += 1
            self._opening.start(self._open(sock))

    async def _open(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        reader = self._make_reader()
        try:
            await loop.connect_accepted_socket(
                lambda: _ClientProtocol(reader, self._serve, self._buffer, self._on_closed), sock
            )
        except OSError:  # raised before the stream exists, so that its protocol cannot report the close
            sock.close()
            self._on_closed()

    def _on_closed(self) -> None:
        self.open_count -= 1
        if self._resume_timer is not None:
            self._resume()

    def _pause(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock)
        self._resume_timer = loop.call_later(delay_s, self._resume)

    def _resume(self) -> None:
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        if self._serving:
            asyncio.get_running_loop().add_reader(self._sock, self._accept)
