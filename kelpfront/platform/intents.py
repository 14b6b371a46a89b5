"""Intents: typed socket operations that the core requests, in the order in which they are carried out.

The core puts them into its `Outbox`; the service passes each to the connection that it concerns.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

import msgspec

from kelpfront.scheduling.events import MachineId

ConnectionId = int
"""The id of a client's connection; ids are not reused."""

HEALTH_CHECK_ATTEMPT = -1
"""The attempt number in the key of a health check."""


class AttemptKey(NamedTuple):
    """Identifies an attempt of a request, or a health check, to the connections."""

    request_id: str
    attempt_number: int


class ClientPresence(Enum):
    """Whether a client still waits for its request, judged from all data that has arrived, read or not."""

    WAITING = "waiting"
    WITHDRAWN = "withdrawn"  # a line that withdraws this request has arrived
    DISCONNECTED = "disconnected"  # its connection is closed, half-closed or reset


class SendToClient(msgspec.Struct, frozen=True):
    """Send a line to a client.

    Attributes:
        peer: the client's address, to which the line, the end of a task, must still be delivered if this
            connection cannot be written to; empty if the line may be dropped then.
        accepted_request: the request that the line reports as placed; if the line is not delivered, no client
            knows of its task. Empty for other lines.
    """

    connection: ConnectionId
    data: bytes
    peer: str = ""
    accepted_request: str = ""


class Offer(msgspec.Struct, frozen=True):
    """Offer a request to a machine; `PlacerCore.encode_offer` returns the bytes right before the write."""

    machine: MachineId
    request_id: str
    attempt_number: int

    @property
    def key(self) -> AttemptKey:
        """The key of the attempt."""
        return AttemptKey(self.request_id, self.attempt_number)


class AbandonAttempt(msgspec.Struct, frozen=True):
    """Abandon an attempt; the machine is notified if the offer has been written.

    Attributes:
        data: the line for the machine; empty if nothing was sent.
        no_response: whether no answer arrived in time, so that the connection may be broken.
    """

    machine: MachineId
    key: AttemptKey
    data: bytes
    no_response: bool = False


class SendToMachine(msgspec.Struct, frozen=True):
    """Send a line about a running task, on any connection to its machine."""

    machine: MachineId
    data: bytes


class SendHealthCheck(msgspec.Struct, frozen=True):
    """Send a health check to a machine.

    Attributes:
        on_new_connection: whether it may only be sent on a connection that has not been used yet.
    """

    machine: MachineId
    check_id: str
    data: bytes
    on_new_connection: bool = False

    @property
    def key(self) -> AttemptKey:
        """The key of the health check."""
        return AttemptKey(self.check_id, HEALTH_CHECK_ATTEMPT)


class KeepConnected(msgspec.Struct, frozen=True):
    """Keep a connection to a machine open, because it runs tasks and must be able to report on them."""

    machine: MachineId


class RecoverReports(msgspec.Struct, frozen=True):
    """Open a new connection to a machine, on which it repeats its reports on tasks that have ended."""

    machine: MachineId


class ForgetMachine(msgspec.Struct, frozen=True):
    """Close all connections to a machine that was removed and runs no tasks any more."""

    machine: MachineId


MachineIntent = (
    Offer | AbandonAttempt | SendToMachine | SendHealthCheck | KeepConnected | RecoverReports | ForgetMachine
)

Intent = SendToClient | MachineIntent


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
        """Remove and return all intents, in order."""
        intents = self._intents
        self._intents = []
        return intents
