"""The record of one machine: what it is, what it reported, and how the API shows it. No I/O.

Which state follows from the record is decided by `machine_registry`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from kelpfront.api.machines import State
from kelpfront.api.meta import API_VERSION, Object
from kelpfront.clock import timestamp
from kelpfront.inventory.model import Host
from kelpfront.machine.messages import LoadReport
from kelpfront.scheduling.events import Endpoint, MachineId

MAX_MISSED_HEARTBEATS = 4
"""Heartbeats a machine may miss: one that is late by a stall is ordinary, four in a row are not."""
RECONNECT_MS = 1_000.0
"""How long a broken stream may take to be back before its machine counts as gone."""
STATUS_PERIOD_MS = 5_000.0
"""Between changes of a machine's object that only renew its figures."""
STATUS_PERIOD_TASKS_MS = 1_000.0
"""Between such changes where the machine's number of tasks is another."""


@dataclass(slots=True, eq=False)
class MachineRecord:
    """One machine of the inventory, or one that was and still holds tasks.

    Attributes:
        machine_id: the machine as the scheduler knows it.
        cell: its rack, as the scheduler counts it; `zone` is its room.
        cordoned: whether an operator drains it.
        removed: whether the inventory names it no longer.
        link_up: whether its stream is connected; `down_since` tells since when it is not.
        last_contact_at: when its last message came.
        boot: the id of its agent's start; empty before the first contact.
        reconciled: whether it has reported which of this controller's tasks it holds.
        reported_state: the state by its own word.
        state_since: when it entered `state`.
        published_endpoint: what the scheduler was told of it last.
        endpoint_changed: whether the scheduler may have to be told something new.
        published_at: when its object was last brought to the store, with `published_task_count` tasks.
        declared_lost: whether its tasks were declared lost.
        task_count: how many tasks are placed on it.
    """

    host: Host
    machine_id: MachineId
    kind: int
    cell: int
    zone: int
    created_at: float
    cordoned: bool = False
    removed: bool = False
    generation: int = 1
    link_up: bool = False
    down_since: float = -math.inf
    last_contact_at: float = -math.inf
    heartbeat_ms: float = 1_000.0
    boot: str = ""
    reconciled: bool = False
    started_at: float = 0.0
    reported_state: str = "ready"
    load: LoadReport | None = None
    state: State = State.UNKNOWN
    state_since: float = 0.0
    message: str = "not heard from yet"
    published_endpoint: Endpoint | None = None
    endpoint_changed: bool = False
    published_at: float = -math.inf
    declared_lost: bool = False
    task_count: int = 0
    published_task_count: int = 0

    @property
    def name(self) -> str:
        """The machine's name in the inventory."""
        return self.host.name

    def missed_too_many_heartbeats(self, now: float) -> bool:
        """Whether it has missed so many heartbeats that it counts as gone."""
        return now - self.last_contact_at >= MAX_MISSED_HEARTBEATS * self.heartbeat_ms

    def disconnected_too_long(self, now: float) -> bool:
        """Whether its stream has been down for longer than reconnecting takes."""
        return not self.link_up and now >= self.down_since + RECONNECT_MS

    def status_due(self, now: float, period_factor: float = 1.0) -> bool:
        """Return whether figures that only drift are to be published again.

        Args:
            now: the present.
            period_factor: how many times less often than usual this is done.
        """
        same_tasks = self.task_count == self.published_task_count
        period_ms = STATUS_PERIOD_MS if same_tasks else STATUS_PERIOD_TASKS_MS
        return self.load is not None and now >= self.published_at + period_factor * period_ms

    def to_api(self) -> Object:
        """Return the machine's object as the API shows it."""
        host = self.host
        return {
            "apiVersion": API_VERSION,
            "kind": "Machine",
            "metadata": {
                "name": host.name,
                "uid": f"{self.machine_id:012x}",
                "resourceVersion": "",
                "generation": self.generation,
                "creationTimestamp": timestamp(self.created_at)[:19] + "Z",
            },
            "spec": {
                "kind": host.kind,
                "rack": host.rack,
                "room": host.room,
                "cores": host.cores,
                "memory": host.memory,
                "address": host.address,
                "unschedulable": self.cordoned,
            },
            "status": self._status(),
        }

    def _status(self) -> Object:
        status: Object = {"state": self.state.value, "tasks": self.task_count, "free": {}, "unused": {}}
        if self.load is not None:
            status["free"] = {"cores": self.load.free_cores, "memory": self.load.free_memory}
            status["unused"] = {"cores": self.load.unused_cores, "memory": self.load.unused_memory}
            status["waiting"] = self.load.waiting
        if self.boot:
            status |= {
                "heartbeatAt": timestamp(self.last_contact_at),
                "startedAt": timestamp(self.started_at),
                "bootId": self.boot,
            }
        if self.message:
            status["message"] = self.message
        return status
