"""The queue of admitted tasks that wait for their start, and the number of starts in progress.

A machine bounds the number of parallel starts and, if a rate is set, the rate of starts. Both limits are
lower during its slow start. This module tracks the queue, the starts in progress, the time of the next start
and the cached programs; `task_starter` begins the starts.
"""

from __future__ import annotations

import math
from collections import deque

from kelpfront.machine.model import ActiveTask, Incarnation, NodeSettings, Phase
from kelpfront.machine.program_cache import ProgramCache

_ROUNDING_SLACK = 1e-9  # a product such as 0.1 * 30 must allow three starts despite rounding errors


class StartQueue:
    """The start queue of a node."""

    def __init__(self, settings: NodeSettings, incarnation: Incarnation) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._tasks: deque[ActiveTask] = deque()
        self._starts_in_progress = 0
        self._next_start_at = -math.inf
        self.programs = ProgramCache(settings.max_cached_programs)

    @property
    def waiting_count(self) -> int:
        """The number of tasks that wait for their start or are starting."""
        return len(self._tasks) + self._starts_in_progress

    @property
    def next_due(self) -> float:
        """The time at which the rate allows the next start; infinite if no task waits or no rate is set."""
        if not self._tasks or not self._settings.starts_per_ms:
            return math.inf
        return self._next_start_at

    def all(self) -> list[ActiveTask]:
        """Return the tasks that wait for their start."""
        return list(self._tasks)

    def append(self, task: ActiveTask) -> None:
        """Add an admitted task."""
        self._tasks.append(task)

    def remove(self, task: ActiveTask) -> None:
        """Remove a task that is withdrawn, too late to start, or about to start."""
        self._tasks.remove(task)

    def may_start(self, now: float) -> bool:
        """Return whether another start may begin now."""
        is_too_early = bool(self._settings.starts_per_ms) and now < self._next_start_at
        return self._starts_in_progress < self._max_starts(now) and not is_too_early

    def begin_start(self, now: float, task: ActiveTask) -> bool:
        """Count a start that begins; returns whether the task's program has to be fetched first."""
        service = task.offer.service
        needs_program = not self.programs.has(service)
        task.phase = Phase.STARTING
        self._starts_in_progress += 1
        self.programs.acquire(service)
        starts_per_ms = self._settings.starts_per_ms
        if starts_per_ms:
            interval_ms = 1.0 / (starts_per_ms * self._share(now))
            self._next_start_at = max(now, self._next_start_at) + interval_ms
        return needs_program

    def finish_start(self) -> None:
        """Count a start as finished: the task is running or being stopped."""
        self._starts_in_progress -= 1

    def restore(self, task: ActiveTask) -> None:
        """Count a task that an earlier process started."""
        self.programs.acquire(task.offer.service)
        if task.phase is Phase.STARTING:
            self._starts_in_progress += 1

    def release(self, task: ActiveTask, *, ran: bool) -> None:
        """Count a task that had begun as ended, and unblock the tasks that wait for its end."""
        if task.phase is Phase.STARTING:
            self._starts_in_progress -= 1
        self.programs.release(task.offer.service, cache_idle=ran)
        for waiting in self._tasks:
            waiting.blocked_by.discard(task.uid)

    def _share(self, now: float) -> float:
        return self._settings.slow_start.share_at(now - self._incarnation.started_at)

    def _max_starts(self, now: float) -> int:
        return max(1, math.floor(self._settings.max_parallel_starts * self._share(now) + _ROUNDING_SLACK))
