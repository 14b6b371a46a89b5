"""Accepted tasks on their way to the scheduler: a few at a time, by priority and by turns between namespaces.

A job of a thousand tasks must not hold up everything else, and yet each task must be answered in time. What
the scheduler does with a task is its own matter.
"""

from __future__ import annotations

from kelpfront.controller.cluster import Cluster
from kelpfront.controller.degradation import DegradationReporter
from kelpfront.controller.scheduler_driver import SchedulerDriver
from kelpfront.controller.tasks import Job, Task
from kelpfront.degradation import FairQueue
from kelpfront.numbers import service_number
from kelpfront.scheduling.events import TaskArrived
from kelpfront.timers import Timers

MAX_TASKS_PER_BATCH = 8
"""Tasks that are handed over before other work has its turn."""
LATE_HANDOVER_TICKS = 2
"""Ticks of the timers before its deadline by which a task is handed over, to be answered in time."""


class ArrivalQueue:
    """Tasks that the scheduler was not given yet.

    Attributes:
        pending_count: how many of them are still wanted.
    """

    def __init__(
        self, cluster: Cluster, degradation: DegradationReporter, driver: SchedulerDriver, timers: Timers
    ) -> None:
        self.pending_count = 0
        self._tick_ms = cluster.settings.timer_resolution_ms
        self._degradation = degradation
        self._driver = driver
        self._timers = timers
        self._queue: FairQueue[Task] = FairQueue(degradation.client_weight)

    def __bool__(self) -> bool:
        """Whether anything is queued, wanted or not."""
        return bool(self._queue)

    def ensure_deadline(self, job: Job, added_count: int, deadline: float) -> None:
        """Have tasks that are about to be added handed over before their deadline, whatever is queued."""
        if added_count + self.pending_count <= MAX_TASKS_PER_BATCH:
            return  # their turn comes at once
        due = deadline - LATE_HANDOVER_TICKS * self._tick_ms
        self._timers.set(due, lambda then: self._hand_over_late(then, job))

    def push(self, task: Task) -> None:
        """Queue a task."""
        rank = self._degradation.priority_rank(task)
        self._queue.push(rank, task.job.namespace, task.deadline, task)
        self.pending_count += 1

    def discard(self, task: Task) -> None:
        """Count a task that was not handed over as not wanted any more."""
        task.handed_over = True
        self.pending_count -= 1

    def hand_over_some(self, now: float) -> None:
        """Give the scheduler as many tasks as one turn allows."""
        handed_over = 0
        while self._queue and handed_over < MAX_TASKS_PER_BATCH:
            task = self._queue.pop()
            if not task.handed_over:
                self._hand_over(now, task)
                handed_over += 1

    def _hand_over(self, now: float, task: Task) -> None:
        task.handed_over = True
        self.pending_count -= 1
        job = task.job
        spec = job.spec
        service = service_number(job.namespace, spec["service"])
        remaining_ms = max(0.0, task.deadline - now)
        timeout_ms = self._degradation.placement_time_ms(task, remaining_ms)
        arrived = TaskArrived(
            task.scheduler_id, job.class_index, service, spec["cores"], spec["memory"], timeout_ms
        )
        self._driver.feed(now, arrived)

    def _hand_over_late(self, now: float, job: Job) -> None:
        """The time of a job's tasks is up; the scheduler rejects those that it had not seen yet."""
        for task in list(job.tasks.values()):
            if task.needs_answer and not task.handed_over:
                self._hand_over(now, task)
