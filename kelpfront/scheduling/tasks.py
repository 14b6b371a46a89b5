"""The table of unfinished tasks, and the queue of those that wait for a machine, with its retry timer.

`retries` decides when a task waits and when it is attempted again.
"""

from __future__ import annotations

import math

from kelpfront.scheduling.actions import SetTimer
from kelpfront.scheduling.context import SchedulingContext
from kelpfront.scheduling.events import TaskArrived, TaskFound, TaskId
from kelpfront.scheduling.model import Task
from kelpfront.scheduling.timer_tokens import TimerKind, encode_token

RETRIES_PER_OBJECTIVE = 10
"""Retry intervals per shortest latency objective: a task waits a tenth of it longer than needed at most."""


class TaskTable:
    """All unfinished tasks, and the queue of waiting ones."""

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
        """Return an unfinished task, or None if it is unknown."""
        return self._tasks.get(task_id)

    def add(self, event: TaskArrived | TaskFound) -> Task | None:
        """Add a task and return it; None if its class is unknown.

        A missing or invalid request for cores or memory is replaced by the mean request.
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
        """Remove a task that needs no further answer."""
        task.is_answered = True
        self._tasks.pop(task.id, None)
        self._waiting.pop(task.id, None)

    def add_waiting(self, task: Task) -> None:
        """Add a task to the end of the waiting queue, and set the retry timer unless it is already set."""
        self._waiting[task.id] = None
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            retry_at = self._context.now + self._retry_interval_ms
            self._context.emit(SetTimer(retry_at, encode_token(TimerKind.RETRY_WAITING)))

    def remove_waiting(self, task_id: TaskId) -> None:
        """Remove a task from the waiting queue, if it is there."""
        self._waiting.pop(task_id, None)

    def is_waiting(self, task: Task) -> bool:
        """Return whether a task waits for a machine."""
        return task.id in self._waiting

    def on_retry_timer(self) -> None:
        """Record that the retry timer has fired; the next task that is queued sets it again."""
        self._is_retry_scheduled = False

    def waiting_by_priority(self) -> list[Task]:
        """Return the waiting tasks by priority, then by priority weight, then in queue order."""
        waiting = [self._tasks[task_id] for task_id in self._waiting]
        return sorted(waiting, key=lambda t: (-t.task_class.priority, -t.task_class.priority_weight))
