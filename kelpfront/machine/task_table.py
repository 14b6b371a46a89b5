"""The table of active tasks on a machine, by uid.

A task is added when its offer is queued and removed when it has ended, which releases its idempotency key.
The modules that share the table change the tasks in between.
"""

from __future__ import annotations

from kelpfront.machine.idempotency_records import KeyClaims
from kelpfront.machine.model import ActiveTask


class TaskTable:
    """All active tasks of a node."""

    def __init__(self, keys: KeyClaims) -> None:
        self.keys = keys
        self._by_uid: dict[str, ActiveTask] = {}

    @property
    def by_uid(self) -> dict[str, ActiveTask]:
        """The tasks by uid, in the order of their offers; callers must not modify the dict."""
        return self._by_uid

    def get(self, uid: str) -> ActiveTask | None:
        """Return a task, or None if it is not in the table."""
        return self._by_uid.get(uid)

    def all(self) -> list[ActiveTask]:
        """Return a copy of the list of all tasks, which stays valid while the table changes."""
        return list(self._by_uid.values())

    def of_placer(self, placer: str) -> list[ActiveTask]:
        """Return the tasks of a placer."""
        return [task for task in self._by_uid.values() if task.placer == placer]

    def placers(self) -> set[str]:
        """Return the placers that have tasks on this machine."""
        return {task.placer for task in self._by_uid.values()}

    def add(self, task: ActiveTask) -> None:
        """Add a task."""
        self._by_uid[task.uid] = task

    def discard(self, task: ActiveTask) -> None:
        """Remove a refused task, which has not claimed an idempotency key."""
        self._by_uid.pop(task.uid, None)

    def remove(self, task: ActiveTask) -> None:
        """Remove a task and release its idempotency key."""
        self._by_uid.pop(task.uid, None)
        self.keys.release(task.offer)
