"""Which machine runs the task of an idempotency key: of one key one task runs in its scope.

A scope is a set of machines: one machine, a rack, a zone or all. The records are shared by the machines of a
scope; how they are shared between hosts is left to the agent.
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
    """What the machines of a scope share."""

    def holder(self, scope: str, key: str) -> RecordHolder | None:
        """Return who holds a key."""

    def claim(self, scope: str, key: str, machine: str, task: str) -> RecordHolder | None:
        """Claim a key for a task; where another holds it nothing changes and that holder is returned."""

    def remove(self, scope: str, key: str, machine: str, task: str) -> None:
        """Release a key if this task holds it."""


class MachineIdempotencyRecords(IdempotencyRecords, Protocol):
    """Records that also release all keys of a machine that has died."""

    def remove_machine(self, machine: str) -> None:
        """Release all keys of a machine that is dead."""


class SharedIdempotencyRecords:
    """Records that the machines of one process share."""

    def __init__(self) -> None:
        self._holders: dict[tuple[str, str], RecordHolder] = {}  # by scope and key

    def holder(self, scope: str, key: str) -> RecordHolder | None:
        """Return who holds a key."""
        return self._holders.get((scope, key))

    def claim(self, scope: str, key: str, machine: str, task: str) -> RecordHolder | None:
        """Claim a key for a task; where another holds it nothing changes and that holder is returned."""
        claimant = RecordHolder(machine, task)
        holder = self._holders.setdefault((scope, key), claimant)
        return None if holder == claimant else holder

    def remove(self, scope: str, key: str, machine: str, task: str) -> None:
        """Release a key if this task holds it."""
        if self._holders.get((scope, key)) == RecordHolder(machine, task):
            del self._holders[scope, key]

    def remove_machine(self, machine: str) -> None:
        """Release all keys of a machine that is dead."""
        for scope_and_key, holder in list(self._holders.items()):
            if holder.machine == machine:
                del self._holders[scope_and_key]


class KeyClaims:
    """One machine's claims in the shared records. An offer without a key claims nothing."""

    def __init__(self, settings: NodeSettings, records: IdempotencyRecords) -> None:
        self._settings = settings
        self._records = records

    def holder(self, offer: Offer) -> RecordHolder | None:
        """Return who holds the key of an offer."""
        if not offer.key:
            return None
        return self._records.holder(self._scope(offer), offer.key)

    def claim(self, offer: Offer) -> RecordHolder | None:
        """Claim the key of an offer; returns the holder where another task has it."""
        if not offer.key:
            return None
        return self._records.claim(self._scope(offer), offer.key, self._settings.name, offer.task)

    def release(self, offer: Offer) -> None:
        """Release the key of an offer if its task holds it."""
        if offer.key:
            self._records.remove(self._scope(offer), offer.key, self._settings.name, offer.task)

    def _scope(self, offer: Offer) -> str:
        """Name the set of machines in which one task of the key may run."""
        settings = self._settings
        match offer.group:
            case "all":
                return ""
            case "zone":
                return settings.zone
            case "cell":
                return f"{settings.zone}/{settings.rack}"
        return f"{settings.zone}/{settings.rack}/{settings.name}"
