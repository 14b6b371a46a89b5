"""The listener for owners: lines in by turns, answers out, all of it bounded."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from kelpfront.platform.admission import (
    ACCEPT_BURST,
    TURN_LINES,
    UNREAD_MOST,
    EvictionOrder,
    closed_for_silence,
)
from kelpfront.platform.config import Address
from kelpfront.platform.core import Core
from kelpfront.platform.intents import Conn, Tell
from kelpfront.platform.listener import Listener
from kelpfront.platform.messages import LINE_MOST, BadMessageError, Lines, decode
from kelpfront.platform.turns import Turns, Unread

log = structlog.get_logger("kelpfront.platform.owners")

LISTEN_QUEUE = 1024  # of the kernel: a connection that finds it full is tried again only after a second
SWEEP_S = 0.25
CLOSE_LOOK_S = 0.005
READ_SIZE = 4 * LINE_MOST
LINGER_S = 1.0  # for what is still to be sent on a connection that is being closed


@dataclass(slots=True, eq=False)
class _Owner:
    writer: asyncio.StreamWriter
    opened_at: float
    heard_at: float = -1.0
    partial: bool = False  # it has begun a line and not ended it


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
        self._server = Listener(sock, self._serve, LINE_MOST, self._burst, most, self._full)
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
        owner = _Owner(writer, asyncio.get_running_loop().time())
        peername = writer.get_extra_info("peername")
        self._owners[conn] = owner
        self._eviction.opened(conn, owner.opened_at)
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, loop.call_soon, self._eviction.looked_at, conn)  # after the next poll
        self._core.sessions.open(self._now(), conn, peername[0] if peername else "")
        self._flush()
        try:
            await self._read(conn, owner, reader)
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

    async def _read(self, conn: Conn, owner: _Owner, reader: asyncio.StreamReader) -> None:
        """Takes what has arrived, in turns. Set-ups are decided when the turn's lines have been heard."""
        cutter, loop = Lines(), asyncio.get_running_loop()
        unread = Unread(self._turns)
        while not owner.writer.is_closing() and (data := await reader.read(READ_SIZE)):
            unread.read()
            lines = cutter.feed(data)
            owner.partial = cutter.partial
            for start in range(0, len(lines), TURN_LINES):
                try:
                    for line in lines[start : start + TURN_LINES]:
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

    def sweep(self) -> None:
        now = asyncio.get_running_loop().time()
        for conn, owner in list(self._owners.items()):
            carries = self._core.carries(conn)
            if closed_for_silence(owner.opened_at, owner.heard_at, carries, owner.partial, now):
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
