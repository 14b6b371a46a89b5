"""Tracks which tasks run on which machine, and forgets removed machines without tasks. No I/O.

This module maintains the `running` entries of the endpoint table's machines; `running_tasks` and `attempts`
decide about the tasks.
"""

from __future__ import annotations

from kelpfront.platform.endpoint_table import EndpointTable, Machine
from kelpfront.platform.intents import ForgetMachine, Outbox
from kelpfront.platform.requests import PendingRequest
from kelpfront.scheduling.events import MachineId, MachineState


class MachineTasks:
    """The running tasks of the machines in `endpoints`."""

    def __init__(self, endpoints: EndpointTable, outbox: Outbox) -> None:
        self._endpoints = endpoints
        self._outbox = outbox

    def has_tasks_on(self, machine_id: MachineId) -> bool:
        """Return whether tasks run on the machine."""
        machine = self._endpoints.machines.get(machine_id)
        return machine is not None and bool(machine.running)

    def tasks_on(self, machine_id: MachineId) -> list[PendingRequest]:
        """Return the requests whose tasks run on the machine."""
        machine = self._endpoints.machines.get(machine_id)
        return [] if machine is None else list(machine.running.values())

    def remove(self, machine_id: MachineId, request: PendingRequest) -> None:
        """Remove a task that has ended; forget a removed machine when its last task is removed."""
        machine = self._endpoints.machines.get(machine_id)
        if machine is None:
            return
        machine.running.pop(request.request_id, None)
        if not machine.running and machine.state is MachineState.REMOVED:
            self.forget_machine(machine)

    def forget_machine(self, machine: Machine) -> None:
        """Delete a removed machine from the table and close its connections."""
        if self._endpoints.forget(machine.id):
            self._outbox.put(ForgetMachine(machine.id))
