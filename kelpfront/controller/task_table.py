"""The index of the active tasks by uid and by scheduler id, with a count of those that need an answer."""

from __future__ import annotations

from collections.abc import Callable

from kelpfront.controller.tasks import Attempt, Task
from kelpfront.scheduling.events import TaskId


class TaskTable:
    """The tasks that have not ended, or that may still be on a machine.

    Attributes:
        by_uid: tasks by the uid that clients and machines use.
        by_scheduler_id: tasks by their scheduler id.
        open_count: the number of tasks that still need an answer.
        on_removed: called with each removed task, before its records are cleared.
    """

    def __init__(self) -> None:
        self.by_uid: dict[str, Task] = {}
        self.by_scheduler_id: dict[TaskId, Task] = {}
        self.open_count = 0
        self.on_removed: Callable[[Task], None] | None = None
        self._last_id: TaskId = 1

    def next_scheduler_id(self) -> TaskId:
        """Return an unused scheduler id."""
        self._last_id += 1
        return self._last_id

    def add(self, task: Task) -> None:
        """Add a task; it counts as open if it needs an answer."""
        self.by_uid[task.uid] = task
        self.by_scheduler_id[task.scheduler_id] = task
        if task.needs_answer:
            self.open_count += 1

    def record_answered(self) -> None:
        """Decrement the number of open tasks: one was answered or withdrawn."""
        self.open_count -= 1

    def renumber(self, task: Task) -> None:
        """Assign a new scheduler id to a task that is handed to the scheduler again."""
        self.by_scheduler_id.pop(task.scheduler_id, None)
        task.scheduler_id = self.next_scheduler_id()
        self.by_scheduler_id[task.scheduler_id] = task

    def find_attempt(self, task_uid: str, attempt_number: int) -> Attempt | None:
        """Return an attempt by its task's uid and its number, as machines identify it."""
        task = self.by_uid.get(task_uid)
        return None if task is None else task.attempt(attempt_number)

    def remove(self, task: Task) -> None:
        """Remove a task from the index; a task that was removed before is ignored."""
        if self.on_removed is not None and self.by_uid.get(task.uid) is task:
            self.on_removed(task)
        self.by_uid.pop(task.uid, None)
        self.by_scheduler_id.pop(task.scheduler_id, None)
        if task.job.deleted:
            # Break the reference cycle with the attempts: otherwise only the garbage collector frees them.
            task.attempts.clear()

    def longest_remaining_ms(self, now: float) -> float:
        """Return the time until the latest deadline of the open tasks; 0 if none is open."""
        open_tasks = (task for task in self.by_uid.values() if task.needs_answer and not task.withdrawn)
        return max((task.deadline - now for task in open_tasks), default=0.0)
