"""Background tasks are cancelled with their owner, and fail independently of each other."""

from __future__ import annotations

import asyncio

from kelpfront.agent.background_tasks import BackgroundTasks


async def test_close_cancels_all_tasks_and_waits_until_they_have_ended() -> None:
    ended: list[int] = []

    async def wait(number: int) -> None:
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(number)

    background = BackgroundTasks()
    background.spawn(wait(1))
    background.spawn(wait(2))
    await asyncio.sleep(0)
    await background.close()
    assert sorted(ended) == [1, 2]


async def test_a_task_that_fails_does_not_end_the_others() -> None:
    reached = asyncio.Event()

    async def fail() -> None:
        raise ValueError("a failure")

    async def succeed() -> None:
        reached.set()

    background = BackgroundTasks()
    background.spawn(fail())
    background.spawn(succeed())
    async with asyncio.timeout(5):
        await reached.wait()
    await background.close()
