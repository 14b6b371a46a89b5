"""The load report of a machine: its requested and used resources, and the number of waiting tasks.

The meter stores the usage of programs that are not tasks; it reads everything else from the task table and
the queues.
"""

from __future__ import annotations

from kelpfront.machine.admission import Capacity
from kelpfront.machine.admission_queue import AdmissionQueue
from kelpfront.machine.messages import LoadReport
from kelpfront.machine.model import ADMITTED_PHASES, OtherPrograms
from kelpfront.machine.start_queue import StartQueue
from kelpfront.machine.task_table import TaskTable

_REPORTED_DECIMALS = 3  # rounding errors of sums would make the reported numbers long


class LoadMeter:
    """Computes the load of one node."""

    def __init__(
        self, capacity: Capacity, tasks: TaskTable, admission_queue: AdmissionQueue, start_queue: StartQueue
    ) -> None:
        self._capacity = capacity
        self._tasks = tasks
        self._admission_queue = admission_queue
        self._start_queue = start_queue
        self.other_programs = OtherPrograms()

    @property
    def task_count(self) -> int:
        """The number of tasks on the machine, in any phase."""
        return len(self._tasks.by_uid)

    @property
    def pending_offers(self) -> int:
        """The number of offers that wait for evaluation."""
        return len(self._admission_queue)

    def report(self) -> LoadReport:
        """Return the load report that is sent to placers."""
        capacity = self._capacity
        requested_cores = requested_memory = used_cores = used_memory = 0.0
        for task in self._tasks.by_uid.values():
            if task.phase in ADMITTED_PHASES:
                requested_cores += task.offer.cores
                requested_memory += task.offer.memory
                used_cores += task.usage.cores
                used_memory += task.usage.memory
        used_cores += self.other_programs.cores
        used_memory += self.other_programs.memory
        return LoadReport(
            free_cores=round(capacity.cores - requested_cores, _REPORTED_DECIMALS),
            free_memory=round(capacity.memory - requested_memory, _REPORTED_DECIMALS),
            unused_cores=round(capacity.cores - used_cores, _REPORTED_DECIMALS),
            unused_memory=round(capacity.memory - used_memory, _REPORTED_DECIMALS),
            waiting=self.pending_offers + self._start_queue.waiting_count,
            busy=round(min(1.0, used_cores / capacity.cores), _REPORTED_DECIMALS),
        )
