"""Capacity by use: load reports of machines, and what tasks are learned to use of their requests.

It filters machines that would serve a task badly or run out of memory. Capacity by request is in `capacity`.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import LoadReport, MachineId
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.model import Machine, Task

MAX_LOAD_REPORT_AGE_MS = 4000.0
"""An older report says less than what is requested does: tasks live for seconds."""
MIN_REPORT_WEIGHT = 0.05
"""Weight of one report in the means of use: some dozens of reports decide, not the last few."""
SERVICE_REPORT_WEIGHT = 0.25
"""Weight of one report in a service's own ratios: they follow its changes within a few reports."""
MAX_MEMORY_UTILIZATION = 0.9
"""Of a machine's memory in expected use: past the whole it evicts, and use still grows."""
MIN_SERVED_SHARE = 0.75
"""Of full service: a little crowding costs less than a start away from the preferred machines."""
MAX_LEARNED_SERVICES = 10_000
"""Services whose use is remembered: bounds memory in a placer that runs for months."""


@dataclass(slots=True)
class UsageRatios:
    """What the tasks of a service use of the cores and memory that they request."""

    cores: float
    memory: float


class Utilization:
    """Estimates the use of machines, and filters those with capacity left by use."""

    def __init__(self, context: SchedulingContext, fleet: Fleet) -> None:
        self._context = context
        self._fleet = fleet
        self._overall = UsageRatios(1.0, 1.0)
        self._cores_report_count = 0
        self._memory_report_count = 0
        self._service_ratios: dict[int, UsageRatios] = {}

    def overall_ratios(self) -> UsageRatios:
        """Return the ratios of use to request over all own tasks."""
        return self._overall

    def ratios_of(self, service: int) -> UsageRatios:
        """Return the ratios of a service, or the overall ones while it has none of its own."""
        return self._service_ratios.get(service, self._overall)

    def apply_load_report(self, machine_id: MachineId, load: LoadReport | None) -> None:
        """Take over a machine's own report of its load."""
        machine = self._fleet.get(machine_id)
        if load is None or machine is None:
            return
        machine.reported_cores = None if load.free_cores is None else machine.cores - load.free_cores
        machine.reported_memory = None if load.free_memory is None else machine.memory - load.free_memory
        machine.cores_since_report = machine.recent_cores
        machine.memory_since_report = machine.recent_memory
        machine.load_reported_at = self._context.now

    def learn_cores(self, task: Task, used_cores: float) -> None:
        """Learn from a report what a task uses of its requested cores."""
        ratio = used_cores / task.cores
        self._cores_report_count += 1
        self._overall.cores += _mean_weight(self._cores_report_count) * (ratio - self._overall.cores)
        of_service = self._learned_ratios(task.service)
        of_service.cores += (ratio - of_service.cores) * SERVICE_REPORT_WEIGHT

    def learn_memory(self, task: Task, used_memory: float) -> None:
        """Learn from a report what a task uses of its requested memory."""
        ratio = used_memory / task.memory
        self._memory_report_count += 1
        self._overall.memory += _mean_weight(self._memory_report_count) * (ratio - self._overall.memory)
        of_service = self._learned_ratios(task.service)
        of_service.memory += (ratio - of_service.memory) * SERVICE_REPORT_WEIGHT

    def select(self, task: Task, machines: list[Machine]) -> list[Machine]:
        """Return the machines that serve the class well with this task, and whose memory will not run out.

        Expected use is the machine's report with own changes since, else the request times the learned ratio.
        """
        # One loop without calls: it goes over all machines for each task, and a placer that is late with that
        # is late with all.
        now = self._context.now
        ratio = self._overall.cores
        memory_ratio = self._overall.memory
        of_service = self.ratios_of(task.service)
        more = task.cores * of_service.cores
        more_memory = task.memory * of_service.memory
        task_class = task.task_class
        busy = task_class.full_service_utilization + (1 - MIN_SERVED_SHARE) * task_class.degradation_range
        selected = []
        for m in machines:
            cores = m.requested_cores * ratio
            memory = m.requested_memory * memory_ratio
            if now - m.load_reported_at <= MAX_LOAD_REPORT_AGE_MS:
                if m.reported_cores is not None:
                    cores = m.reported_cores + m.cores_since_report * ratio
                if m.reported_memory is not None:  # young tasks still grow into what they will use
                    memory = max(memory, m.reported_memory + m.memory_since_report * memory_ratio)
            if cores + more <= busy * m.cores and memory + more_memory <= MAX_MEMORY_UTILIZATION * m.memory:
                selected.append(m)
        return selected

    def _learned_ratios(self, service: int) -> UsageRatios:
        ratios = self._service_ratios.get(service)
        if ratios is None:
            ratios = self._service_ratios[service] = replace(self._overall)
            if len(self._service_ratios) > MAX_LEARNED_SERVICES:
                # The longest known goes first: services come and go.
                del self._service_ratios[next(iter(self._service_ratios))]
        return ratios


def _mean_weight(report_count: int) -> float:
    """Return the weight of a report in a mean: the first count in full, as one placer of many gets few."""
    return max(MIN_REPORT_WEIGHT, 1 / report_count)
