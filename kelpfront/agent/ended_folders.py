"""Retains the folders of ended tasks, so that their output stays readable, up to a maximum number."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
from collections import OrderedDict
from dataclasses import dataclass
from pathlib import Path

import structlog

from kelpfront.agent import task_folder
from kelpfront.agent.runtime_context import RuntimeContext
from kelpfront.agent.state_database import StateError
from kelpfront.agent.state_records import TaskKey

log = structlog.get_logger("kelpfront.agent")


@dataclass(frozen=True, slots=True)
class _EndedFolder:
    key: TaskKey
    folder: Path


class EndedFolders:
    """The folders of ended tasks, in the order in which they ended."""

    def __init__(self, context: RuntimeContext) -> None:
        self._context = context
        self._folders: OrderedDict[TaskKey, Path] = OrderedDict()

    def retain(self, key: TaskKey, folder: Path) -> None:
        """Retain an ended task's folder, and remove the oldest folders beyond the limit."""
        self._folders[key] = folder
        expired: list[_EndedFolder] = []
        while len(self._folders) > self._context.max_ended_folders:
            expired.append(_EndedFolder(*self._folders.popitem(last=False)))
        if expired:
            self._context.background.spawn(self._remove(expired))

    async def _remove(self, expired: list[_EndedFolder]) -> None:
        """Remove the records, then the folders.

        In the other order, the next agent could find a record without a folder and treat the task as one that
        was never started. If this is cancelled in between, folders without a record are left, which the next
        agent adopts as ended tasks.
        """
        try:
            await self._context.state.delete([ended.key for ended in expired])
        except StateError as error:
            log.error(  # noqa: TRY400 - an expected failure, logged without a traceback
                "ended tasks not deleted from the state", error=str(error), tasks=len(expired)
            )
            return
        trash = task_folder.trash_folder(self._context.tasks_folder)
        trash.mkdir(exist_ok=True)
        for ended in expired:
            with contextlib.suppress(OSError):  # the folder may already be gone
                ended.folder.rename(trash / ended.folder.name)
        await asyncio.to_thread(shutil.rmtree, trash, ignore_errors=True)

    def find(self, task: str, attempt: int | None) -> Path | None:
        """Return the folder of an attempt, or of the task's last ended attempt if `attempt` is None."""
        if attempt is not None:
            return self._folders.get(TaskKey(task, attempt))
        for key, folder in reversed(self._folders.items()):
            if key.task == task:
                return folder
        return None
