"""The record of one machine: its inventory entry, its latest report, and its representation in the API.

`machine_registry` derives the machine's state from the record. This module does no I/O.
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
"""Missed heartbeats after which a machine is gone: a stall may delay one, but not four in a row."""
RECONNECT_MS = 1_000.0
"""Time in which a broken stream may reconnect before its machine counts as gone."""
STATUS_PERIOD_MS = 5_000.0
"""Minimum time between updates of a Machine object that only refresh its figures."""
STATUS_PERIOD_TASKS_MS = 1_000.0
"""Minimum time between such updates if the machine's number of tasks has changed."""


@dataclass(slots=True, eq=False)
class MachineRecord:
    """One machine of the inventory, or a removed machine that still holds tasks.

    Attributes:
        machine_id: the scheduler's id of the machine.
        cell: the scheduler's number of its rack; `zone` is the number of its room.
        cordoned: whether an operator is draining it.
        removed: whether it is no longer in the inventory.
        link_up: whether its stream is connected; if not, `down_since` is when it was lost.
        last_contact_at: when the last message was received from it.
        boot: the boot id of its agent; empty before the first contact.
        reconciled: whether it has reported which of this controller's tasks it holds.
        reported_state: the state that its agent reported last.
        state_since: when it entered `state`.
        published_endpoint: the endpoint that was last sent to the scheduler.
        endpoint_changed: whether the endpoint may differ from the published one.
        published_at: when its object was last written to the store, with `published_task_count` tasks.
        declared_lost: whether its tasks were declared lost.
        task_count: the number of tasks placed on it.
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
        """Return whether the machine's figures are due to be published again.

        Args:
            now: the current time.
            period_factor: the factor by which the usual period is extended.
        """
        same_task_count = self.task_count == self.published_task_count
        period_ms = STATUS_PERIOD_MS if same_task_count else STATUS_PERIOD_TASKS_MS
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
