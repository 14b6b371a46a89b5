"""Waits for conditions, with a time limit that is generous enough for a slow machine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


async def until(condition: Callable[[], object], within_s: float = 30.0) -> None:
    """Return when the condition holds; raise TimeoutError if it does not hold within the time limit."""
    async with asyncio.timeout(within_s):
        while not condition():  # noqa: ASYNC110 - other processes and tasks fulfil the condition
            await asyncio.sleep(0.005)
