"""A machine's load as placers see it: what is requested, what is in use and what waits.

It owns the usage of programs that are not tasks; all else is read from the parts that own it.
"""

from __future__ import annotations

from kelpfront.machine.admission import Capacity
from kelpfront.machine.admission_queue import AdmissionQueue
from kelpfront.machine.messages import LoadReport
from kelpfront.machine.model import ADMITTED_PHASES, OtherPrograms
from kelpfront.machine.start_queue import StartQueue
from kelpfront.machine.task_table import TaskTable

_DIGITS = 3  # of what is reported, so that sums of floats do not fill the messages


class LoadMeter:
    """Measures one node."""

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
        """How many tasks are here, in any phase."""
        return len(self._tasks.by_uid)

    @property
    def pending_offers(self) -> int:
        """How many offers wait for their evaluation."""
        return len(self._admission_queue)

    def report(self) -> LoadReport:
        """Return the load as it is sent to placers."""
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
            free_cores=round(capacity.cores - requested_cores, _DIGITS),
            free_memory=round(capacity.memory - requested_memory, _DIGITS),
            unused_cores=round(capacity.cores - used_cores, _DIGITS),
            unused_memory=round(capacity.memory - used_memory, _DIGITS),
            waiting=self.pending_offers + self._start_queue.waiting_count,
            busy=round(min(1.0, used_cores / capacity.cores), _DIGITS),
        )
