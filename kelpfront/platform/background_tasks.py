"""Keeps track of the asyncio tasks that an object has started, to cancel and await those still running.

A task that finishes is dropped; an exception that it raised goes to the event loop's exception handler.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """The unfinished tasks that one object has started."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task of this owner."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.add(task)
        return task

    def add(self, task: asyncio.Task[Any]) -> None:
        """Keep track of a task that was created elsewhere."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Request cancellation of all tasks."""
        for task in list(self._tasks):
            task.cancel()

    async def wait(self) -> None:
        """Wait until all tasks but the current one are done; ignore their exceptions."""
        current = asyncio.current_task()
        tasks = [task for task in self._tasks if task is not current]
        await asyncio.gather(*tasks, return_exceptions=True)
