"""What the core wants done on sockets: typed intents, in the order in which they are to be carried out.

The core puts them into its `Outbox`; the service hands each to the connection that it concerns.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

import msgspec

from kelpfront.scheduling.events import MachineId

ConnectionId = int
"""The number of a client's connection, never used twice."""

HEALTH_CHECK_ATTEMPT = -1
"""Stands for an attempt's number in the key of a health check."""


class AttemptKey(NamedTuple):
    """Names one attempt of a request, or one health check, towards the connections."""

    request_id: str
    attempt_number: int


class ClientPresence(Enum):
    """Whether a client still waits for its request, by all that has arrived from it, read or not."""

    WAITING = "waiting"
    WITHDRAWN = "withdrawn"  # a line that withdraws this request has arrived
    DISCONNECTED = "disconnected"  # its connection is closed or reset, or sends no more


class SendToClient(msgspec.Struct, frozen=True):
    """Send a line to a client.

    Attributes:
        peer: where the connection can no longer be written to, the end of a task is still owed to this
            address, from which the client came; empty where nothing is owed.
        accepted_request: the request that the line reports as placed, whose task has nobody who knows of it
            where the line is not delivered; empty for other lines.
    """

    connection: ConnectionId
    data: bytes
    peer: str = ""
    accepted_request: str = ""


class Offer(msgspec.Struct, frozen=True):
    """Offer a request to a machine; `PlacerCore.encode_offer` gives its bytes right before the write."""

    machine: MachineId
    request_id: str
    attempt_number: int

    @property
    def key(self) -> AttemptKey:
        """The name of the attempt."""
        return AttemptKey(self.request_id, self.attempt_number)


class AbandonAttempt(msgspec.Struct, frozen=True):
    """Give an attempt up; the machine is notified where the offer has been written.

    Attributes:
        data: the line for the machine; empty where nothing was sent.
        no_response: whether no answer came in time, so that its connection may be of no more use.
    """

    machine: MachineId
    key: AttemptKey
    data: bytes
    no_response: bool = False


class SendToMachine(msgspec.Struct, frozen=True):
    """Send a line on a running task, on any connection to its machine."""

    machine: MachineId
    data: bytes


class SendHealthCheck(msgspec.Struct, frozen=True):
    """Send a health check to a machine."""

    machine: MachineId
    check_id: str
    data: bytes

    @property
    def key(self) -> AttemptKey:
        """The name of the health check."""
        return AttemptKey(self.check_id, HEALTH_CHECK_ATTEMPT)


class KeepConnected(msgspec.Struct, frozen=True):
    """Keep a connection open: tasks run on the machine, and it has to be able to report on them."""

    machine: MachineId


class ForgetMachine(msgspec.Struct, frozen=True):
    """Close all connections: nothing runs there any more and the machine was removed."""

    machine: MachineId


Intent = (
    SendToClient | Offer | AbandonAttempt | SendToMachine | SendHealthCheck | KeepConnected | ForgetMachine
)


class Outbox:
    """The intents that the service has not carried out yet."""

    def __init__(self) -> None:
        self._intents: list[Intent] = []

    def __len__(self) -> int:
        return len(self._intents)

    def __iter__(self) -> Iterator[Intent]:
        return iter(self._intents)

    def put(self, intent: Intent) -> None:
        """Append an intent."""
        self._intents.append(intent)

    def drain(self) -> list[Intent]:
        """Return all intents in their order, which are then gone from here."""
        intents = self._intents
        self._intents = []
        return intents
