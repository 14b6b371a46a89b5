"""One open connection to a machine, and the offers and health checks that wait on it.

Which connection is used for what is decided by `connection_pool`.
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
"""Requests that a connection remembers: a second answer comes some milliseconds after the first."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER for no time: the kernel discards what it holds


@dataclass(slots=True, eq=False)
class MachineConnection:
    """A connection to one machine.

    Attributes:
        used_at: when an offer or a health check was last written, in seconds of the loop's clock.
        waiting: attempts and health checks that wait for their answer on it.
        sent: request ids, and the last attempt of each that was sent here.
        is_spent: whether something on it was not answered in time, so that it is used no more.
        is_closed: whether it has ended.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used_at: float
    waiting: dict[AttemptKey, None] = field(default_factory=dict)
    sent: dict[str, int] = field(default_factory=dict)
    is_spent: bool = False
    is_closed: bool = False

    @property
    def is_closing(self) -> bool:
        """Whether nothing can be written to it."""
        return self.writer.is_closing()

    @property
    def is_usable(self) -> bool:
        """Whether lines may be written to it."""
        return not (self.is_spent or self.writer.is_closing())

    @property
    def unsent_bytes(self) -> int:
        """Bytes that this end's kernel has not taken."""
        return self.writer.transport.get_write_buffer_size()

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits on it, neither for an answer nor to be sent."""
        return not self.waiting and not self.unsent_bytes

    @property
    def has_unacknowledged_bytes(self) -> bool:
        """Whether bytes of ours are in this end's kernel: it only seemed up, or is cut off."""
        fd = self.writer.get_extra_info("socket").fileno()
        try:
            queued = fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(4))
        except OSError:  # the system does not say
            return False
        return any(queued)

    def discard_unacknowledged_bytes(self) -> None:
        """Have the kernel discard what it holds as the connection is ended, which has to follow at once."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def accepts(self, intent: Offer | SendHealthCheck) -> bool:
        """Return whether it may be sent here at once, and its answer be told from all others.

        Not behind bytes that are stuck: it would be sent later, when its machine drains or its client has
        left. Not where the machine's end has closed and nobody has read that yet: it could not be proved that
        it was not executed. Not where an earlier attempt of the request was sent: answers bear the same id.
        """
        if not self.is_usable or self.unsent_bytes or intent.key.request_id in self.sent:
            return False
        if self.reader.at_eof():
            return False
        # On a connection that owes nothing, what is unread can only be its end.
        return bool(self.waiting) or not self._has_unread()

    def _has_unread(self) -> bool:
        poll = select.poll()
        poll.register(self.writer.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def on_sent(self, key: AttemptKey) -> None:
        """Take note of an offer or a health check that is about to be written."""
        self.waiting[key] = None
        self.sent[key.request_id] = key.attempt_number
        if len(self.sent) > MAX_REMEMBERED_REQUESTS:
            del self.sent[next(iter(self.sent))]
