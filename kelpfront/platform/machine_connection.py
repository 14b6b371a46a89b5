"""One open connection to a machine, and the offers and health checks that are pending on it.

`connection_pool` decides which connection is used for which request.
"""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from dataclasses import dataclass, field

from kelpfront.platform.intents import AttemptKey, Offer, SendHealthCheck

MAX_REMEMBERED_REQUESTS = 64
"""Requests remembered per connection; a duplicate answer arrives some milliseconds after the first one."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: the kernel discards unsent data


@dataclass(slots=True, eq=False)
class MachineConnection:
    """A connection to one machine.

    Attributes:
        used_at: when an offer or health check was last written, in seconds of the event loop's clock.
        waiting: attempts and health checks whose answer is pending.
        sent: the number of the last attempt that was sent on this connection, by request id.
        is_retired: whether a request was not answered in time, so that nothing more is sent.
        is_read_to_end: whether everything that the machine sent was read, up to the end of its stream.
        drain_timer: closes the connection if the machine does not close it after the half-close.
        is_closed: whether the connection was closed.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used_at: float
    waiting: dict[AttemptKey, None] = field(default_factory=dict)
    sent: dict[str, int] = field(default_factory=dict)
    is_retired: bool = False
    is_read_to_end: bool = False
    drain_timer: asyncio.TimerHandle | None = None
    is_closed: bool = False

    @property
    def is_closing(self) -> bool:
        """Whether the connection can no longer be written to."""
        return self.writer.is_closing()

    @property
    def is_usable(self) -> bool:
        """Whether lines may be written to the connection."""
        return not (self.is_retired or self.writer.is_closing())

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the local kernel has not accepted yet."""
        return self.writer.transport.get_write_buffer_size()

    @property
    def is_idle(self) -> bool:
        """Whether no answer is pending and no bytes are unsent."""
        return not self.waiting and not self.unsent_bytes

    @property
    def has_unacknowledged_bytes(self) -> bool:
        """Whether the local kernel holds sent bytes that the machine has not acknowledged.

        If so, the connection only appeared to be open, or the machine is cut off.
        """
        fd = self.writer.get_extra_info("socket").fileno()
        try:
            queued_bytes = fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(4))
        except OSError:  # the system does not report it
            return False
        return any(queued_bytes)

    def discard_unacknowledged_bytes(self) -> None:
        """Make the kernel discard unacknowledged bytes on close; the caller has to close at once."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def end_output(self) -> bool:
        """Half-close the connection after the bytes written so far; return False if it was reset."""
        try:
            self.writer.write_eof()
        except OSError:
            return False
        return True

    def accepts(self, intent: Offer | SendHealthCheck) -> bool:
        """Return whether the request can be sent at once and its answer be distinguished from all others.

        Four cases are excluded. A machine may have forgotten a connection that was used before, so a repeated
        health check is not sent there. Behind unsent bytes, the request would be sent later, when its machine
        drains or its client has left. If the machine has closed the connection and that is still unread,
        nothing could prove that the request was not executed. If an earlier attempt of the request was sent
        on the connection, answers to both have the same id.
        """
        if not self.is_usable or self.unsent_bytes or intent.key.request_id in self.sent:
            return False
        if isinstance(intent, SendHealthCheck) and intent.on_new_connection and self.sent:
            return False
        if self.reader.at_eof():
            return False
        # If no answer is pending, unread input can only be the end of the stream.
        return bool(self.waiting) or not self._has_unread()

    def _has_unread(self) -> bool:
        poll = select.poll()
        poll.register(self.writer.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def on_sent(self, key: AttemptKey) -> None:
        """Record an offer or a health check that is about to be written."""
        self.waiting[key] = None
        self.sent[key.request_id] = key.attempt_number
        if len(self.sent) > MAX_REMEMBERED_REQUESTS:
            del self.sent[next(iter(self.sent))]
