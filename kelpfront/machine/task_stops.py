"""Ends tasks that are no longer wanted here, whatever their phase: asked for, preempted, evicted or drained.

It decides between stopping a task that has begun and withdrawing one that has not.
"""

from __future__ import annotations

from kelpfront.machine.messages import GoneCause
from kelpfront.machine.model import ActiveTask
from kelpfront.machine.running_tasks import RunningTasks
from kelpfront.machine.withdrawals import Withdrawals


class TaskStops:
    """Stops or withdraws tasks of a node."""

    def __init__(self, running: RunningTasks, withdrawals: Withdrawals) -> None:
        self._running = running
        self._withdrawals = withdrawals

    def end(self, task: ActiveTask, cause: GoneCause, message: str) -> bool:
        """End a task; `message` refuses the offer of one that has not begun.

        Returns whether it has begun: then it is over only when its process has ended.
        """
        if task.has_begun:
            self._running.stop(task, cause)
            return True
        self._withdrawals.withdraw(task, cause, message)
        return False

    def preempt(self, victim: ActiveTask, successor: ActiveTask) -> None:
        """End a task to make room for another, which then waits for that end."""
        has_begun = self.end(victim, "pushed-out", "pushed out")
        if has_begun:
            successor.blocked_by.add(victim.uid)
