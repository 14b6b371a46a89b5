"""The index of the tasks that the controller works on, and how many of them still need an answer.

What happens to a task is decided elsewhere; this module only finds it by uid and by the scheduler's id.
"""

from __future__ import annotations

from collections.abc import Callable

from kelpfront.controller.tasks import Attempt, Task
from kelpfront.scheduling.events import TaskId


class TaskTable:
    """Tasks that are not over, or over and possibly still on a machine.

    Attributes:
        by_uid: tasks by the uid that clients and machines know.
        by_scheduler_id: tasks by the id that the scheduler knows.
        open_count: how many tasks still need their answer.
        on_removed: is called with each task that is removed, while its records are still whole.
    """

    def __init__(self) -> None:
        self.by_uid: dict[str, Task] = {}
        self.by_scheduler_id: dict[TaskId, Task] = {}
        self.open_count = 0
        self.on_removed: Callable[[Task], None] | None = None
        self._last_id: TaskId = 1

    def next_scheduler_id(self) -> TaskId:
        """Return an id that the scheduler has not seen."""
        self._last_id += 1
        return self._last_id

    def add(self, task: Task) -> None:
        """Add a task; it counts as open where it needs an answer."""
        self.by_uid[task.uid] = task
        self.by_scheduler_id[task.scheduler_id] = task
        if task.needs_answer:
            self.open_count += 1

    def record_answered(self) -> None:
        """Count one open task less: it has its answer, or its client no longer wants one."""
        self.open_count -= 1

    def renumber(self, task: Task) -> None:
        """Give a task that is handed to the scheduler again a new id there."""
        self.by_scheduler_id.pop(task.scheduler_id, None)
        task.scheduler_id = self.next_scheduler_id()
        self.by_scheduler_id[task.scheduler_id] = task

    def find_attempt(self, task_uid: str, attempt_number: int) -> Attempt | None:
        """Return an attempt by the names that machines know it by."""
        task = self.by_uid.get(task_uid)
        return None if task is None else task.attempt(attempt_number)

    def remove(self, task: Task) -> None:
        """Forget a task; one that was removed before is left alone."""
        if self.on_removed is not None and self.by_uid.get(task.uid) is task:
            self.on_removed(task)
        self.by_uid.pop(task.uid, None)
        self.by_scheduler_id.pop(task.scheduler_id, None)
        if task.job.deleted:
            # Attempts refer to their task: without this both would be left to the garbage collector.
            task.attempts.clear()

    def longest_remaining_ms(self, now: float) -> float:
        """Return how long until the last open task has its deadline; 0 where none is open."""
        open_tasks = (task for task in self.by_uid.values() if task.needs_answer and not task.withdrawn)
        return max((task.deadline - now for task in open_tasks), default=0.0)
