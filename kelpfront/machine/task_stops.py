"""Ends a task in any phase, because of a stop request, a preemption or the loss of its placer.

A task whose start has begun is stopped; any other task is withdrawn.
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
        """Stop or withdraw a task; `message` is the refusal's message if its start has not begun.

        Returns whether the start has begun: such a task ends only when its process has ended.
        """
        if task.has_begun:
            self._running.stop(task, cause)
            return True
        self._withdrawals.withdraw(task, cause, message)
        return False

    def preempt(self, victim: ActiveTask, successor: ActiveTask) -> None:
        """Preempt a task for another one, which waits until the preempted task has ended."""
        has_begun = self.end(victim, "pushed-out", "pushed out")
        if has_begun:
            successor.blocked_by.add(victim.uid)
