"""Submits a job and waits for its answer, from a program without asyncio.

Run with the placers' URLs: python examples/without_asyncio.py http://127.0.0.1:8140
"""

import sys

from kelpfront.client import JobSpec
from kelpfront.client.rest import RestClient
from kelpfront.client.sync import SyncClient


def main(*urls: str) -> None:
    """Print the name of the job and the answer of its task."""
    with SyncClient(lambda: RestClient(urls)) as client:
        job = client.submit("climate", JobSpec(class_="web", service="front", cores=1, memory=2))
        job = client.wait_answers(job)
        assert job.status is not None
        print(job.metadata.name, job.status.tasks[0].answer)


if __name__ == "__main__":
    main(*sys.argv[1:])
