"""Offers that wait for their evaluation, which a machine does one at a time, in the order in which they came.

It owns the queue and the time at which the head will have been evaluated. The decision is `evaluation`'s.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from kelpfront.machine.model import ActiveTask


class AdmissionQueue:
    """A queue whose head takes `evaluation_ms` to be evaluated."""

    def __init__(self, evaluation_ms: Callable[[], float]) -> None:
        self._evaluation_ms = evaluation_ms
        self._tasks: deque[ActiveTask] = deque()
        self._head_evaluated_at = math.inf  # infinite while no evaluation has begun

    def __len__(self) -> int:
        return len(self._tasks)

    @property
    def next_due(self) -> float:
        """When the head will have been evaluated; infinite where nothing is being evaluated."""
        return self._head_evaluated_at

    def all(self) -> list[ActiveTask]:
        """Return the tasks that wait."""
        return list(self._tasks)

    def append(self, task: ActiveTask) -> None:
        """Add a task at the end."""
        self._tasks.append(task)

    def remove(self, task: ActiveTask) -> None:
        """Remove a task; where it is the head its evaluation is broken off."""
        if self._tasks[0] is task:
            self._head_evaluated_at = math.inf
        self._tasks.remove(task)

    def pop_evaluated(self, now: float) -> ActiveTask | None:
        """Begin the evaluation of the head if none has begun; return the head once it is evaluated."""
        if not self._tasks:
            self._head_evaluated_at = math.inf
            return None
        if self._head_evaluated_at == math.inf:
            self._head_evaluated_at = now + self._evaluation_ms()
        if self._head_evaluated_at > now:
            return None
        self._head_evaluated_at = math.inf
        return self._tasks.popleft()
