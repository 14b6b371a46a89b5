"""File descriptors that the connections to all machines hold together, and who waits for one.

Which connections a machine needs is decided by its `connection_pool`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from kelpfront.platform.machine_connection import MachineConnection

MAX_RECONNECTING = 32
"""Connections that are being opened only to receive, in all: others' turn comes between them."""

MAX_SERVED_AT_ONCE = 32
"""Pools that wait for a descriptor and are tried in one go."""


class DescriptorUser(Protocol):
    """A pool of connections to one machine, as the budget sees it."""

    def try_again(self) -> None:
        """Open a connection if it is still wanted and a descriptor is free."""

    def close_idle(self, connection: MachineConnection) -> None:
        """Close a connection on which nothing waits."""


class DescriptorBudget:
    """Descriptors that all pools together hold.

    Past `limit`, only a pool without a connection opens one: as long as `may_exceed` finds a descriptor for
    it, and else on one of a connection on which nothing waits.

    Attributes:
        in_use: descriptors that are held, also of connections that are being opened.
        reconnecting: held while a connection is being opened only to receive.
    """

    def __init__(self, limit: int, may_exceed: Callable[[], bool]) -> None:
        self.limit = limit
        self.in_use = 0
        self.reconnecting = asyncio.Semaphore(MAX_RECONNECTING)
        self._may_exceed = may_exceed
        self._connections: dict[MachineConnection, DescriptorUser] = {}  # the longest unused first
        self._waiting_to_send: dict[DescriptorUser, None] = {}
        self._waiting_to_receive: dict[DescriptorUser, None] = {}
        self._serve_scheduled = False

    def is_within_limit(self) -> bool:
        """Return whether one more connection stays within the limit."""
        return self.in_use < self.limit

    def may_open_to_receive(self) -> bool:
        """Return whether a pool without a connection may open one to receive."""
        return self.is_within_limit() or self._may_exceed()

    def may_open_to_send(self) -> bool:
        """Return whether a pool without a connection may open one past the limit, which is made room for."""
        return self._may_exceed() or self._close_longest_unused()

    def acquire(self, user: DescriptorUser) -> None:
        """Take a descriptor for a connection that is about to be opened."""
        self.stop_waiting(user)
        self.in_use += 1

    def on_used(self, connection: MachineConnection, user: DescriptorUser) -> None:
        """Take note that a connection was opened or used."""
        self._connections.pop(connection, None)
        self._connections[connection] = user

    def release(self, connection: MachineConnection | None = None) -> None:
        """Give a descriptor back, of a connection or of an attempt to open one."""
        self.in_use -= 1
        if connection is not None:
            del self._connections[connection]
        self.on_idle()

    def on_idle(self) -> None:
        """Take note that a connection is idle or closed, so that it may make way for who waits."""
        has_waiting = self._waiting_to_send or self._waiting_to_receive
        if has_waiting and not self._serve_scheduled:
            self._serve_scheduled = True
            asyncio.get_running_loop().call_soon(self.serve_waiting)

    def serve_waiting(self) -> None:
        """Have those that wait longest take what descriptors there are; first who has to send."""
        self._serve_scheduled = False
        for waiting in (self._waiting_to_send, self._waiting_to_receive):
            for user in list(waiting)[:MAX_SERVED_AT_ONCE]:
                user.try_again()
                if user in waiting:
                    break

    def wait(self, user: DescriptorUser, *, to_send: bool) -> None:
        """Have a pool wait, for which there is no descriptor now."""
        if to_send:
            self._waiting_to_receive.pop(user, None)
            self._waiting_to_send[user] = None
        elif user not in self._waiting_to_send:
            self._waiting_to_receive[user] = None

    def stop_waiting(self, user: DescriptorUser) -> None:
        """Have a pool wait no more."""
        self._waiting_to_send.pop(user, None)
        self._waiting_to_receive.pop(user, None)

    def _close_longest_unused(self) -> bool:
        for connection, user in self._connections.items():
            if connection.is_idle:
                user.close_idle(connection)
                return True
        return False
