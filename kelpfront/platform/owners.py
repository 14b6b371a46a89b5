"""The listener for owners: lines in by turns, answers out, all of it bounded."""

from __future__ import annotations

import asyncio
import itertools
import select
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import SupportsIndex

import structlog

from kelpfront.platform.admission import (
    ACCEPT_BURST,
    TURN_LINES,
    UNREAD_MOST,
    EvictionOrder,
    Line,
    closed_for_silence,
)
from kelpfront.platform.config import Address
from kelpfront.platform.core import Core
from kelpfront.platform.intents import Conn, Presence, Tell
from kelpfront.platform.listener import Listener
from kelpfront.platform.messages import LINE_MOST, BadMessageError, Lines, decode, gives_up
from kelpfront.platform.turns import Turns, Unread

log = structlog.get_logger("kelpfront.platform.owners")

LISTEN_QUEUE = 1024  # of the kernel: a connection that finds it full is tried again only after a second
SWEEP_S = 0.25
CLOSE_LOOK_S = 0.005
READ_SIZE = 4 * LINE_MOST
PEEK_MOST = 256 << 10  # bytes in the kernel that are looked through for a word that gives a set-up up
LINGER_S = 1.0  # for what is still to be sent on a connection that is being closed


class _Inbox(asyncio.StreamReader):
    """A stream that can be looked into: `held` is what has been read from the kernel and by nobody else."""

    def __init__(self) -> None:
        super().__init__(limit=LINE_MOST, loop=asyncio.get_running_loop())
        self.held = bytearray()
        self.ended = False

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        self.held += bytes(data)
        super().feed_data(data)

    def feed_eof(self) -> None:
        self.ended = True
        super().feed_eof()

    async def read(self, n: int = -1) -> bytes:
        data = await super().read(n)
        del self.held[: len(data)]
        return data


@dataclass(slots=True, eq=False)
class _Owner:
    inbox: _Inbox
    writer: asyncio.StreamWriter
    opened_at: float
    heard_at: float = -1.0
    line: Line | None = None  # it has begun one and not ended it
    cutter: Lines = field(default_factory=Lines)
    unheard: list[bytes] = field(default_factory=list)  # lines that wait for their turn

    def presence(self, call: str) -> Presence:
        """By all that has come: lines that wait, what the stream holds, and what lies in the kernel."""
        if self.inbox.ended or self.writer.is_closing():
            return Presence.LEFT
        kernel = b""
        fd = self.writer.get_extra_info("socket").fileno()
        poll = select.poll()
        poll.register(fd, select.POLLIN | select.POLLRDHUP)
        for _, found in poll.poll(0):
            if found & ~select.POLLIN:
                return Presence.LEFT
            peeked = _peek(fd)
            if peeked == b"":
                return Presence.LEFT
            kernel = peeked or b""
        if not (kernel or self.inbox.held or self.unheard):
            return Presence.HERE
        unread = b"".join((b"\n".join((*self.unheard, self.cutter.rest)), self.inbox.held, kernel))
        return Presence.WITHDRAWN if gives_up(unread, call) else Presence.HERE


def _peek(fd: int) -> bytes | None:
    """What lies unread in the kernel: no bytes where the connection has ended, None where it does not say."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno=fd)
    try:
        return sock.recv(PEEK_MOST, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except ConnectionError:
        return b""
    except OSError:
        return None
    finally:
        sock.detach()


class Front:
    """`most` tells how many connections may be held now, `turns` since when what is read may lie there.

    `burst`: so many more sockets may be open, of connections just accepted or being closed.
    """

    def __init__(
        self,
        core: Core,
        now: Callable[[], float],
        flush: Callable[[], None],
        most: Callable[[], int],
        turns: Turns | None = None,
        burst: int = ACCEPT_BURST,
    ) -> None:
        self._core, self._now, self._flush, self._most = core, now, flush, most
        self._turns, self._burst = turns, burst
        self._owners: dict[Conn, _Owner] = {}
        self._eviction: EvictionOrder[Conn] = EvictionOrder()
        self._numbers = itertools.count(1)
        self._lingering: dict[asyncio.StreamWriter, None] = {}
        self._server: Listener | None = None

    def __len__(self) -> int:
        """Connections that are held."""
        return len(self._owners)

    async def start(self, address: Address) -> int:
        """Listens; returns the port."""
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
        most = lambda: self._most() + self._burst  # noqa: E731
        self._server = Listener(sock, self._serve, _Inbox, self._burst, most, self._full)
        self._server.start(LISTEN_QUEUE)
        return int(sock.getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        most = self._most()
        while len(self._owners) >= most:
            if not self._make_room():
                self._core.reached("owners' connections")
                writer.transport.abort()
                return
        conn = next(self._numbers)
        assert isinstance(reader, _Inbox)
        owner = _Owner(reader, writer, asyncio.get_running_loop().time())
        peername = writer.get_extra_info("peername")
        self._owners[conn] = owner
        self._eviction.opened(conn, owner.opened_at)
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, loop.call_soon, self._eviction.looked_at, conn)  # after the next poll
        self._core.sessions.open(self._now(), conn, peername[0] if peername else "")
        self._flush()
        try:
            await self._read(conn, owner)
        except OSError:
            pass
        except BadMessageError:
            self._core.counts["unreadable lines"] += 1
        finally:
            self._owners.pop(conn, None)
            self._eviction.gone(conn)
            self._core.owner_closed(self._now(), conn)
            self._flush()
            writer.close()
            if writer.transport.get_write_buffer_size():  # one that does not read would hold it for good
                self._lingering[writer] = None
                asyncio.get_running_loop().call_later(LINGER_S, self._end_lingering, writer)

    def _end_lingering(self, writer: asyncio.StreamWriter) -> None:
        self._lingering.pop(writer, None)
        writer.transport.abort()

    def _full(self) -> None:
        """No descriptor is left for one more: what only lingers gives its own back."""
        for writer in list(self._lingering):
            self._end_lingering(writer)
        self.shrink(self._most())

    def shrink(self, most: int) -> bool:
        """Closes idle connections until no more than `most` are held; whether that could be done."""
        while len(self._owners) > most:
            if not self._make_room():
                return False
        return True

    async def _read(self, conn: Conn, owner: _Owner) -> None:
        """Takes what has arrived, in turns. Set-ups are decided when the turn's lines have been heard."""
        loop = asyncio.get_running_loop()
        unread = Unread(self._turns)
        while not owner.writer.is_closing() and (data := await owner.inbox.read(READ_SIZE)):
            unread.read()
            owner.unheard = owner.cutter.feed(data)
            owner.line = Line.after(owner.line, bool(owner.unheard), owner.cutter.partial, loop.time())
            while owner.unheard:
                try:
                    turn, owner.unheard = owner.unheard[:TURN_LINES], owner.unheard[TURN_LINES:]
                    for line in turn:
                        if self._core.owner_says(self._now(), conn, decode(line), unread.for_ms()):
                            owner.heard_at = loop.time()
                            self._eviction.heard(conn, owner.heard_at)
                finally:
                    self._core.settle(self._now())
                    self._flush()
                await asyncio.sleep(0)

    def _make_room(self) -> bool:
        conn = self._eviction.next_evicted(asyncio.get_running_loop().time(), self._core.carries)
        if conn is None:
            return False
        self._eviction.gone(conn)
        writer = self._owners.pop(conn).writer
        if writer.transport.get_write_buffer_size():  # it does not read
            writer.transport.abort()
        writer.close()  # not broken: an answer that has just been written may be on its way
        self._core.owner_closed(self._now(), conn)
        return True

    def tell(self, intent: Tell) -> None:
        owner = self._owners.get(intent.conn)
        if owner is None or owner.writer.is_closing():
            self._core.untold(self._now(), intent)
            return
        owner.writer.write(intent.data)
        transport = owner.writer.transport
        if transport.get_write_buffer_size() > UNREAD_MOST:
            log.warning("an owner does not read", unread=transport.get_write_buffer_size())
            transport.abort()

    def presence(self, conn: Conn, call: str) -> Presence:
        """Asked right before a set-up is decided, and right before each of its attempts goes out."""
        owner = self._owners.get(conn)
        return Presence.LEFT if owner is None else owner.presence(call)

    def sweep(self) -> None:
        now = asyncio.get_running_loop().time()
        for conn, owner in list(self._owners.items()):
            carries = self._core.carries(conn)
            if closed_for_silence(owner.opened_at, owner.heard_at, carries, owner.line, now):
                owner.writer.close()

    async def close(self) -> None:
        """Closes all connections and waits until what was written is out, for LINGER_S at most."""
        if self._server is not None:
            self._server.close()
        for owner in self._owners.values():
            owner.writer.close()
        until = asyncio.get_running_loop().time() + LINGER_S
        while self._owners and asyncio.get_running_loop().time() < until:  # noqa: ASYNC110 - bounded
            await asyncio.sleep(CLOSE_LOOK_S)
        for owner in self._owners.values():  # they do not read
            owner.writer.transport.abort()
