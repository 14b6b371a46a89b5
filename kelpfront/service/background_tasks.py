"""Owns asyncio tasks that run in the background until their owner is closed.

The owner starts its tasks here and cancels all of them together when it is closed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

log = structlog.get_logger("kelpfront.controller")


def log_task_failure(error: BaseException) -> None:
    """Log the failure of a task whose result is not awaited."""
    log.error("background task failed", exc_info=error)


class BackgroundTasks:
    """The running tasks of one owner, in the order in which they were started.

    Args:
        on_failure: called with the exception of a task that failed. If it is None, the event loop's exception
            handler receives the exception.
    """

    def __init__(self, on_failure: Callable[[BaseException], None] | None = None) -> None:
        self._on_failure = on_failure
        self._tasks: dict[asyncio.Task[None], None] = {}

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task and keep a reference to it until it ends."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(self._on_done)
        return task

    def cancel(self) -> None:
        """Request the cancellation of all tasks except the calling one."""
        for task in self._others():
            task.cancel()

    async def cancel_and_wait(self) -> None:
        """Cancel all tasks except the calling one, and return when they have ended."""
        self.cancel()
        await self.wait()

    async def wait(self) -> None:
        """Return when all current tasks except the calling one have ended, whether or not they failed."""
        await asyncio.gather(*self._others(), return_exceptions=True)

    def _others(self) -> list[asyncio.Task[None]]:
        current = asyncio.current_task()
        return [task for task in self._tasks if task is not current]

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task, None)
        if self._on_failure is None or task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._on_failure(error)
