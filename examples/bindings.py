"""Submits several jobs over one stream and reads their outcomes from it.

Run with the placer's address: python examples/bindings.py 127.0.0.1:8141
"""

import asyncio
import sys

from kelpfront.client import JobSpec
from kelpfront.client.grpc import GrpcClient

JOB_COUNT = 3
FINAL_EVENTS = ("bound", "refused", "failed", "rejected")


async def main(target: str) -> None:
    """Print each event until every job has an outcome."""
    async with GrpcClient(target) as client, client.bindings("climate") as stream:
        for number in range(JOB_COUNT):
            token = f"series-{number}"
            spec = JobSpec(
                class_="web", service="series", cores=0.5, memory=1, patience="5s", client_token=token
            )
            stream.submit(token, spec)
        answered = 0
        async for event in stream:
            kind = event.WhichOneof("event")
            print(event.ref, kind)
            if kind in FINAL_EVENTS:
                answered += 1
            if answered == JOB_COUNT:
                break


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
