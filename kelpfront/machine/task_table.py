"""The tasks on a machine by uid: the one place where they are kept.

A task enters with its offer and leaves when it is over, which releases its idempotency key. What happens to a
task in between is decided by the modules that are handed the table.
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
        """The tasks by uid, in the order of their offers; not to be changed."""
        return self._by_uid

    def get(self, uid: str) -> ActiveTask | None:
        """Return a task, or None where it is not here."""
        return self._by_uid.get(uid)

    def all(self) -> list[ActiveTask]:
        """Return all tasks, in a list that does not change with the table."""
        return list(self._by_uid.values())

    def of_placer(self, placer: str) -> list[ActiveTask]:
        """Return the tasks of a placer."""
        return [task for task in self._by_uid.values() if task.placer == placer]

    def placers(self) -> set[str]:
        """Return the placers that have tasks here."""
        return {task.placer for task in self._by_uid.values()}

    def add(self, task: ActiveTask) -> None:
        """Add a task."""
        self._by_uid[task.uid] = task

    def discard(self, task: ActiveTask) -> None:
        """Remove a task that was refused: it has claimed no idempotency key."""
        self._by_uid.pop(task.uid, None)

    def remove(self, task: ActiveTask) -> None:
        """Remove a task and release its idempotency key."""
        self._by_uid.pop(task.uid, None)
        self.keys.release(task.offer)
