"""The in-memory state of one attempt that runs as processes, and the table of all of them.

This module contains data only: the components that `runtime` combines change it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from kelpfront.agent.process import ProcessIdentity
from kelpfront.agent.state_records import TaskRecord
from kelpfront.machine.messages import GoneCause

NO_PIDFD = -1


@dataclass(slots=True, eq=False)
class TaskRun:
    """One attempt that has not ended, or has just ended.

    Attributes:
        record: its entry in the agent's state.
        folder: the folder where the agent and the supervisor exchange records.
        stop_cause: the cause of the requested stop, or None if no stop was requested.
        folder_ready: whether its folder and task record exist.
        running: whether the node was notified that it runs.
        ended: whether the node was notified that it has ended.
        supervisor: the last supervisor, if one is known.
        pidfd: a pidfd of the supervisor, which becomes readable when the supervisor ends.
        replacements: how many replacements of a supervisor that died were requested.
    """

    record: TaskRecord
    folder: Path
    stop_cause: GoneCause | None = None
    folder_ready: bool = False
    running: bool = False
    ended: bool = False
    supervisor: ProcessIdentity | None = None
    pidfd: int = NO_PIDFD
    replacements: int = 0

    @property
    def task(self) -> str:
        """The task's uid."""
        return self.record.request.offer.task


class RunTable:
    """The runs that have not ended, by task and by folder name."""

    def __init__(self) -> None:
        self._by_task: dict[str, TaskRun] = {}
        self._by_folder: dict[str, TaskRun] = {}

    def __iter__(self) -> Iterator[TaskRun]:
        """Iterate over a copy, so that runs may be added and removed during the iteration."""
        return iter(list(self._by_task.values()))

    def add(self, run: TaskRun) -> None:
        """Add a run; it replaces an earlier run of the same task."""
        self._by_task[run.task] = run
        self._by_folder[run.folder.name] = run

    def remove(self, run: TaskRun) -> None:
        """Remove the entries for the run's task and folder."""
        self._by_task.pop(run.task, None)
        self._by_folder.pop(run.folder.name, None)

    def get(self, task: str) -> TaskRun | None:
        """Return the run of a task, or None."""
        return self._by_task.get(task)

    def in_folder(self, name: str) -> TaskRun | None:
        """Return the run whose folder has this name, or None."""
        return self._by_folder.get(name)
