"""The machines that a scheduler knows, which of them are ready, and when its capacity changes expire.

It holds state that several components read. `endpoints` applies the endpoint list to it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import MachineId
from kelpfront.scheduling.model import VIEW_LAG_MS, Machine


class _PendingExpiry(NamedTuple):
    changed_at: float
    machine: Machine


class Fleet:
    """All known machines.

    Attributes:
        machines: all machines by id, including removed ones that still have open attempts.
        ready: machines that the endpoint list shows as ready; replaced by a new list on every change.
        ready_cores: sum of the cores of the ready machines.
    """

    def __init__(self, context: SchedulingContext) -> None:
        self._context = context
        self.machines: dict[MachineId, Machine] = {}
        self.ready: list[Machine] = []
        self.ready_cores = 0.0
        self._expiries: deque[_PendingExpiry] = deque()

    def get(self, machine: MachineId) -> Machine | None:
        """Return a machine, or None if it is unknown."""
        return self.machines.get(machine)

    def add(self, machine: Machine) -> None:
        """Add a machine that is new in the endpoint list."""
        self.machines[machine.id] = machine
        self.update_ready()

    def remove(self, machines: Iterable[Machine]) -> None:
        """Delete machines that were removed from the endpoint list and have no open attempts."""
        for machine in machines:
            del self.machines[machine.id]

    def update_ready(self) -> None:
        """Rebuild the list of ready machines after the state of one has changed."""
        self.ready = [m for m in self.machines.values() if m.is_ready]
        self.ready_cores = sum(m.cores for m in self.ready)

    def record_change(self, machine: Machine, cores: float, memory: float) -> None:
        """Add a change by this scheduler to a machine's requested capacity, until the list must show it."""
        machine.record_change(self._context.now, cores, memory)
        self._expiries.append(_PendingExpiry(self._context.now, machine))

    def expire_changes(self) -> None:
        """Drop the changes by this scheduler that the endpoint list shows by now."""
        now = self._context.now
        while self._expiries and self._expiries[0].changed_at <= now - VIEW_LAG_MS:
            self._expiries.popleft().machine.expire_changes(now)
