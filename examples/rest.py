"""Submits a job over REST and follows it.

Run with the placers' URLs: python examples/rest.py http://127.0.0.1:8140
"""

import asyncio
import sys

from kelpfront.client import JobSpec
from kelpfront.client.rest import RestClient


async def main(*urls: str) -> None:
    """Print the state of all tasks after each change, until all have an answer."""
    async with RestClient(urls) as client:
        spec = JobSpec(class_="web", service="front", cores=1, memory=2, count=2)
        job = await client.submit("climate", spec, deadline_s=10)
        async for state in client.follow(job):
            assert state.status is not None
            texts = [f"{task.index}: {task.state} {task.machine or ''}" for task in state.status.tasks]
            print(", ".join(texts))
            if state.status.answered == len(state.status.tasks):
                break


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
