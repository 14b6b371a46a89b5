"""Many jobs over one stream, and what becomes of each: python examples/bindings.py 127.0.0.1:8141"""

import asyncio
import sys

from kelpfront.client import JobSpec
from kelpfront.client.grpc import GrpcClient


async def main(target: str) -> None:
    async with GrpcClient(target) as client, client.bindings("climate") as stream:
        for number in range(3):
            token = f"series-{number}"
            spec = JobSpec(
                class_="web", service="series", cores=0.5, memory=1, patience="5s", client_token=token
            )
            stream.submit(token, spec)
        answered = 0
        async for event in stream:
            print(event.ref, event.WhichOneof("event"))
            answered += event.WhichOneof("event") in ("bound", "refused", "failed", "rejected")
            if answered == 3:
                break


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
