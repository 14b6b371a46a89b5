"""The server for clients: reads their lines in turns and writes their answers, within limits.

Connections are accepted by `listener`, the bytes of one connection are kept by `client_connection`, and
messages are interpreted by the core.
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
from kelpfront.platform.descriptor_shares import MAX_ACCEPT_BURST
from kelpfront.platform.idle_connections import ConnectionActivity, EvictionOrder, PartialLine
from kelpfront.platform.intents import ClientPresence, ConnectionId, SendToClient
from kelpfront.platform.limits import Limit
from kelpfront.platform.listener import Listener, ListenerLimits
from kelpfront.platform.messages import MAX_LINE_BYTES, InvalidMessageError, decode
from kelpfront.platform.read_timing import TimedSelector, UnreadTime

log = structlog.get_logger("kelpfront.platform.client_connections")

LISTEN_BACKLOG = 1024
"""Backlog of the listening socket; a client that finds it full retries only after a second."""

SWEEP_INTERVAL_S = 0.25
"""Interval between checks for silent connections, which are closed."""

CLOSE_CHECK_INTERVAL_S = 0.005
"""Interval between checks, during shutdown, whether all connections are closed."""

MAX_READ_BYTES = 4 * MAX_LINE_BYTES
"""Maximum size of one read."""

LINES_PER_BATCH = 256
"""Lines of one connection that are processed before the other connections have their turn."""

MAX_UNSENT_BYTES = 256 << 10
"""Bytes that a client may leave unread before its connection is aborted."""

LINGER_TIMEOUT_S = 1.0
"""How long a connection that is being closed may take to send its buffered bytes."""


class ServerContext(msgspec.Struct, frozen=True):
    """What the server for clients depends on.

    Attributes:
        access: access to the core.
        max_connections: returns how many connections may be open now.
        selector: records how long data may have been unread before it is read; None if that is not measured.
        burst: sockets that may be open beyond the limit, for connections just accepted or being closed.
    """

    access: CoreAccess
    max_connections: Callable[[], int]
    selector: TimedSelector | None = None
    burst: int = MAX_ACCEPT_BURST


class ClientServer:
    """Listens for clients, reads their lines and writes their answers.

    Attributes:
        connections: the open connections, by their id.
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
        self._connection_ids = itertools.count(1)
        self._lingering: dict[asyncio.StreamWriter, None] = {}
        self._listener: Listener | None = None

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self.connections)

    @property
    def is_serving(self) -> bool:
        """Whether new connections are accepted."""
        return self._listener is not None and self._listener.is_serving()

    async def start(self, address: Address) -> int:
        """Start listening; return the port.

        Raises:
            OSError: the address is not available.
        """
        family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
        # The protocol must not be 0: asyncio disables Nagle's algorithm only on sockets that report
        # IPPROTO_TCP, and accepted sockets report the listener's protocol. With Nagle's algorithm, a second
        # answer waits 40 ms for an ACK.
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((address.host, address.port))
        except OSError:
            sock.close()
            raise
        limits = ListenerLimits(self._burst, self._max_open_sockets, self._on_full)
        self._listener = Listener(sock, self._serve, PeekableReader, limits)
        self._listener.start(LISTEN_BACKLOG)
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
        connection_id = next(self._connection_ids)
        connection = ClientConnection(reader, writer, asyncio.get_running_loop().time())
        self._open(connection_id, connection)
        try:
            await self._read(connection_id, connection)
        except OSError:
            pass  # reset by the client
        except InvalidMessageError:
            self._core.counters.unreadable_lines += 1
        finally:  # also if the task is cancelled: the core must not keep this connection
            self.connections.pop(connection_id, None)
            self._eviction.remove(connection_id)
            self._core.on_client_disconnected(self._now(), connection_id)
            self._flush()
            self._close_writer(writer)

    def _open(self, connection_id: ConnectionId, connection: ClientConnection) -> None:
        self.connections[connection_id] = connection
        self._eviction.on_opened(connection_id, connection.opened_at)
        loop = asyncio.get_running_loop()
        # Runs after the next poll, when all data that had arrived before the connection opened has been read.
        loop.call_soon(loop.call_soon, loop.call_soon, self._eviction.on_first_read, connection_id)
        peername = connection.writer.get_extra_info("peername")
        self._core.sessions.open(self._now(), connection_id, peername[0] if peername else "")
        self._flush()

    def _close_writer(self, writer: asyncio.StreamWriter) -> None:
        writer.close()
        if writer.transport.get_write_buffer_size():  # a client that does not read would keep it open forever
            self._lingering[writer] = None
            asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S, self._end_lingering, writer)

    def _end_lingering(self, writer: asyncio.StreamWriter) -> None:
        self._lingering.pop(writer, None)
        writer.transport.abort()

    async def _read(self, connection_id: ConnectionId, connection: ClientConnection) -> None:
        """Read and process lines, in turns with the other connections, until the connection ends."""
        loop = asyncio.get_running_loop()
        unread_time = UnreadTime(self._selector)
        while not connection.writer.is_closing():
            data = await connection.reader.read(MAX_READ_BYTES)
            if not data:
                return
            unread_time.on_read(has_backlog=connection.reader.has_backlog)
            connection.pending_lines = connection.splitter.feed(data)
            connection.partial_line = PartialLine.after_read(
                connection.partial_line,
                loop.time(),
                has_ended=bool(connection.pending_lines),
                has_partial=connection.splitter.has_partial_line,
            )
            while connection.pending_lines:
                self._process_batch(connection_id, connection, unread_time)
                await asyncio.sleep(0)

    def _process_batch(
        self, connection_id: ConnectionId, connection: ClientConnection, unread_time: UnreadTime
    ) -> None:
        """Process one batch of lines.

        New requests are submitted after the whole batch was received, also if a line is malformed.
        """
        loop = asyncio.get_running_loop()
        lines = connection.pending_lines[:LINES_PER_BATCH]
        connection.pending_lines = connection.pending_lines[LINES_PER_BATCH:]
        try:
            for line in lines:
                message = decode(line)
                if self._core.on_client_message(self._now(), connection_id, message, unread_time.unread_ms()):
                    connection.last_valid_at = loop.time()
                    self._eviction.on_active(connection_id, connection.last_valid_at)
        finally:
            self._core.submit_arrivals(self._now())
            self._flush()

    # ---- All connections ------------------------------------------------------------------------------

    def _on_full(self) -> None:
        """Free descriptors: abort lingering connections and close idle ones above the limit."""
        for writer in list(self._lingering):
            self._end_lingering(writer)
        self.shrink(self._max_connections())

    def shrink(self, limit: int) -> bool:
        """Close idle connections until at most `limit` are open; return whether that was possible."""
        while len(self.connections) > limit:
            if not self._evict_one():
                return False
        return True

    def _evict_one(self) -> bool:
        now = asyncio.get_running_loop().time()
        connection_id = self._eviction.next_to_evict(now, self._core.sessions.is_in_use)
        if connection_id is None:
            return False
        self._eviction.remove(connection_id)
        writer = self.connections.pop(connection_id).writer
        if writer.transport.get_write_buffer_size():  # the client does not read
            writer.transport.abort()
        writer.close()  # close, not abort: an answer that was just written may be in transit
        self._core.on_client_disconnected(self._now(), connection_id)
        return True

    def send(self, intent: SendToClient) -> None:
        """Write a line, or notify the core that it cannot be written."""
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

    def presence(self, connection_id: ConnectionId, request_id: str) -> ClientPresence:
        """Return whether the client still waits for the request.

        This is called right before a request is submitted to the scheduler and before each offer is sent.
        """
        connection = self.connections.get(connection_id)
        return ClientPresence.DISCONNECTED if connection is None else connection.presence(request_id)

    def sweep(self) -> None:
        """Close connections that have sent nothing valid, or left a line incomplete, for too long."""
        now = asyncio.get_running_loop().time()
        for connection_id, connection in list(self.connections.items()):
            activity = ConnectionActivity(
                connection.opened_at,
                connection.last_valid_at,
                self._core.sessions.is_in_use(connection_id),
                connection.partial_line,
            )
            if activity.is_closed_at(now):
                connection.writer.close()

    async def close(self) -> None:
        """Close all connections; wait at most LINGER_TIMEOUT_S until their buffered bytes are sent."""
        if self._listener is not None:
            self._listener.close()
        for connection in self.connections.values():
            connection.writer.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + LINGER_TIMEOUT_S
        while self.connections and loop.time() < deadline:  # noqa: ASYNC110 - bounded, and runs once per process
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
        for connection in self.connections.values():  # their clients do not read
            connection.writer.transport.abort()
        if self._listener is not None:
            await self._listener.wait_closed()
