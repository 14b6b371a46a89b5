"""Capacity by usage: load reports of machines, and the learned ratios of usage to request.

It filters out machines that would serve a task poorly or run out of memory. Capacity by request is in
`capacity`.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import LoadReport, MachineId
from kelpfront.scheduling.fleet import Fleet
from kelpfront.scheduling.model import Machine, Task

MAX_LOAD_REPORT_AGE_MS = 4000.0
"""Age up to which a load report is used. Tasks live for seconds, so an older one tells less than requests."""
MIN_REPORT_WEIGHT = 0.05
"""Minimum weight of one report in the overall ratios, so that they average some dozens of reports."""
SERVICE_REPORT_WEIGHT = 0.25
"""Weight of one report in the ratios of a service, so that they follow changes within a few reports."""
MAX_MEMORY_UTILIZATION = 0.9
"""Maximum expected share of a machine's memory in use.

The machine evicts tasks when its memory is exhausted, and the usage of placed tasks still grows.
"""
MIN_SERVED_SHARE = 0.75
"""Minimum share of full service that a task must get on a machine.

Slightly reduced service costs less than a start on a machine that is not preferred.
"""
MAX_TRACKED_SERVICES = 10_000
"""Maximum number of services with learned ratios; bounds the memory of a placer that runs for months."""


@dataclass(slots=True)
class UsageRatios:
    """Ratios of the cores and memory that tasks use to those that they request."""

    cores: float
    memory: float


class Utilization:
    """Estimates the usage of machines, and filters those that have capacity left by usage."""

    def __init__(self, context: SchedulingContext, fleet: Fleet) -> None:
        self._context = context
        self._fleet = fleet
        self._overall = UsageRatios(1.0, 1.0)
        self._cores_report_count = 0
        self._memory_report_count = 0
        self._service_ratios: dict[int, UsageRatios] = {}

    def overall_ratios(self) -> UsageRatios:
        """Return the ratios of usage to request over all tasks of this placer."""
        return self._overall

    def ratios_of(self, service: int) -> UsageRatios:
        """Return the ratios of a service, or the overall ones if none are known for it."""
        return self._service_ratios.get(service, self._overall)

    def apply_load_report(self, machine_id: MachineId, load: LoadReport | None) -> None:
        """Apply a machine's report of its load."""
        machine = self._fleet.get(machine_id)
        if load is None or machine is None:
            return
        machine.reported_cores = None if load.free_cores is None else machine.cores - load.free_cores
        machine.reported_memory = None if load.free_memory is None else machine.memory - load.free_memory
        machine.cores_since_report = machine.recent_cores
        machine.memory_since_report = machine.recent_memory
        machine.load_reported_at = self._context.now

    def record_core_usage(self, task: Task, used_cores: float) -> None:
        """Update the ratios with the cores that a task was reported to use."""
        ratio = used_cores / task.cores
        self._cores_report_count += 1
        self._overall.cores += _report_weight(self._cores_report_count) * (ratio - self._overall.cores)
        service_ratios = self._tracked_ratios(task.service)
        service_ratios.cores += (ratio - service_ratios.cores) * SERVICE_REPORT_WEIGHT

    def record_memory_usage(self, task: Task, used_memory: float) -> None:
        """Update the ratios with the memory that a task was reported to use."""
        ratio = used_memory / task.memory
        self._memory_report_count += 1
        self._overall.memory += _report_weight(self._memory_report_count) * (ratio - self._overall.memory)
        service_ratios = self._tracked_ratios(task.service)
        service_ratios.memory += (ratio - service_ratios.memory) * SERVICE_REPORT_WEIGHT

    def select(self, task: Task, machines: list[Machine]) -> list[Machine]:
        """Return the machines that would serve the task well and not run out of memory with it.

        Expected usage is the machine's report plus this scheduler's changes since; without a recent report it
        is the requested capacity times the learned ratio.
        """
        # A single loop without calls: it runs over many machines for each task, and if it is slow, the placer
        # falls behind with everything.
        now = self._context.now
        ratio = self._overall.cores
        memory_ratio = self._overall.memory
        service_ratios = self.ratios_of(task.service)
        added_cores = task.cores * service_ratios.cores
        added_memory = task.memory * service_ratios.memory
        task_class = task.task_class
        max_utilization = (
            task_class.full_service_utilization + (1 - MIN_SERVED_SHARE) * task_class.degradation_range
        )
        selected = []
        for machine in machines:
            cores = machine.requested_cores * ratio
            memory = machine.requested_memory * memory_ratio
            if now - machine.load_reported_at <= MAX_LOAD_REPORT_AGE_MS:
                if machine.reported_cores is not None:
                    cores = machine.reported_cores + machine.cores_since_report * ratio
                if machine.reported_memory is not None:  # the memory usage of new tasks is still growing
                    memory = max(memory, machine.reported_memory + machine.memory_since_report * memory_ratio)
            if (
                cores + added_cores <= max_utilization * machine.cores
                and memory + added_memory <= MAX_MEMORY_UTILIZATION * machine.memory
            ):
                selected.append(machine)
        return selected

    def _tracked_ratios(self, service: int) -> UsageRatios:
        ratios = self._service_ratios.get(service)
        if ratios is None:
            ratios = self._service_ratios[service] = replace(self._overall)
            if len(self._service_ratios) > MAX_TRACKED_SERVICES:
                # Delete the service that was added first, because services are short-lived.
                del self._service_ratios[next(iter(self._service_ratios))]
        return ratios


def _report_weight(report_count: int) -> float:
    """Return the weight of a report in the overall ratios.

    The first reports weigh more, because one placer among many gets few reports.
    """
    return max(MIN_REPORT_WEIGHT, 1 / report_count)
