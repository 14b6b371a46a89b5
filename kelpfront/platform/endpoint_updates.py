"""Applies endpoint-list events to the table, the tasks on the machines and the scheduler. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from kelpfront.platform.core_state import CoreState
from kelpfront.platform.endpoint_events import EndpointEvent
from kelpfront.platform.endpoint_table import EndpointChange
from kelpfront.platform.log_records import EndpointEventsMissing
from kelpfront.platform.running_tasks import RunningTasks
from kelpfront.platform.scheduler_driver import SchedulerDriver
from kelpfront.scheduling.events import EndpointList, EndpointListKind, MachineState


class EndpointUpdates:
    """Applies the events of the coordinator's answers and of the configuration."""

    def __init__(self, state: CoreState, driver: SchedulerDriver, running_tasks: RunningTasks) -> None:
        self._endpoints = state.endpoints
        self._machine_tasks = state.machine_tasks
        self._counters = state.counters
        self._log = state.log
        self._driver = driver
        self._running_tasks = running_tasks

    def apply(self, now: float, index: int, events: Sequence[EndpointEvent]) -> None:
        """Apply an answer: the last index that it names, and its events."""
        had_gap = self._endpoints.has_gap
        for change in self._endpoints.apply(index, events):
            self._apply_change(now, change)
        if self._endpoints.has_gap and not had_gap:
            self._counters.endpoint_list_gaps += 1
            self._log.add(EndpointEventsMissing(self._endpoints.index))

    def _apply_change(self, now: float, change: EndpointChange) -> None:
        for machine in change.added:
            self._running_tasks.on_machine_listed(now, machine.id)
        for machine in change.restarted:
            machine.restarted_at = now
            self._running_tasks.on_machine_process_dead(now, machine.id)
        event = change.event
        kind = EndpointListKind.FULL if event.complete else EndpointListKind.CHANGES
        endpoints = tuple(entry.endpoint for entry in event.entries)
        self._driver.submit(now, EndpointList(kind, event.index, endpoints))
        for machine in change.removed:
            machine.state = MachineState.REMOVED
            self._running_tasks.on_machine_process_dead(now, machine.id)
            self._machine_tasks.forget_machine(machine)
