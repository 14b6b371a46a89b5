"""Clients' connections, and the routing of lines: to a connection, to another of the client, or later. Pure.

A session is the core's view of one connection; `client_connections` handles its socket.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from kelpfront.platform.intents import ConnectionId, Outbox, SendToClient
from kelpfront.platform.limits import Limit, LimitMonitor
from kelpfront.platform.requests import PendingRequest

MAX_UNDELIVERED_ENDS = 1_024
"""Limit of task ends that wait for a connection of their client; past it, the oldest is dropped."""

UNDELIVERED_END_TTL_MS = 8_000.0
"""How long such an end is kept: as long as the protocol requires its delivery."""


@dataclass(slots=True, eq=False)
class Session:
    """One connection of a client.

    Attributes:
        peer: the client's address.
        established: whether a machine has accepted one of its tasks, so its requests are known to be usable.
        requests: its open requests and running tasks, by request id.
    """

    peer: str
    established: bool = False
    requests: dict[str, PendingRequest] = field(default_factory=dict)


class _UndeliveredEnd(NamedTuple):
    expires_at: float
    peer: str
    data: bytes


class Sessions:
    """All client connections of one placer, by id and by the client's address."""

    def __init__(self, outbox: Outbox, limits: LimitMonitor) -> None:
        self._outbox = outbox
        self._limits = limits
        self._sessions: dict[ConnectionId, Session] = {}
        self._by_peer: dict[str, dict[ConnectionId, None]] = {}
        self._undelivered: deque[_UndeliveredEnd] = deque()

    @property
    def undelivered_count(self) -> int:
        """The number of task ends that wait for a connection of their client."""
        return len(self._undelivered)

    def get(self, connection: ConnectionId) -> Session | None:
        """Return the session of an open connection."""
        return self._sessions.get(connection)

    def is_in_use(self, connection: ConnectionId) -> bool:
        """Return whether a request is open or a task runs on the connection."""
        session = self._sessions.get(connection)
        return session is not None and bool(session.requests)

    def is_established(self, connection: ConnectionId) -> bool:
        """Return whether a machine has accepted a task of this connection's client."""
        session = self._sessions.get(connection)
        return session is not None and session.established

    def open(self, now: float, connection: ConnectionId, peer: str) -> None:
        """Add a new connection, and send the waiting ends for its address that have not expired on it."""
        self._sessions[connection] = Session(peer)
        self._by_peer.setdefault(peer, {})[connection] = None
        undelivered = self._undelivered
        self._undelivered = deque()
        for end in undelivered:
            if end.expires_at <= now:
                continue
            if end.peer == peer:
                self._outbox.put(SendToClient(connection, end.data, peer))
            else:
                self._undelivered.append(end)

    def close(self, connection: ConnectionId) -> Session | None:
        """Remove a closed connection and return its session."""
        session = self._sessions.pop(connection, None)
        if session is not None:
            connections = self._by_peer[session.peer]
            del connections[connection]
            if not connections:
                del self._by_peer[session.peer]
        return session

    def forget_request(self, request: PendingRequest) -> None:
        """Remove a finished request from its session."""
        session = self._sessions.get(request.connection)
        if session is not None:
            session.requests.pop(request.request_id, None)

    def reply(self, connection: ConnectionId, data: bytes) -> None:
        """Answer a message on the connection on which it arrived."""
        if connection in self._sessions:
            self._outbox.put(SendToClient(connection, data))

    def reject(self, request: PendingRequest, data: bytes) -> None:
        """Send the final answer to a request that was not placed, only on the request's connection."""
        self.reply(request.connection, data)

    def accept(self, request: PendingRequest, data: bytes) -> None:
        """Report a request as placed, only on its connection: the client expects no answer elsewhere."""
        if request.connection in self._sessions:
            self._outbox.put(SendToClient(request.connection, data, accepted_request=request.request_id))

    def send_end(self, now: float, request: PendingRequest, data: bytes) -> None:
        """Send the end of a running task on its connection, or else to its client's address."""
        if request.connection in self._sessions:
            self._outbox.put(SendToClient(request.connection, data, request.peer))
        else:
            self.send_end_to_peer(now, request.peer, data)

    def send_end_to_peer(self, now: float, peer: str, data: bytes) -> None:
        """Send the end of a task on the newest connection from that address, or keep it for the next one."""
        connections = self._by_peer.get(peer)
        if connections:
            self._outbox.put(SendToClient(next(reversed(connections)), data, peer))
            return
        self._undelivered.append(_UndeliveredEnd(now + UNDELIVERED_END_TTL_MS, peer, data))
        if len(self._undelivered) > MAX_UNDELIVERED_ENDS:
            self._limits.reached(Limit.UNDELIVERED_TASK_ENDS)
            self._undelivered.popleft()
