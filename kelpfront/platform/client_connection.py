"""One client's connection and all bytes that have arrived on it, whether they have been read or not."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import SupportsIndex

from kelpfront.platform.idle_connections import NO_VALID_MESSAGE_YET, PartialLine
from kelpfront.platform.intents import ClientPresence
from kelpfront.platform.listener import RECEIVE_BYTES
from kelpfront.platform.messages import LineSplitter, contains_withdrawal

MAX_PEEK_BYTES = 256 << 10
"""Limit of unread bytes in the kernel that are searched for a line that withdraws a request."""


MAX_BUFFERED_BYTES = 4 << 10
"""Bytes buffered in a stream beyond which no more are received; asyncio pauses at twice a stream's limit."""


class PeekableReader(asyncio.StreamReader):
    """A stream whose unread bytes can be inspected.

    Attributes:
        unread: bytes that were read from the kernel and have not been returned by `read` yet.
        has_ended: whether the client has closed its sending side.
        has_backlog: whether more bytes may have been left in the kernel after the last receive.
    """

    def __init__(self) -> None:
        super().__init__(limit=MAX_BUFFERED_BYTES // 2, loop=asyncio.get_running_loop())
        self.unread = bytearray()
        self.has_ended = False
        self.has_backlog = False

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Buffer bytes that were read from the kernel."""
        received = bytes(data)
        self.unread += received
        self.has_backlog = len(received) >= RECEIVE_BYTES or len(self.unread) > MAX_BUFFERED_BYTES
        super().feed_data(received)

    def feed_eof(self) -> None:
        """Record that the client has closed its sending side."""
        self.has_ended = True
        super().feed_eof()

    async def read(self, n: int = -1) -> bytes:
        """Read up to `n` bytes; they no longer count as unread."""
        data = await super().read(n)
        del self.unread[: len(data)]
        return data


@dataclass(slots=True, eq=False)
class ClientConnection:
    """One open connection. Times are seconds of the event loop's clock.

    Attributes:
        last_valid_at: when the client last sent a valid message; NO_VALID_MESSAGE_YET before the first one.
        partial_line: the line whose beginning has arrived, but not its end.
        splitter: splits the bytes read into lines.
        pending_lines: lines that have been read, but not processed.
    """

    reader: PeekableReader
    writer: asyncio.StreamWriter
    opened_at: float
    last_valid_at: float = NO_VALID_MESSAGE_YET
    partial_line: PartialLine | None = None
    splitter: LineSplitter = field(default_factory=LineSplitter)
    pending_lines: list[bytes] = field(default_factory=list)

    def presence(self, request_id: str) -> ClientPresence:
        """Return whether the client still waits for the request.

        This takes into account all that has arrived: the pending lines, the bytes buffered in the stream, and
        the unread bytes in the kernel.
        """
        if self.reader.has_ended or self.writer.is_closing():
            return ClientPresence.DISCONNECTED
        kernel = _peek_kernel(self.writer.get_extra_info("socket").fileno())
        if kernel is None:
            return ClientPresence.DISCONNECTED
        if not (kernel or self.reader.unread or self.pending_lines):
            return ClientPresence.WAITING
        lines = b"\n".join((*self.pending_lines, self.splitter.rest))
        unread = b"".join((lines, self.reader.unread, kernel))
        if contains_withdrawal(unread, request_id):
            return ClientPresence.WITHDRAWN
        return ClientPresence.WAITING


def _peek_kernel(fd: int) -> bytes | None:
    """Return the unread bytes in the kernel; None if the connection has ended."""
    poll = select.poll()
    poll.register(fd, select.POLLIN | select.POLLRDHUP)
    unread = b""
    for _, events in poll.poll(0):
        if events & ~select.POLLIN:
            return None
        peeked = _peek(fd)
        if peeked == b"":
            return None
        unread = peeked or b""
    return unread


def _peek(fd: int) -> bytes | None:
    """Return the unread bytes: empty if the connection has ended, None if the read would block or fails."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fd)
    try:
        return sock.recv(MAX_PEEK_BYTES, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except ConnectionError:
        return b""
    except OSError:
        return None
    finally:
        sock.detach()
