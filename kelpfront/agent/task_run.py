"""One attempt of a task on its way through its processes, and the table of all of them.

Only data: who changes what is described by `runtime`.
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
    """One attempt that is not over, or has just ended.

    Attributes:
        record: its entry in the agent's state.
        folder: where the agent and the supervisor exchange records.
        stop_cause: why it is to stop, if it is.
        folder_ready: whether its folder and task record are there.
        running: whether its node was told that it runs.
        over: whether its node was told that it is over.
        supervisor: the last supervisor, if one is known.
        pidfd: a descriptor of the supervisor, which turns readable when that ends.
        replacements: how many supervisors were asked for in place of one that had died.
    """

    record: TaskRecord
    folder: Path
    stop_cause: GoneCause | None = None
    folder_ready: bool = False
    running: bool = False
    over: bool = False
    supervisor: ProcessIdentity | None = None
    pidfd: int = NO_PIDFD
    replacements: int = 0

    @property
    def task(self) -> str:
        """The task's uid."""
        return self.record.request.offer.task


class RunTable:
    """The runs that are not over, by task and by the name of their folder."""

    def __init__(self) -> None:
        self._by_task: dict[str, TaskRun] = {}
        self._by_folder: dict[str, TaskRun] = {}

    def __iter__(self) -> Iterator[TaskRun]:
        """Iterate over a copy: runs may be added and removed meanwhile."""
        return iter(list(self._by_task.values()))

    def add(self, run: TaskRun) -> None:
        """Add a run in place of an earlier one of the same task."""
        self._by_task[run.task] = run
        self._by_folder[run.folder.name] = run

    def remove(self, run: TaskRun) -> None:
        """Remove what the table has under the run's task and folder."""
        self._by_task.pop(run.task, None)
        self._by_folder.pop(run.folder.name, None)

    def get(self, task: str) -> TaskRun | None:
        """Return the run of a task."""
        return self._by_task.get(task)

    def in_folder(self, name: str) -> TaskRun | None:
        """Return the run whose folder has this name."""
        return self._by_folder.get(name)
