"""The tasks that are not finished, and those of them that wait for a machine, with their wake-up timer.

It keeps tables and orders. When a task waits, and when it is attempted again, is decided by `retries`.
"""

from __future__ import annotations

import math

from kelpfront.scheduling.actions import SetTimer
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import TaskArrived, TaskFound, TaskId
from kelpfront.scheduling.model import Task
from kelpfront.scheduling.timer_tokens import TimerKind, encode_token

RETRIES_PER_OBJECTIVE = 10
"""A task waits longer than needed by a tenth of the shortest latency objective at most."""


class TaskTable:
    """All unfinished tasks, and the queue of those that wait."""

    def __init__(self, context: SchedulingContext) -> None:
        self._context = context
        self._tasks: dict[TaskId, Task] = {}
        self._waiting: dict[TaskId, None] = {}
        self._is_retry_scheduled = False
        shortest_objective_ms = min(cls.latency_objective_ms for cls in context.settings.classes)
        self._retry_interval_ms = shortest_objective_ms / RETRIES_PER_OBJECTIVE

    def __contains__(self, task_id: TaskId) -> bool:
        return task_id in self._tasks

    def get(self, task_id: TaskId) -> Task | None:
        """Return an unfinished task, or None."""
        return self._tasks.get(task_id)

    def add(self, event: TaskArrived | TaskFound) -> Task | None:
        """Add a task and return it; None if its class is unknown.

        Requests that are not given, or make no sense, count as the mean.
        """
        settings = self._context.settings
        if not 0 <= event.class_index < len(settings.classes):
            return None
        cores = event.cores if 0 < event.cores < math.inf else settings.mean_cores
        memory = event.memory if 0 < event.memory < math.inf else settings.mean_memory
        task = Task(event.task, settings.classes[event.class_index], event.service, cores, memory)
        self._tasks[task.id] = task
        return task

    def finish(self, task: Task) -> None:
        """Forget a task that needs no further answer."""
        task.is_answered = True
        self._tasks.pop(task.id, None)
        self._waiting.pop(task.id, None)

    def wait(self, task: Task) -> None:
        """Put a task at the end of the waiting queue, and set the timer that tries it again."""
        self._waiting[task.id] = None
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            retry_at = self._context.now + self._retry_interval_ms
            self._context.emit(SetTimer(retry_at, encode_token(TimerKind.RETRY_WAITING)))

    def stop_waiting(self, task_id: TaskId) -> None:
        """Take a task out of the waiting queue, if it is there."""
        self._waiting.pop(task_id, None)

    def is_waiting(self, task: Task) -> bool:
        """Return whether a task waits for a machine."""
        return task.id in self._waiting

    def on_retry_timer(self) -> None:
        """Note that the timer has fired; the next task that waits sets it again."""
        self._is_retry_scheduled = False

    def waiting_by_priority(self) -> list[Task]:
        """Return the waiting tasks by priority, then by utility of a second of service, then by age."""
        waiting = [self._tasks[task_id] for task_id in self._waiting]
        return sorted(waiting, key=lambda t: (-t.task_class.priority, -t.task_class.priority_weight))
