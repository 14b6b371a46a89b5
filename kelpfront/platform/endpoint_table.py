"""Table of the machines in the endpoint list; also detects missed events. Performs no I/O.

`endpoint_updates` handles what a change means for the tasks on a machine; the failure detector program uses
this table without it.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace

from kelpfront.platform.config import Address
from kelpfront.platform.endpoint_events import EndpointEntry, EndpointEvent
from kelpfront.platform.requests import PendingRequest
from kelpfront.scheduling.events import Endpoint, MachineId, MachineState

MAX_REMEMBERED_REMOVALS = 1_024
"""Maximum number of remembered removals, which keep an older list from restoring removed machines."""

_NOT_REMOVED = -1.0


@dataclass(slots=True, eq=False)
class Machine:
    """A machine of the endpoint list, and the tasks that run on it.

    Attributes:
        endpoint: its last entry in the list.
        running: requests whose tasks run on the machine, by request id.
        restarted_at: when this placer was last notified of a new incarnation of a machine that it knew.
    """

    id: MachineId
    name: str
    address: Address
    endpoint: Endpoint
    state: MachineState
    started_at: float
    zone: int = -1
    running: dict[str, PendingRequest] = field(default_factory=dict)
    restarted_at: float = -math.inf


@dataclass(slots=True)
class EndpointChange:
    """The changes that one event has caused.

    Attributes:
        event: the event, with a removal for each machine that another has replaced at its address.
        removed: removed machines, which are still in the table; the caller of `apply` has to forget them.
    """

    event: EndpointEvent
    added: list[Machine] = field(default_factory=list)
    restarted: list[Machine] = field(default_factory=list)
    removed: list[Machine] = field(default_factory=list)


class EndpointTable:
    """The listed machines, by id.

    Attributes:
        index: the index of the last applied event.
        generation: incremented whenever machines are added or removed.
        has_gap: whether an event was missed, which the coordinator does not send again.
    """

    def __init__(self) -> None:
        self.machines: dict[MachineId, Machine] = {}
        self.index = 0
        self.generation = 0
        self.has_gap = False
        self._highest_index = 0  # of all applied events, also from before the index went back
        self._removed: dict[MachineId, float] = {}  # start time of the removed incarnation
        self._by_address: dict[Address, MachineId] = {}  # the newest machine at each address

    @property
    def poll_index(self) -> int:
        """The index after which to request events; 0, for the complete list, if an event was missed."""
        return 0 if self.has_gap else self.index

    def apply(self, index: int, events: Sequence[EndpointEvent]) -> Iterator[EndpointChange]:
        """Apply an answer and yield its changes one by one; skip events that were applied before.

        Event indexes are consecutive. If some are missing, or if the index goes back, the received events are
        applied and the complete list is requested, since a drain may have been missed. A service that is
        behind sends an older list; its events are applied from that list on, but they do not undo drains and
        removals of which the service does not know yet.

        Args:
            index: the last index according to the answer.
            events: the events of the answer.
        """
        if self.has_gap and events and events[0].complete:
            yield self._fill_gap(index, events)
            return
        if index < self.index:
            self.has_gap = True
            return
        for event in events:
            if event.index <= self.index:
                continue
            self.has_gap |= not event.complete and event.index != self.index + 1
            self.index = event.index
            if event.complete or event.entries:
                yield self._apply_event(event)
        self.has_gap |= index > self.index
        self.index = max(self.index, index)
        self._highest_index = max(self._highest_index, self.index)

    def _fill_gap(self, index: int, events: Sequence[EndpointEvent]) -> EndpointChange:
        self.has_gap = False
        merged = merge_events(events)
        change = self._apply_event(merged)
        self.index = max(index, merged.index)
        self._highest_index = max(self._highest_index, self.index)
        return change

    def _apply_event(self, event: EndpointEvent) -> EndpointChange:
        if event.index < self._highest_index:
            event = self._without_reversals(event)
        change = EndpointChange(event)
        if event.complete:
            listed_ids = {entry.endpoint.id for entry in event.entries}
            change.removed = [
                machine for machine_id, machine in self.machines.items() if machine_id not in listed_ids
            ]
        applied: list[EndpointEntry] = []
        for listed_entry in event.entries:
            entry = self._without_replaced(listed_entry, change)
            replaced = self._replaced_by(entry, change)
            if replaced is not None:
                removal = replace(replaced.endpoint, state=MachineState.REMOVED)
                applied.append(EndpointEntry(replaced.name, replaced.address, removal))
                change.removed.append(replaced)
            self._apply_entry(entry, change)
            applied.append(entry)
        change.event = replace(event, entries=tuple(applied))
        for machine in change.removed:
            self._remember_removal(machine)
        self.generation += bool(change.added or change.removed)
        return change

    def _without_replaced(self, entry: EndpointEntry, change: EndpointChange) -> EndpointEntry:
        """Return the entry as a removal if a newer machine is listed at its address.

        An address belongs to one process at a time, so the older machine is gone, although the list does not
        say so yet. Its process would be taken for the newer one, which answers at that address.
        """
        newer = self._rival_of(entry, change)
        if newer is None or newer.started_at <= entry.endpoint.started_at:
            return entry
        return replace(entry, endpoint=replace(entry.endpoint, state=MachineState.REMOVED))

    def _replaced_by(self, entry: EndpointEntry, change: EndpointChange) -> Machine | None:
        """Return the listed machine whose address the entry's newer machine has taken over."""
        older = self._rival_of(entry, change)
        if older is None or entry.endpoint.state is MachineState.REMOVED:
            return None
        return older if older.started_at < entry.endpoint.started_at else None

    def _rival_of(self, entry: EndpointEntry, change: EndpointChange) -> Machine | None:
        """Return another machine that is listed at the entry's address and is not removed."""
        holder_id = self._by_address.get(entry.address)
        if holder_id is None or holder_id == entry.endpoint.id:
            return None
        holder = self.machines.get(holder_id)
        if holder is None or holder.state is MachineState.REMOVED or holder in change.removed:
            return None
        return holder

    def _apply_entry(self, entry: EndpointEntry, change: EndpointChange) -> None:
        endpoint = entry.endpoint
        machine = self.machines.get(endpoint.id)
        if machine is None:
            machine = _new_machine(entry)
            self.machines[endpoint.id] = machine
            change.added.append(machine)
        elif endpoint.started_at > machine.started_at:
            change.restarted.append(machine)
        machine.endpoint = endpoint
        machine.state = endpoint.state
        machine.started_at = endpoint.started_at
        self._removed.pop(endpoint.id, None)
        if entry.address.host:
            self._release_address(machine)
            machine.address = entry.address
        if endpoint.state is not MachineState.REMOVED:
            self._by_address[machine.address] = machine.id
        elif machine not in change.removed:
            change.removed.append(machine)

    def _release_address(self, machine: Machine) -> None:
        if self._by_address.get(machine.address) == machine.id:
            del self._by_address[machine.address]

    def _remember_removal(self, machine: Machine) -> None:
        self._removed[machine.id] = machine.started_at
        if len(self._removed) > MAX_REMEMBERED_REMOVALS:
            del self._removed[next(iter(self._removed))]

    def _without_reversals(self, event: EndpointEvent) -> EndpointEvent:
        """Return an older event without what contradicts later events about the same incarnations."""
        entries = [
            self._without_reversed_drain(entry)
            for entry in event.entries
            if self._removed.get(entry.endpoint.id, _NOT_REMOVED) < entry.endpoint.started_at
        ]
        return replace(event, entries=tuple(entries))

    def _without_reversed_drain(self, entry: EndpointEntry) -> EndpointEntry:
        endpoint = entry.endpoint
        known = self.machines.get(endpoint.id)
        if known is None or known.started_at < endpoint.started_at:
            return entry
        is_reversal = endpoint.state is MachineState.READY and known.state is MachineState.DRAINING
        return replace(entry, endpoint=replace(endpoint, state=known.state)) if is_reversal else entry

    def forget(self, machine_id: MachineId) -> bool:
        """Delete a machine; return whether it was in the table."""
        machine = self.machines.pop(machine_id, None)
        if machine is None:
            return False
        self._release_address(machine)
        return True

    def machines_by_zone(self) -> dict[int, list[MachineId]]:
        """Return the machines that are not removed, by zone."""
        by_zone: dict[int, list[MachineId]] = {}
        for machine in self.machines.values():
            if machine.state is not MachineState.REMOVED:
                by_zone.setdefault(machine.zone, []).append(machine.id)
        return by_zone


def _new_machine(entry: EndpointEntry) -> Machine:
    endpoint: Endpoint = entry.endpoint
    return Machine(
        endpoint.id,
        entry.name,
        entry.address,
        endpoint,
        endpoint.state,
        endpoint.started_at,
        endpoint.zone,
    )


def merge_events(events: Sequence[EndpointEvent]) -> EndpointEvent:
    """Merge events into one complete list: the last complete one with all changes after it."""
    entries: dict[MachineId, EndpointEntry] = {}
    for event in events:
        if event.complete:
            entries = {}
        entries |= {entry.endpoint.id: entry for entry in event.entries}
    present = [entry for entry in entries.values() if entry.endpoint.state is not MachineState.REMOVED]
    return EndpointEvent(events[-1].index, complete=True, entries=tuple(present))
