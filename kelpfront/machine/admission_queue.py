"""The queue of offers that wait for evaluation. A machine evaluates one offer at a time, in order of arrival.

This module tracks the queue and the time at which the evaluation of its head finishes. `evaluation` makes the
decision.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from kelpfront.machine.model import ActiveTask


class AdmissionQueue:
    """A first-in, first-out queue; `evaluation_ms` returns how long the evaluation of its head takes."""

    def __init__(self, evaluation_ms: Callable[[], float]) -> None:
        self._evaluation_ms = evaluation_ms
        self._tasks: deque[ActiveTask] = deque()
        self._head_evaluated_at = math.inf  # infinite while no evaluation has begun

    def __len__(self) -> int:
        return len(self._tasks)

    @property
    def next_due(self) -> float:
        """The time at which the evaluation of the head finishes; infinite if none is in progress."""
        return self._head_evaluated_at

    def all(self) -> list[ActiveTask]:
        """Return the waiting tasks."""
        return list(self._tasks)

    def append(self, task: ActiveTask) -> None:
        """Add a task at the end."""
        self._tasks.append(task)

    def remove(self, task: ActiveTask) -> None:
        """Remove a task; if it is the head, its evaluation is cancelled."""
        if self._tasks[0] is task:
            self._head_evaluated_at = math.inf
        self._tasks.remove(task)

    def pop_evaluated(self, now: float) -> ActiveTask | None:
        """Remove and return the head once its evaluation has finished; start its evaluation if needed."""
        if not self._tasks:
            self._head_evaluated_at = math.inf
            return None
        if self._head_evaluated_at == math.inf:
            self._head_evaluated_at = now + self._evaluation_ms()
        if self._head_evaluated_at > now:
            return None
        self._head_evaluated_at = math.inf
        return self._tasks.popleft()
