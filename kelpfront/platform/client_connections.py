"""The server for clients: lines in by turns, answers out, all of it bounded.

Accepting is `listener`'s affair, what has arrived on one connection `client_connection`'s, and what a message
means the core's.
"""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable

import msgspec
import structlog

from kelpfront.platform.client_connection import ClientConnection, PeekableReader
from kelpfront.platform.config import Address
from kelpfront.platform.core_access import CoreAccess
from kelpfront.platform.descriptor_shares import ACCEPT_BURST
from kelpfront.platform.idle_connections import ConnectionActivity, EvictionOrder, PartialLine
from kelpfront.platform.intents import ClientPresence, ConnectionId, SendToClient
from kelpfront.platform.limits import Limit
from kelpfront.platform.listener import Listener, ListenerLimits
from kelpfront.platform.messages import MAX_LINE_BYTES, InvalidMessageError, decode
from kelpfront.platform.read_timing import TimedSelector, UnreadTime

log = structlog.get_logger("kelpfront.platform.client_connections")

LISTEN_QUEUE = 1024
"""Of the kernel: a connection that finds it full is tried again only after a second."""

SWEEP_S = 0.25
"""Between checks for connections that are closed for silence."""

CLOSE_CHECK_S = 0.005
"""Between checks, at the end, whether all connections are closed."""

READ_BYTES = 4 * MAX_LINE_BYTES
"""Of one read."""

LINES_PER_BATCH = 256
"""Lines of one connection that are taken before the others have their turn."""

MAX_UNSENT_BYTES = 256 << 10
"""That a client may leave unread before its connection is broken."""

LINGER_S = 1.0
"""For what is still to be sent on a connection that is being closed."""


class ServerContext(msgspec.Struct, frozen=True):
    """What the server for clients is given.

    Attributes:
        access: takes messages to the core.
        max_connections: returns how many connections may be open now.
        selector: knows since when data that is read may have been unread.
        burst: so many more sockets may be open, of connections just accepted or being closed.
    """

    access: CoreAccess
    max_connections: Callable[[], int]
    selector: TimedSelector | None = None
    burst: int = ACCEPT_BURST


class ClientServer:
    """Listens for clients, reads their lines and writes their answers.

    Attributes:
        connections: those that are open, by their number.
    """

    def __init__(self, context: ServerContext) -> None:
        self.connections: dict[ConnectionId, ClientConnection] = {}
        self._core = context.access.core
        self._now = context.access.now
        self._flush = context.access.flush
        self._max_connections = context.max_connections
        self._selector = context.selector
        self._burst = context.burst
        self._eviction: EvictionOrder[ConnectionId] = EvictionOrder()
        self._numbers = itertools.count(1)
        self._lingering: dict[asyncio.StreamWriter, None] = {}
        self._listener: Listener | None = None

    def __len__(self) -> int:
        """Connections that are open."""
        return len(self.connections)

    @property
    def is_serving(self) -> bool:
        """Whether new connections are accepted."""
        return self._listener is not None and self._listener.is_serving()

    async def start(self, address: Address) -> int:
        """Listen; return the port.

        Raises:
            OSError: the address cannot be had.
        """
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        # Named, not 0: asyncio turns Nagle's algorithm off only on sockets that say that they are TCP, and
        # accepted ones say what their listener says. With it, a second answer waits 40 ms for an ACK.
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((address.host, address.port))
        except OSError:
            sock.close()
            raise
        limits = ListenerLimits(self._burst, self._max_open_sockets, self._on_full)
        self._listener = Listener(sock, self._serve, PeekableReader, limits)
        self._listener.start(LISTEN_QUEUE)
        return int(sock.getsockname()[1])

    def _max_open_sockets(self) -> int:
        return self._max_connections() + self._burst

    # ---- One connection -------------------------------------------------------------------------------

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.shrink(self._max_connections() - 1):
            self._core.limits.reached(Limit.CLIENT_CONNECTIONS)
            writer.transport.abort()
            return
        assert isinstance(reader, PeekableReader)
        number = next(self._numbers)
        connection = ClientConnection(reader, writer, asyncio.get_running_loop().time())
        self._open(number, connection)
        try:
            await self._read(number, connection)
        except OSError:
            pass  # reset by the client
        except InvalidMessageError:
            self._core.counters.unreadable_lines += 1
        finally:  # also where the task is cancelled: the core must not count on this connection
            self.connections.pop(number, None)
            self._eviction.remove(number)
            self._core.on_client_disconnected(self._now(), number)
            self._flush()
            self._close_writer(writer)

    def _open(self, number: ConnectionId, connection: ClientConnection) -> None:
        self.connections[number] = connection
        self._eviction.on_opened(number, connection.opened_at)
        loop = asyncio.get_running_loop()
        # After the next poll, by which what it had sent when it was opened has been read.
        loop.call_soon(loop.call_soon, loop.call_soon, self._eviction.on_first_read, number)
        peername = connection.writer.get_extra_info("peername")
        self._core.sessions.open(self._now(), number, peername[0] if peername else "")
        self._flush()

    def _close_writer(self, writer: asyncio.StreamWriter) -> None:
        writer.close()
        if writer.transport.get_write_buffer_size():  # one that does not read would hold it for good
            self._lingering[writer] = None
            asyncio.get_running_loop().call_later(LINGER_S, self._end_lingering, writer)

    def _end_lingering(self, writer: asyncio.StreamWriter) -> None:
        self._lingering.pop(writer, None)
        writer.transport.abort()

    async def _read(self, number: ConnectionId, connection: ClientConnection) -> None:
        """Take what has arrived, in turns."""
        loop = asyncio.get_running_loop()
        unread = UnreadTime(self._selector)
        while not connection.writer.is_closing():
            data = await connection.reader.read(READ_BYTES)
            if not data:
                return
            unread.on_read()
            connection.pending_lines = connection.splitter.feed(data)
            connection.partial_line = PartialLine.after_read(
                connection.partial_line,
                loop.time(),
                has_ended=bool(connection.pending_lines),
                has_partial=connection.splitter.has_partial_line,
            )
            while connection.pending_lines:
                self._process_batch(number, connection, unread)
                await asyncio.sleep(0)

    def _process_batch(self, number: ConnectionId, connection: ClientConnection, unread: UnreadTime) -> None:
        """Take some lines; requests are decided when all of them were received, also if one is malformed."""
        loop = asyncio.get_running_loop()
        lines = connection.pending_lines[:LINES_PER_BATCH]
        connection.pending_lines = connection.pending_lines[LINES_PER_BATCH:]
        try:
            for line in lines:
                message = decode(line)
                if self._core.on_client_message(self._now(), number, message, unread.unread_ms()):
                    connection.last_valid_at = loop.time()
                    self._eviction.on_active(number, connection.last_valid_at)
        finally:
            self._core.submit_arrivals(self._now())
            self._flush()

    # ---- All connections ------------------------------------------------------------------------------

    def _on_full(self) -> None:
        """Free descriptors, none of which is left for one more: what only lingers gives its own back."""
        for writer in list(self._lingering):
            self._end_lingering(writer)
        self.shrink(self._max_connections())

    def shrink(self, limit: int) -> bool:
        """Close idle connections until no more than `limit` are open; return whether that could be done."""
        while len(self.connections) > limit:
            if not self._evict_one():
                return False
        return True

    def _evict_one(self) -> bool:
        now = asyncio.get_running_loop().time()
        number = self._eviction.next_evicted(now, self._core.sessions.is_in_use)
        if number is None:
            return False
        self._eviction.remove(number)
        writer = self.connections.pop(number).writer
        if writer.transport.get_write_buffer_size():  # it does not read
            writer.transport.abort()
        writer.close()  # not broken: an answer that has just been written may be on its way
        self._core.on_client_disconnected(self._now(), number)
        return True

    def send(self, intent: SendToClient) -> None:
        """Write a line, or have the core take note that it cannot be written."""
        connection = self.connections.get(intent.connection)
        if connection is None or connection.writer.is_closing():
            self._core.on_send_failed(self._now(), intent)
            return
        connection.writer.write(intent.data)
        transport = connection.writer.transport
        unsent_bytes = transport.get_write_buffer_size()
        if unsent_bytes > MAX_UNSENT_BYTES:
            log.warning("client does not read", unsent_bytes=unsent_bytes)
            transport.abort()

    def presence(self, number: ConnectionId, request_id: str) -> ClientPresence:
        """Return whether the client still waits for the request.

        Asked right before a request is decided, and right before each of its offers is sent.
        """
        connection = self.connections.get(number)
        return ClientPresence.DISCONNECTED if connection is None else connection.presence(request_id)

    def sweep(self) -> None:
        """Close the connections that sent nothing valid for too long, or stopped within a line."""
        now = asyncio.get_running_loop().time()
        for number, connection in list(self.connections.items()):
            activity = ConnectionActivity(
                connection.opened_at,
                connection.last_valid_at,
                self._core.sessions.is_in_use(number),
                connection.partial_line,
            )
            if activity.is_closed_at(now):
                connection.writer.close()

    async def close(self) -> None:
        """Close all connections and wait until what was written is sent, for LINGER_S at most."""
        if self._listener is not None:
            self._listener.close()
        for connection in self.connections.values():
            connection.writer.close()
        loop = asyncio.get_running_loop()
        until = loop.time() + LINGER_S
        while self.connections and loop.time() < until:  # noqa: ASYNC110 - bounded, and once in a life
            await asyncio.sleep(CLOSE_CHECK_S)
        for connection in self.connections.values():  # they do not read
            connection.writer.transport.abort()
        if self._listener is not None:
            await self._listener.wait_closed()
