"""The demo: a small cluster on loopback in processes of its own, one job placed and followed."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path

from kelpfront.client import Client, JobSpec
from kelpfront.lab.badday import Day
from kelpfront.lab.script import DayShape
from kelpfront.lab.standins import FleetModel

SHAPE = DayShape(seed=1, placers=1, machines=6, rate=1.0, seconds=1.0)
MODEL = FleetModel(life_ms=3_000.0, start_ms=150.0)
FOLLOW_S = 60.0


async def run_demo(keep: bool, say: Callable[[str], None], show: Callable[[Client], object]) -> bool:
    """Places a job of three tasks and says what becomes of it; with `keep`, stays up until Ctrl-C.

    `show` is called with a client once the job has its answers, and awaited if it returns something to await.
    True if every task was placed.
    """
    with tempfile.TemporaryDirectory(prefix="kelpfront-demo-") as folder:
        day = Day(SHAPE, Path(folder), MODEL, quiet=True)
        try:
            await day.set_up()
            url = day.placers[0].url
            say(f"6 stand-in machines and a placer are up: {url}")
            async with Client(url) as client:
                placed = await _follow(client, say)
                shown = show(client)
                if asyncio.iscoroutine(shown):
                    await shown
            if keep:
                say(f"it stays up until Ctrl-C; try: kelpfront get machines --server {url}")
                await _until_interrupted()
            return placed
        finally:
            await day.tear_down()


async def _follow(client: Client, say: Callable[[str], None]) -> bool:
    spec = JobSpec.model_validate(
        {"class": "web", "service": "front", "cores": 1.0, "memory": 2.0, "count": 3}
    )
    job = await client.submit("demo", spec, name="hello")
    say("job demo/hello: 3 tasks of class web, 1 core and 2 of memory each")
    seen: dict[int, str] = {}
    async with asyncio.timeout(FOLLOW_S):
        async for state in client.follow(job):
            assert state.status is not None
            for task in state.status.tasks:
                text = " ".join(filter(None, [task.state.value, task.machine]))
                if seen.get(task.index) != text:
                    seen[task.index] = text
                    say(f"  hello/{task.index}: {text}")
            if state.status.answered == len(state.status.tasks):
                return all(task.answer == "Placed" for task in state.status.tasks)
    raise AssertionError("a job's states do not end by themselves")


async def _until_interrupted() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
