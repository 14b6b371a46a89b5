"""The machines as one controller sees them: the inventory, their reports, and whether they are in contact.

The registry determines the endpoint list of the scheduler: which machines are ready, draining or removed.
Whether a ready machine is *healthy* is decided by the scheduler from the results of its offers. This module
does no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from kelpfront.api.machines import State
from kelpfront.controller.cluster import Cluster
from kelpfront.controller.machine_record import MAX_MISSED_HEARTBEATS, MachineRecord
from kelpfront.inventory.model import Host, Inventory
from kelpfront.machine.messages import Heartbeat, Hello
from kelpfront.numbers import FailureDomainNumbers, machine_number
from kelpfront.scheduling.events import Endpoint, EndpointList, EndpointListKind, MachineId, MachineState

ENDPOINT_UPDATE_PERIOD_MS = 250.0
"""Minimum time between updates that only change capacity; shorter than the lag the scheduler allows for."""
ENDPOINT_STATES = {
    State.READY: MachineState.READY,
    State.DRAINING: MachineState.DRAINING,
    State.GONE: MachineState.REMOVED,
}


class _MachineSize(NamedTuple):
    kind: int
    cores: float
    memory: float


@dataclass(slots=True)
class MachineChanges:
    """The machines that an input changed.

    Attributes:
        updated: machines whose API object changed.
        lost: machines whose tasks must be declared lost.
    """

    updated: list[MachineRecord] = field(default_factory=list)
    lost: list[MachineRecord] = field(default_factory=list)


class MachineRegistry:
    """All machines; times are milliseconds of the common clock.

    Attributes:
        entries: the machines by name.
        by_id: the machines by their scheduler id.
    """

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._failure_domains = FailureDomainNumbers()
        self.entries: dict[str, MachineRecord] = {}
        self.by_id: dict[MachineId, MachineRecord] = {}
        self._sizes: set[_MachineSize] | None = None  # None until it is computed again
        self._version = 0
        self._updated_at = -math.inf
        self._update_is_urgent = False

    # ---- Inputs ---------------------------------------------------------------------------------------

    def apply_inventory(self, now: float, inventory: Inventory) -> MachineChanges:
        """Apply a new inventory; a machine that is no longer listed is gone."""
        changes = MachineChanges()
        self._sizes = None
        for name, entry in self.entries.items():
            self._apply_host(now, entry, inventory.hosts.get(name), changes)
        for name, host in inventory.hosts.items():
            if name not in self.entries:
                changes.updated.append(self._add(now, host))
        return changes

    def _apply_host(
        self, now: float, entry: MachineRecord, host: Host | None, changes: MachineChanges
    ) -> None:
        if host is None and not entry.removed:
            entry.removed = True
            entry.generation += 1
            self._update_state(now, entry, changes)
        elif host is not None and (entry.removed or host != entry.host):
            entry.removed = False
            entry.generation += 1
            self._set_host(entry, host)
            entry.endpoint_changed = True
            self._update_state(now, entry, changes)

    def _add(self, now: float, host: Host) -> MachineRecord:
        entry = MachineRecord(host, machine_number(host.name), 0, 0, 0, created_at=now, state_since=now)
        self._set_host(entry, host)
        self.entries[host.name] = entry
        self.by_id[entry.machine_id] = entry
        return entry

    def _set_host(self, entry: MachineRecord, host: Host) -> None:
        entry.host = host
        entry.kind = self._cluster.kind_numbers[host.kind]
        entry.cell = self._failure_domains.rack_number(host.room, host.rack)
        entry.zone = self._failure_domains.zone_number(host.room)

    def any_machine_fits(self, kind: int | None, cores: float, memory: float) -> bool:
        """Return whether any machine, of the given kind if there is one, has this much capacity in total."""
        if self._sizes is None:  # a cluster has few distinct sizes, even with many machines
            self._sizes = {
                _MachineSize(entry.kind, entry.host.cores, entry.host.memory)
                for entry in self.entries.values()
                if not entry.removed
            }
        return any(
            kind in (None, size.kind) and cores <= size.cores and memory <= size.memory
            for size in self._sizes
        )

    def cordon(self, now: float, name: str, *, unschedulable: bool) -> MachineChanges:
        """Start or stop draining a machine for an operator."""
        changes = MachineChanges()
        entry = self.entries[name]
        if entry.cordoned != unschedulable:
            entry.cordoned = unschedulable
            entry.generation += 1
            self._update_state(now, entry, changes)
            if entry not in changes.updated:
                changes.updated.append(entry)
        return changes

    def on_hello(self, now: float, name: str, hello: Hello) -> MachineChanges:
        """Handle the hello at the start of a machine's stream."""
        changes = MachineChanges()
        entry = self.entries[name]
        entry.link_up = True
        entry.last_contact_at = now
        entry.heartbeat_ms = hello.heartbeat_ms
        entry.declared_lost = False
        if hello.boot != entry.boot:
            entry.boot = hello.boot
            entry.started_at = now - hello.age_ms
            entry.load = None
            entry.endpoint_changed = True
            self._update_is_urgent = True
        self._update_state(now, entry, changes)
        return changes

    def on_heartbeat(self, now: float, name: str, heartbeat: Heartbeat) -> MachineChanges:
        """Handle a machine's report of its state and load."""
        changes = MachineChanges()
        entry = self.entries[name]
        entry.last_contact_at = now
        entry.reported_state = heartbeat.state
        entry.load = heartbeat.load
        entry.endpoint_changed = True
        self._update_state(now, entry, changes)
        return changes

    def record_contact(self, now: float, name: str) -> None:
        """Record that a message of any kind was received from a machine."""
        self.entries[name].last_contact_at = now

    def on_link_down(self, now: float, name: str) -> None:
        """Handle the loss of a machine's stream."""
        entry = self.entries.get(name)
        if entry is not None and entry.link_up:
            entry.link_up = False
            entry.down_since = now

    def advance(self, now: float) -> MachineChanges:
        """Update the states of machines that lost contact, and find those whose tasks are lost."""
        changes = MachineChanges()
        for entry in self.entries.values():
            self._update_state(now, entry, changes)
            if self._is_newly_lost(now, entry):
                entry.declared_lost = True
                changes.lost.append(entry)
        return changes

    def _is_newly_lost(self, now: float, entry: MachineRecord) -> bool:
        if entry.state is not State.GONE or entry.declared_lost or entry.link_up:
            return False
        return now >= entry.state_since + self._cluster.lost_after_ms

    def forget(self, name: str) -> None:
        """Delete the record of a removed machine that holds no tasks."""
        entry = self.entries.pop(name)
        del self.by_id[entry.machine_id]

    # ---- States ---------------------------------------------------------------------------------------

    def _update_state(self, now: float, entry: MachineRecord, changes: MachineChanges) -> None:
        state, entry.message = self.evaluate_state(now, entry)
        if state is entry.state:
            return
        entry.state = state
        entry.state_since = now
        entry.endpoint_changed = True
        self._update_is_urgent = True
        changes.updated.append(entry)

    def evaluate_state(self, now: float, entry: MachineRecord) -> tuple[State, str]:
        """Return a machine's state and the reason for it, as shown to operators."""
        return self._out_of_contact(now, entry) or self._reported(entry)

    @staticmethod
    def _out_of_contact(now: float, entry: MachineRecord) -> tuple[State, str] | None:
        if entry.removed:
            return State.GONE, "no longer in the inventory"
        if not entry.boot:
            return State.UNKNOWN, "not heard from yet"
        if entry.disconnected_too_long(now):
            return State.GONE, "no connection"
        if entry.missed_too_many_heartbeats(now):
            return State.GONE, f"silent for {MAX_MISSED_HEARTBEATS} heartbeats"
        return None

    @staticmethod
    def _reported(entry: MachineRecord) -> tuple[State, str]:
        if entry.load is None:  # a hello without a heartbeat yet: neither capacity nor state is known
            return (State.UNKNOWN if entry.published_endpoint is None else State.GONE), "no heartbeat yet"
        if entry.cordoned:
            return State.DRAINING, "unschedulable"
        if entry.reported_state == "draining":
            return State.DRAINING, "draining by its own word"
        return State.READY, ""

    # ---- The endpoint list ----------------------------------------------------------------------------

    def endpoint_update_due(self, now: float) -> bool:
        """Return whether an update may be due: state changes at once, capacity changes periodically."""
        return self._update_is_urgent or now >= self._updated_at + ENDPOINT_UPDATE_PERIOD_MS

    def take_endpoint_update(self, now: float) -> EndpointList | None:
        """Return the changes since the last update; None if there are none."""
        endpoints = tuple(self._changed_endpoints(self.entries.values()))
        self._updated_at = now
        self._update_is_urgent = False
        if not endpoints:
            return None
        self._version += 1
        return EndpointList(EndpointListKind.CHANGES, self._version, endpoints)

    def _changed_endpoints(self, entries: Iterable[MachineRecord]) -> Iterable[Endpoint]:
        for entry in entries:
            if not entry.endpoint_changed:
                continue
            entry.endpoint_changed = False
            endpoint = self.endpoint_of(entry)
            if endpoint is not None and endpoint != entry.published_endpoint:
                entry.published_endpoint = endpoint
                yield endpoint

    def endpoint_of(self, entry: MachineRecord) -> Endpoint | None:
        """Return the scheduler's view of a machine; None if the machine has not reported yet."""
        if entry.state is State.UNKNOWN:
            return None
        state = ENDPOINT_STATES[entry.state]
        if entry.load is None:
            published = entry.published_endpoint
            return None if published is None else replace(published, state=state)
        return Endpoint(
            entry.machine_id,
            entry.kind,
            entry.cell,
            entry.zone,
            state,
            entry.load.free_cores,
            entry.load.free_memory,
            entry.started_at,
        )
