"""The machines that a scheduler knows, which of them are ready, and when own changes to them expire.

It holds state that several parts read. What the endpoint list says is applied by `endpoints`.
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
        machines: by id, those that are only kept until their last attempt ends included.
        ready: machines that the list names ready; a new list object whenever the set changes.
        ready_cores: the sum of their cores.
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
        """Add a machine that the endpoint list names for the first time."""
        self.machines[machine.id] = machine
        self.update_ready()

    def remove(self, machines: Iterable[Machine]) -> None:
        """Forget machines that are removed from the endpoint list and hold no attempts."""
        for machine in machines:
            del self.machines[machine.id]

    def update_ready(self) -> None:
        """Collect the ready machines again after the state of one has changed."""
        self.ready = [m for m in self.machines.values() if m.is_ready]
        self.ready_cores = sum(m.cores for m in self.ready)

    def record_change(self, machine: Machine, cores: float, memory: float) -> None:
        """Add an own change of a machine's requested capacity, until the endpoint list must show it."""
        machine.record_change(self._context.now, cores, memory)
        self._expiries.append(_PendingExpiry(self._context.now, machine))

    def expire_changes(self) -> None:
        """Drop own changes that the endpoint list shows by now."""
        now = self._context.now
        while self._expiries and self._expiries[0].changed_at <= now - VIEW_LAG_MS:
            self._expiries.popleft().machine.expire_changes(now)
