"""Records of which machine runs the task of an idempotency key: at most one task per key runs in a scope.

A scope is a set of machines: one machine, a rack, a zone or all machines. The machines of a scope share the
records; the agent provides the sharing between hosts.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from kelpfront.machine.messages import Offer
from kelpfront.machine.model import NodeSettings


class RecordHolder(NamedTuple):
    """The machine and the task that hold an idempotency key."""

    machine: str
    task: str


class IdempotencyRecords(Protocol):
    """The records that the machines of a scope share."""

    def holder(self, scope: str, key: str) -> RecordHolder | None:
        """Return the holder of a key, or None if it is free."""

    def claim(self, scope: str, key: str, machine: str, task: str) -> RecordHolder | None:
        """Claim a key for a task and return None; if another task holds the key, return its holder."""

    def remove(self, scope: str, key: str, machine: str, task: str) -> None:
        """Release a key if this task holds it."""


class MachineIdempotencyRecords(IdempotencyRecords, Protocol):
    """Records that can also release all keys of a failed machine."""

    def remove_machine(self, machine: str) -> None:
        """Release all keys of a machine that has failed."""


class SharedIdempotencyRecords:
    """In-memory records, shared by the machines of one process."""

    def __init__(self) -> None:
        self._holders: dict[tuple[str, str], RecordHolder] = {}  # by scope and key

    def holder(self, scope: str, key: str) -> RecordHolder | None:
        """Return the holder of a key, or None if it is free."""
        return self._holders.get((scope, key))

    def claim(self, scope: str, key: str, machine: str, task: str) -> RecordHolder | None:
        """Claim a key for a task and return None; if another task holds the key, return its holder."""
        claimant = RecordHolder(machine, task)
        holder = self._holders.setdefault((scope, key), claimant)
        return None if holder == claimant else holder

    def remove(self, scope: str, key: str, machine: str, task: str) -> None:
        """Release a key if this task holds it."""
        if self._holders.get((scope, key)) == RecordHolder(machine, task):
            del self._holders[scope, key]

    def remove_machine(self, machine: str) -> None:
        """Release all keys of a machine that has failed."""
        for scope_and_key, holder in list(self._holders.items()):
            if holder.machine == machine:
                del self._holders[scope_and_key]


class KeyClaims:
    """One machine's claims in the shared records. An offer without an idempotency key has no claim."""

    def __init__(self, settings: NodeSettings, records: IdempotencyRecords) -> None:
        self._settings = settings
        self._records = records

    def holder(self, offer: Offer) -> RecordHolder | None:
        """Return the holder of an offer's key, or None if the key is free."""
        if not offer.key:
            return None
        return self._records.holder(self._scope(offer), offer.key)

    def claim(self, offer: Offer) -> RecordHolder | None:
        """Claim the key of an offer and return None; if another task holds the key, return its holder."""
        if not offer.key:
            return None
        return self._records.claim(self._scope(offer), offer.key, self._settings.name, offer.task)

    def release(self, offer: Offer) -> None:
        """Release the key of an offer if its task holds it."""
        if offer.key:
            self._records.remove(self._scope(offer), offer.key, self._settings.name, offer.task)

    def _scope(self, offer: Offer) -> str:
        """Return the name of the set of machines in which at most one task of the key may run."""
        settings = self._settings
        match offer.group:
            case "all":
                return ""
            case "zone":
                return settings.zone
            case "cell":
                return f"{settings.zone}/{settings.rack}"
        return f"{settings.zone}/{settings.rack}/{settings.name}"
