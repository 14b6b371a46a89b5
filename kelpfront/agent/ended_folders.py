"""Retains the folders of ended tasks for their output, and removes the oldest ones beyond a limit."""

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
        """Retain an ended task's folder; the oldest ones beyond the limit are removed."""
        self._folders[key] = folder
        expired: list[_EndedFolder] = []
        while len(self._folders) > self._context.max_ended_folders:
            expired.append(_EndedFolder(*self._folders.popitem(last=False)))
        if expired:
            self._context.background.spawn(self._remove(expired))

    async def _remove(self, expired: list[_EndedFolder]) -> None:
        """Remove the records first: a record without a folder would be taken for a start that never began.

        Cancelled between the two, it leaves folders without a record, which the next agent adopts as ended.
        """
        try:
            await self._context.state.delete([ended.key for ended in expired])
        except StateError as error:
            log.error(  # noqa: TRY400 - a foreseen failure, told without a traceback
                "ended tasks not deleted from the state", error=str(error), tasks=len(expired)
            )
            return
        trash = task_folder.trash_folder(self._context.tasks_folder)
        trash.mkdir(exist_ok=True)
        for ended in expired:
            with contextlib.suppress(OSError):  # it may have been removed already
                ended.folder.rename(trash / ended.folder.name)
        await asyncio.to_thread(shutil.rmtree, trash, ignore_errors=True)

    def find(self, task: str, attempt: int | None) -> Path | None:
        """Return the folder of an attempt, or of the task's last one where none is named."""
        if attempt is not None:
            return self._folders.get(TaskKey(task, attempt))
        for key, folder in reversed(self._folders.items()):
            if key.task == task:
                return folder
        return None
