"""The machines as one placer sees them: inventory, what they say, and whether they are still heard. No I/O.

It decides what the machine list tells the decisions: which machines are ready, draining or gone. Whether a
machine that is ready is *healthy* is the decisions' own to judge, by what their offers meet.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace

from kelpfront.api.machines import State
from kelpfront.api.meta import API_VERSION, Object
from kelpfront.clock import timestamp
from kelpfront.controller.cluster import Cluster
from kelpfront.inventory.model import Host, Inventory
from kelpfront.machine.messages import Heartbeat, Hello, LoadReport
from kelpfront.numbers import FailureDomainNumbers, machine_number
from kelpfront.scheduling.events import Endpoint, EndpointList, EndpointListKind, MachineId, MachineState

MISSED_BEATS = 4  # heartbeats a machine may miss: one late by a stall is ordinary, four in a row are not
RECONNECT_MS = 1_000.0  # a broken stream may take so long to be back before its machine counts as gone
LIST_PERIOD_MS = 250.0  # between lists that tell only of room: finer than what the decisions allow for lag
SHOW_PERIOD_MS = 5_000.0  # between changes of a machine's object that only renew its figures
SHOW_TASKS_MS = 1_000.0  # ... where its tasks have come or gone

MODULE_STATE = {
    State.READY: MachineState.READY,
    State.DRAINING: MachineState.DRAINING,
    State.GONE: MachineState.REMOVED,
}


@dataclass(slots=True, eq=False)
class Entry:
    """One machine of the inventory, or one that was and still holds tasks."""

    host: Host
    number: MachineId
    kind: int
    cell: int
    zone: int
    created_at: float
    cordoned: bool = False
    removed: bool = False
    generation: int = 1
    link_up: bool = False
    down_since: float = -math.inf
    heard_at: float = -math.inf
    heartbeat_ms: float = 1_000.0
    boot: str = ""
    settled: bool = False  # it has told what it holds of this placer's
    started_at: float = 0.0
    reported: str = "ready"
    load: LoadReport | None = None
    state: State = State.UNKNOWN
    since: float = 0.0
    message: str = "not heard from yet"
    told: Endpoint | None = None
    stale: bool = False  # the list has something new of it
    shown_at: float = -math.inf
    given_up: bool = False  # its tasks were declared lost
    tasks: int = 0
    shown_tasks: int = 0

    @property
    def name(self) -> str:
        return self.host.name


@dataclass(slots=True)
class Changes:
    """What came of an input: entries whose state changed, and hosts whose tasks are to be given up."""

    states: list[Entry] = field(default_factory=list)
    lost: list[Entry] = field(default_factory=list)


class MachineRegistry:
    """All machines; times are milliseconds of the common clock."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._places = FailureDomainNumbers()
        self.entries: dict[str, Entry] = {}
        self.by_number: dict[MachineId, Entry] = {}
        self._sizes: set[tuple[int, float, float]] | None = None  # kind, cores, memory of what there is
        self._version = 0
        self._listed_at = -math.inf
        self._urgent = False

    # ---- What happens ---------------------------------------------------------------------------------

    def take_inventory(self, now: float, inventory: Inventory) -> Changes:
        """The machines that there are from now on. One that is named no more is gone."""
        changes = Changes()
        self._sizes = None
        for name, entry in self.entries.items():
            host = inventory.hosts.get(name)
            if host is None and not entry.removed:
                entry.removed = True
                entry.generation += 1
                self._judge(now, entry, changes)
            elif host is not None and (entry.removed or host != entry.host):
                entry.removed = False
                entry.generation += 1
                self._describe(entry, host)
                entry.stale = True
                self._judge(now, entry, changes)
        for name, host in inventory.hosts.items():
            if name not in self.entries:
                entry = Entry(host, machine_number(name), 0, 0, 0, created_at=now, since=now)
                self._describe(entry, host)
                self.entries[name] = self.by_number[entry.number] = entry
                changes.states.append(entry)
        return changes

    def ever_fits(self, kind: int | None, cores: float, memory: float) -> bool:
        """Whether some machine, of a kind if one is given, is as large as this."""
        if self._sizes is None:  # there are few sizes, however many machines
            self._sizes = {
                (entry.kind, entry.host.cores, entry.host.memory)
                for entry in self.entries.values()
                if not entry.removed
            }
        return any(
            kind in (None, its) and cores <= its_cores and memory <= its_memory
            for its, its_cores, its_memory in self._sizes
        )

    def _describe(self, entry: Entry, host: Host) -> None:
        entry.host = host
        entry.kind = self._cluster.kind_numbers[host.kind]
        entry.cell = self._places.rack_number(host.room, host.rack)
        entry.zone = self._places.zone_number(host.room)

    def cordon(self, now: float, name: str, on: bool) -> Changes:
        """An operator drains the machine, or takes that back."""
        changes = Changes()
        entry = self.entries[name]
        if entry.cordoned != on:
            entry.cordoned = on
            entry.generation += 1
            self._judge(now, entry, changes)
            if entry not in changes.states:
                changes.states.append(entry)
        return changes

    def hello(self, now: float, name: str, hello: Hello) -> Changes:
        """A machine's stream is up."""
        changes = Changes()
        entry = self.entries[name]
        entry.link_up, entry.heard_at, entry.heartbeat_ms = True, now, hello.heartbeat_ms
        entry.given_up = False
        if hello.boot != entry.boot:
            entry.boot, entry.started_at, entry.load = hello.boot, now - hello.age_ms, None
            entry.stale = self._urgent = True
        self._judge(now, entry, changes)
        return changes

    def heartbeat(self, now: float, name: str, beat: Heartbeat) -> Changes:
        changes = Changes()
        entry = self.entries[name]
        entry.heard_at = now
        entry.reported, entry.load = beat.state, beat.load
        entry.stale = True
        self._judge(now, entry, changes)
        return changes

    def heard(self, now: float, name: str) -> None:
        """Any other message of the machine's."""
        self.entries[name].heard_at = now

    def link_down(self, now: float, name: str) -> None:
        entry = self.entries.get(name)
        if entry is not None and entry.link_up:
            entry.link_up, entry.down_since = False, now

    def advance(self, now: float) -> Changes:
        """Machines that have not been heard for too long."""
        changes = Changes()
        for entry in self.entries.values():
            self._judge(now, entry, changes)
            if (
                entry.state is State.GONE
                and not entry.given_up
                and not entry.link_up
                and now >= entry.since + self._cluster.lost_after_ms
            ):
                entry.given_up = True
                changes.lost.append(entry)
        return changes

    def forget(self, name: str) -> None:
        """Drops a removed machine that holds nothing any more."""
        entry = self.entries.pop(name)
        del self.by_number[entry.number]

    def _judge(self, now: float, entry: Entry, changes: Changes) -> None:
        state, message = self._state(now, entry)
        entry.message = message
        if state is entry.state:
            return
        entry.state, entry.since, entry.stale = state, now, True
        self._urgent = True
        changes.states.append(entry)

    def _state(self, now: float, entry: Entry) -> tuple[State, str]:
        if entry.removed:
            return State.GONE, "no longer in the inventory"
        if not entry.boot:
            return State.UNKNOWN, "not heard from yet"
        silent_ms = now - entry.heard_at
        if not entry.link_up and now >= entry.down_since + RECONNECT_MS:
            return State.GONE, "no connection"
        if silent_ms >= MISSED_BEATS * entry.heartbeat_ms:
            return State.GONE, f"silent for {MISSED_BEATS} heartbeats"
        if entry.load is None:  # a hello without its first heartbeat: neither room nor state is known
            return (State.UNKNOWN if entry.told is None else State.GONE), "no heartbeat yet"
        if entry.cordoned:
            return State.DRAINING, "unschedulable"
        if entry.reported == "draining":
            return State.DRAINING, "draining by its own word"
        return State.READY, ""

    # ---- What the decisions are told ------------------------------------------------------------------

    def list_due(self, now: float) -> bool:
        """Whether there may be something to tell: at once of states, now and then of room."""
        return self._urgent or now >= self._listed_at + LIST_PERIOD_MS

    def take_list(self, now: float) -> EndpointList | None:
        """The changes since the last list."""
        machines = []
        for entry in self.entries.values():
            if not entry.stale:
                continue
            entry.stale = False
            machine = self._machine(entry)
            if machine is not None and machine != entry.told:
                entry.told = machine
                machines.append(machine)
        self._listed_at, self._urgent = now, False
        if not machines:
            return None
        self._version += 1
        return EndpointList(EndpointListKind.CHANGES, self._version, tuple(machines))

    def _machine(self, entry: Entry) -> Endpoint | None:
        if entry.state is State.UNKNOWN:
            return None
        state = MODULE_STATE[entry.state]
        if entry.load is None:
            return None if entry.told is None else replace(entry.told, state=state)
        return Endpoint(
            entry.number,
            entry.kind,
            entry.cell,
            entry.zone,
            state,
            entry.load.free_cores,
            entry.load.free_memory,
            entry.started_at,
        )

    # ---- What owners are shown ------------------------------------------------------------------------

    @staticmethod
    def worth_showing(now: float, entry: Entry, slower: float = 1.0) -> bool:
        """Whether figures that only drift are to be shown anew; `slower` times less often than usual."""
        period = SHOW_PERIOD_MS if entry.tasks == entry.shown_tasks else SHOW_TASKS_MS
        return entry.load is not None and now >= entry.shown_at + slower * period

    def render(self, entry: Entry) -> Object:
        """The machine's object for the API."""
        status: Object = {"state": entry.state.value, "tasks": entry.tasks, "free": {}, "unused": {}}
        if entry.load is not None:
            status["free"] = {"cores": entry.load.free_cores, "memory": entry.load.free_memory}
            status["unused"] = {"cores": entry.load.unused_cores, "memory": entry.load.unused_memory}
            status["waiting"] = entry.load.waiting
        if entry.boot:
            status |= {
                "heartbeatAt": timestamp(entry.heard_at),
                "startedAt": timestamp(entry.started_at),
                "bootId": entry.boot,
            }
        if entry.message:
            status["message"] = entry.message
        host = entry.host
        return {
            "apiVersion": API_VERSION,
            "kind": "Machine",
            "metadata": {
                "name": host.name,
                "uid": f"{entry.number:012x}",
                "resourceVersion": "",
                "generation": entry.generation,
                "creationTimestamp": timestamp(entry.created_at)[:19] + "Z",
            },
            "spec": {
                "kind": host.kind,
                "rack": host.rack,
                "room": host.room,
                "cores": host.cores,
                "memory": host.memory,
                "address": host.address,
                "unschedulable": entry.cordoned,
            },
            "status": status,
        }
