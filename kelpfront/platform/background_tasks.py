"""Owns asyncio tasks that run beside their creator: cancels those that are left, and awaits them.

A task that ends by itself is forgotten; its exception goes to the loop's exception handler.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """The tasks that one object has started and that are not done."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, job: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task of this owner."""
        task = asyncio.get_running_loop().create_task(job)
        self.add(task)
        return task

    def add(self, task: asyncio.Task[Any]) -> None:
        """Own a task that was created elsewhere."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all tasks; each ends at its next step."""
        for task in list(self._tasks):
            task.cancel()

    async def wait(self) -> None:
        """Wait until all tasks are done, whatever they end with."""
        own = asyncio.current_task()
        tasks = [task for task in self._tasks if task is not own]
        await asyncio.gather(*tasks, return_exceptions=True)
