"""Draining of a machine: it refuses new offers and, depending on the drain mode, evicts its tasks.

This module tracks whether the machine is draining and when the next eviction is due.
"""

from __future__ import annotations

import math

from kelpfront.machine.model import LIVE_PHASES, ActiveTask, NodeSettings
from kelpfront.machine.running_tasks import RunningTasks
from kelpfront.machine.task_table import TaskTable
from kelpfront.machine.withdrawals import Withdrawals


class Drain:
    """The drain state and the evictions of a node."""

    def __init__(
        self, settings: NodeSettings, tasks: TaskTable, withdrawals: Withdrawals, running: RunningTasks
    ) -> None:
        self._settings = settings
        self._tasks = tasks
        self._withdrawals = withdrawals
        self._running = running
        self._next_eviction_at = math.inf
        self.is_draining = False

    @property
    def next_due(self) -> float:
        """The time of the next eviction; infinite if none is due."""
        return self._next_eviction_at

    def begin(self, now: float) -> None:
        """Start draining: withdraw all tasks whose start has not begun, and schedule evictions if enabled."""
        self.is_draining = True
        self._withdrawals.withdraw_all("sent-away", "draining")
        self._next_eviction_at = math.inf if self._settings.drain_mode == "none" else now

    def cancel(self) -> None:
        """Accept offers again; tasks that were evicted are not restored."""
        self.is_draining = False
        self._next_eviction_at = math.inf

    def evict_due(self, now: float) -> None:
        """Perform the evictions that are due, lowest priority first."""
        while self._next_eviction_at <= now:
            live = [task for task in self._tasks.by_uid.values() if task.phase in LIVE_PHASES]
            live.sort(key=_eviction_order)
            if self._settings.drain_mode == "paced":
                self._evict_first(now, live)
            else:
                self._evict_all(live)

    def _evict_first(self, now: float, live: list[ActiveTask]) -> None:
        has_more = len(live) > 1
        self._next_eviction_at = now + self._settings.drain_interval_ms if has_more else math.inf
        for task in live[:1]:
            self._running.stop(task, "sent-away")

    def _evict_all(self, live: list[ActiveTask]) -> None:
        self._next_eviction_at = math.inf
        for task in live:
            self._running.stop(task, "sent-away")


def _eviction_order(task: ActiveTask) -> tuple[int, str]:
    return task.offer.priority, task.uid
