"""Clients' connections, and where a line for a client goes: there, to another of its, or later. Pure.

A session is the core's view of one connection; its socket is `client_connections`' affair.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from kelpfront.platform.intents import ConnectionId, Outbox, SendToClient
from kelpfront.platform.limits import Limit, LimitMonitor
from kelpfront.platform.requests import PendingRequest

MAX_UNDELIVERED_ENDS = 1_024
"""Ends of tasks that wait for a connection of their client."""

UNDELIVERED_END_TTL_MS = 8_000.0
"""How long such an end is kept: as long as the protocol has it owed."""


@dataclass(slots=True, eq=False)
class Session:
    """One connection of a client.

    Attributes:
        peer: the address that it comes from.
        established: whether a machine has accepted a task of it: it sends what machines can use.
        requests: its requests and running tasks, by request id.
    """

    peer: str
    established: bool = False
    requests: dict[str, PendingRequest] = field(default_factory=dict)


class _UndeliveredEnd(NamedTuple):
    expires_at: float
    peer: str
    data: bytes


class Sessions:
    """All clients' connections of one placer, by their number and by the address they come from."""

    def __init__(self, outbox: Outbox, limits: LimitMonitor) -> None:
        self._outbox = outbox
        self._limits = limits
        self._sessions: dict[ConnectionId, Session] = {}
        self._by_peer: dict[str, dict[ConnectionId, None]] = {}
        self._undelivered: deque[_UndeliveredEnd] = deque()

    @property
    def undelivered_count(self) -> int:
        """Ends of tasks that wait for a connection of their client."""
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
        """Enter a new connection; what waits for one from that address, and is still owed, goes out on it."""
        self._sessions[connection] = Session(peer)
        self._by_peer.setdefault(peer, {})[connection] = None
        waiting = self._undelivered
        self._undelivered = deque()
        for end in waiting:
            if end.expires_at <= now:
                continue
            if end.peer == peer:
                self._outbox.put(SendToClient(connection, end.data, peer))
            else:
                self._undelivered.append(end)

    def close(self, connection: ConnectionId) -> Session | None:
        """Drop a connection that is closed; return its session."""
        session = self._sessions.pop(connection, None)
        if session is not None:
            connections = self._by_peer[session.peer]
            del connections[connection]
            if not connections:
                del self._by_peer[session.peer]
        return session

    def forget_request(self, request: PendingRequest) -> None:
        """Drop a request that is over from its connection."""
        session = self._sessions.get(request.connection)
        if session is not None:
            session.requests.pop(request.request_id, None)

    def reply(self, connection: ConnectionId, data: bytes) -> None:
        """Answer a message on the connection on which it came."""
        if connection in self._sessions:
            self._outbox.put(SendToClient(connection, data))

    def reject(self, request: PendingRequest, data: bytes) -> None:
        """Send the final answer to a request that was not placed, on its own connection only."""
        self.reply(request.connection, data)

    def accept(self, request: PendingRequest, data: bytes) -> None:
        """Report a request as placed, on its own connection only: nowhere else is the answer waited for."""
        if request.connection in self._sessions:
            self._outbox.put(SendToClient(request.connection, data, accepted_request=request.request_id))

    def send_end(self, now: float, request: PendingRequest, data: bytes) -> None:
        """Send what is owed on a running task: on its connection, another from there, or the next."""
        if request.connection in self._sessions:
            self._outbox.put(SendToClient(request.connection, data, request.peer))
        else:
            self.send_end_to_peer(now, request.peer, data)

    def send_end_to_peer(self, now: float, peer: str, data: bytes) -> None:
        """Send it on the youngest connection from that address, or keep it for the next one."""
        connections = self._by_peer.get(peer)
        if connections:
            self._outbox.put(SendToClient(next(reversed(connections)), data, peer))
            return
        self._undelivered.append(_UndeliveredEnd(now + UNDELIVERED_END_TTL_MS, peer, data))
        if len(self._undelivered) > MAX_UNDELIVERED_ENDS:
            self._limits.reached(Limit.UNDELIVERED_TASK_ENDS)
            self._undelivered.popleft()
