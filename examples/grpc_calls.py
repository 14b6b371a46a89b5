"""Submits a job over gRPC and waits for its answers.

Run with the placers' addresses: python examples/grpc_calls.py 127.0.0.1:8141
"""

import asyncio
import sys

from kelpfront.client import JobSpec
from kelpfront.client.grpc import GrpcClient


async def main(*targets: str) -> None:
    """Print the answer of each task, with its machine or the reason why it has none."""
    async with GrpcClient(targets) as client:
        spec = JobSpec(class_="web", service="front", cores=1, memory=2, count=2)
        job = await client.submit("climate", spec, deadline_s=10)
        job = await client.wait_answers(job)
        assert job.status is not None
        for task in job.status.tasks:
            print(task.index, task.answer, task.machine or task.reason)


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
