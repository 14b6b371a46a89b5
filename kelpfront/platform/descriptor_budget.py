"""The budget of file descriptors for connections to machines, and the queue of pools that wait for one.

Each machine's `connection_pool` decides which connections it needs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from kelpfront.platform.machine_connection import MachineConnection

MAX_RECONNECTING = 32
"""Limit of connections being opened only to receive, so that others get their turn in between."""

MAX_SERVED_PER_PASS = 32
"""Waiting pools of each queue that are tried in one pass."""


class DescriptorUser(Protocol):
    """A pool of connections to one machine, as the budget sees it."""

    def open_if_needed(self) -> None:
        """Open a connection if it is still needed and a descriptor is available."""

    def close_idle(self, connection: MachineConnection) -> None:
        """Close a connection on which no answer is awaited."""


class DescriptorBudget:
    """The descriptors that all pools hold together.

    Above `limit`, only a pool without a connection may open one: while `may_exceed` allows it, or, if the
    pool has to send, with the descriptor of the least recently used idle connection, which is closed.

    Attributes:
        limit: descriptors up to which every pool may open connections.
        in_use: descriptors that are held, including those of connections that are being opened.
        reconnecting: limits the connections that are being opened only to receive.
    """

    def __init__(self, limit: int, may_exceed: Callable[[], bool]) -> None:
        self.limit = limit
        self.in_use = 0
        self.reconnecting = asyncio.Semaphore(MAX_RECONNECTING)
        self._may_exceed = may_exceed
        self._connections: dict[MachineConnection, DescriptorUser] = {}  # least recently used first
        self._waiting_to_send: dict[DescriptorUser, None] = {}
        self._waiting_to_receive: dict[DescriptorUser, None] = {}
        self._serve_scheduled = False

    def is_within_limit(self) -> bool:
        """Return whether one more connection stays within the limit."""
        return self.in_use < self.limit

    def may_open_to_receive(self) -> bool:
        """Return whether a pool without a connection may open one to receive."""
        return self.is_within_limit() or self._may_exceed()

    def ensure_descriptor_to_send(self) -> bool:
        """Return whether a pool without a connection may open one above the limit; may close an idle one."""
        return self._may_exceed() or self._close_least_recently_used()

    def acquire(self, user: DescriptorUser) -> None:
        """Take a descriptor for a connection that is about to be opened."""
        self.stop_waiting(user)
        self.in_use += 1

    def on_used(self, connection: MachineConnection, user: DescriptorUser) -> None:
        """Record that a connection was opened or used."""
        self._connections.pop(connection, None)
        self._connections[connection] = user

    def release(self, connection: MachineConnection | None = None) -> None:
        """Return the descriptor of a closed connection, or of an attempt to open one that failed."""
        self.in_use -= 1
        if connection is not None:
            del self._connections[connection]
        self.on_idle()

    def on_idle(self) -> None:
        """Schedule a pass over the waiting pools, because a connection became idle or was closed."""
        has_waiting_users = self._waiting_to_send or self._waiting_to_receive
        if has_waiting_users and not self._serve_scheduled:
            self._serve_scheduled = True
            asyncio.get_running_loop().call_soon(self.serve_waiting)

    def serve_waiting(self) -> None:
        """Let waiting pools open connections, the longest waiting first, and senders before receivers."""
        self._serve_scheduled = False
        for waiting in (self._waiting_to_send, self._waiting_to_receive):
            for user in list(waiting)[:MAX_SERVED_PER_PASS]:
                user.open_if_needed()
                if user in waiting:
                    break

    def wait(self, user: DescriptorUser, *, to_send: bool) -> None:
        """Queue a pool for which no descriptor is available now."""
        if to_send:
            self._waiting_to_receive.pop(user, None)
            self._waiting_to_send[user] = None
        elif user not in self._waiting_to_send:
            self._waiting_to_receive[user] = None

    def stop_waiting(self, user: DescriptorUser) -> None:
        """Remove a pool from the queues."""
        self._waiting_to_send.pop(user, None)
        self._waiting_to_receive.pop(user, None)

    def _close_least_recently_used(self) -> bool:
        for connection, user in self._connections.items():
            if connection.is_idle:
                user.close_idle(connection)
                return True
        return False
