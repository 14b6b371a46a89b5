"""Queues accepted tasks for the scheduler and hands them over in small batches.

Tasks are ordered by priority and, among namespaces, by fair queueing. A job with a thousand tasks must not
block everything else, and yet each task must be answered by its deadline.
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
"""Tasks that are handed to the scheduler in one batch, before the controller does other work."""
HANDOVER_MARGIN_TICKS = 2
"""Margin before a task's deadline, in timer ticks, at which it is handed over to be answered in time."""


class ArrivalQueue:
    """Accepted tasks that were not handed to the scheduler yet.

    Attributes:
        pending_count: the number of these tasks that were not withdrawn.
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
        """Whether the queue has any entries, including withdrawn tasks."""
        return bool(self._queue)

    def ensure_deadline(self, job: Job, added_count: int, deadline: float) -> None:
        """Set a timer that hands over the tasks about to be added before their deadline if still queued."""
        if added_count + self.pending_count <= MAX_TASKS_PER_BATCH:
            return  # the next batch includes all of them
        due = deadline - HANDOVER_MARGIN_TICKS * self._tick_ms
        self._timers.set(due, lambda fired_at: self._hand_over_overdue(fired_at, job))

    def push(self, task: Task) -> None:
        """Queue a task."""
        rank = self._degradation.priority_rank(task)
        self._queue.push(rank, task.job.namespace, task.deadline, task)
        self.pending_count += 1

    def discard(self, task: Task) -> None:
        """Exclude a withdrawn task from the handover; its queue entry is skipped later."""
        task.handed_over = True
        self.pending_count -= 1

    def hand_over_batch(self, now: float) -> None:
        """Hand the next batch of tasks to the scheduler."""
        handed_over_count = 0
        while self._queue and handed_over_count < MAX_TASKS_PER_BATCH:
            task = self._queue.pop()
            if not task.handed_over:
                self._hand_over(now, task)
                handed_over_count += 1

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

    def _hand_over_overdue(self, now: float, job: Job) -> None:
        """Hand over a job's tasks that are still queued near the deadline; the scheduler rejects them."""
        for task in list(job.tasks.values()):
            if task.needs_answer and not task.handed_over:
                self._hand_over(now, task)
