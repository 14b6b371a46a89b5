"""Waiting for what must come, with a bound that is generous on a slow machine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


async def until(condition: Callable[[], object], within_s: float = 30.0) -> None:
    """Returns when the condition holds; fails the test if it does not within the time."""
    async with asyncio.timeout(within_s):
        while not condition():  # noqa: ASYNC110 - conditions here are of other processes and other tasks
            await asyncio.sleep(0.005)
