"""A placer is killed and started again while many clients are connected: how do they come back?

Each client follows a job of its own and hands over another now and then, with a deadline. What is counted is
when streams are up again, in which 100 ms most of them came, and what tries were made of how many calls. The
clients are in processes of their own (`python -m kelpfront.lab.reconnect`), as are the machines.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import JobSpec
from kelpfront.client import ServerUnreachableError
from kelpfront.client.grpc import GrpcClient
from kelpfront.client.rest import RestClient
from kelpfront.client.retry import RETRY_BURST, RETRY_SHARE, worst_window_share
from kelpfront.client.retrying import RetryingClient
from kelpfront.lab.fronts import SETTINGS
from kelpfront.lab.process import Placer, Process, raise_file_limit, stand_in_machines
from kelpfront.lab.setup import make_hosts
from kelpfront.lab.standins import FleetModel

NAMESPACE = "herd"
WINDOW_MS = 100.0
DEADLINE_S = 3.0
BETWEEN_S = 8.0  # submissions of one client, in the mean
MODEL = FleetModel(weigh_ms=0.2, start_ms=5.0, dear=1.5, life_ms=36_000_000.0, line=4096, parallel_starts=256)
OPEN_AT_ONCE = 20  # of one process
CLIENTS_A_PROCESS = 170
BUCKET_S = 0.5  # of the histogram


class HerdShape(msgspec.Struct, frozen=True):
    seed: int
    clients: int
    spread_s: float = 5.0
    down_s: float = 1.0
    grpc_share: float = 0.5


class HerdTask(msgspec.Struct, frozen=True):
    """What one process of clients is to do: connect, say so, go on until a line says to end, and tell."""

    shape: HerdShape
    first: int  # number of its first client
    count: int
    url: str
    grpc: str


class HerdResult(msgspec.Struct):
    """`back` is when streams were up again, on the host's monotonic clock in seconds."""

    back: list[float]
    first_tries: int
    retries: int
    late: int
    lost: list[str]


class Herd:
    """Clients in this process."""

    def __init__(self, task: HerdTask) -> None:
        self._task, self._shape = task, task.shape
        self._rng = random.Random(f"reconnect/{task.shape.seed}/{task.first}")
        self._clients: list[RetryingClient] = []
        self._late = 0
        self._lost: list[str] = []
        self._jobs: set[asyncio.Task[None]] = set()

    async def run(self) -> HerdResult:
        await self._connect()
        sys.stdout.write("{}\n")
        sys.stdout.flush()
        for number, client in enumerate(self._clients):
            self._spawn(self._feed(client, self._task.first + number))
        await asyncio.to_thread(sys.stdin.readline)  # the placer is about to be killed
        before = self._counts()
        await asyncio.to_thread(sys.stdin.readline)  # long enough
        after = self._counts()
        result = HerdResult(
            [client.reconnects[0] for client in self._clients if client.reconnects],
            after[0] - before[0],
            after[1] - before[1],
            self._late,
            self._lost,
        )
        for job in list(self._jobs):
            job.cancel()
        await asyncio.gather(*self._jobs, return_exceptions=True)
        for client in self._clients:
            client.close()
        return result

    def _counts(self) -> tuple[int, int]:
        counts = [client.retry_policy.counts for client in self._clients]
        return sum(c.first for c in counts), sum(c.retries for c in counts)

    def _spawn(self, coroutine: Any) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

    def _make(self, number: int) -> RetryingClient:
        more: dict[str, Any] = {"seed": number, "spread_s": self._shape.spread_s}
        if self._rng.random() < self._shape.grpc_share:
            return GrpcClient(self._task.grpc, **more)
        return RestClient(self._task.url, **more)

    def _spec(self, number: int, which: int) -> JobSpec:
        return JobSpec.model_validate(
            {
                "class": "blend",
                "service": f"herd-{number % 50}",
                "cores": 0.05,
                "memory": 0.05,
                "clientToken": f"herd-{number}-{which}",
            }
        )

    async def _connect(self) -> None:
        turns = asyncio.Semaphore(OPEN_AT_ONCE)

        async def one(number: int) -> None:
            client = self._make(number)
            self._clients.append(client)
            self._watch_deadlines(client)
            async with turns:
                job = await client.submit(NAMESPACE, self._spec(number, 0), deadline_s=20.0)
                seen = asyncio.Event()
                self._spawn(self._follow(client, job, seen))
                await asyncio.wait_for(seen.wait(), 30.0)

        await asyncio.gather(*(one(self._task.first + n) for n in range(self._task.count)))

    def _watch_deadlines(self, client: RetryingClient) -> None:
        """Counts tries that begin when no time is left, whatever the client itself thinks of it."""
        for transport in client._transports:
            create = transport.create

            async def counted(
                namespace: str, body: Any, timeout_s: float, marks: Any, make: Any = create
            ) -> Any:
                self._late += timeout_s <= 0
                return await make(namespace, body, timeout_s, marks)

            transport.create = counted  # type: ignore[method-assign]

    async def _follow(self, client: RetryingClient, job: Any, seen: asyncio.Event) -> None:
        runs = False
        try:
            async for state in client.follow(job):
                if state.status is not None and state.status.tasks[0].answer is not None:
                    runs = state.status.tasks[0].state in ("Placed", "Running")
                    seen.set()
        except ApiError as error:
            if runs:  # of the others a placer that starts anew knows nothing: nothing of them runs
                self._lost.append(f"{job.metadata.name}: {error.message}")

    async def _feed(self, client: RetryingClient, number: int) -> None:
        rng = random.Random(f"{self._shape.seed}/{number}")
        which = 0
        await asyncio.sleep(rng.uniform(0.0, BETWEEN_S))
        while True:
            which += 1
            with contextlib.suppress(ApiError, ServerUnreachableError):
                await client.submit(NAMESPACE, self._spec(number, which), deadline_s=DEADLINE_S)
            await asyncio.sleep(rng.expovariate(1.0 / BETWEEN_S))


class Reconnect:
    """One run in one folder."""

    def __init__(self, shape: HerdShape, work: Path, say: Callable[[str], None]) -> None:
        self.shape, self.work, self._say = shape, work, say

    async def run(self) -> dict[str, Any]:
        shape, work = self.shape, self.work
        hosts = make_hosts(40, ("hall-a",), [("small", 24.0, 48.0)])
        (work / "cluster.ini").write_text(SETTINGS)
        machines = stand_in_machines(work, hosts, MODEL)
        placer = Placer(0, 1, work, ("hall-a",), grpc="127.0.0.1:0")
        herds: list[Process] = []
        try:
            await machines.start()
            await machines.line()
            await placer.start()
            await placer.ready()
            self._say(f"{shape.clients} clients connect")
            for first in range(0, shape.clients, CLIENTS_A_PROCESS):
                count = min(CLIENTS_A_PROCESS, shape.clients - first)
                herd = Process(f"herd-{first}", "kelpfront.lab.reconnect", log_to=work / f"herd-{first}.log")
                herds.append(herd)
                await herd.start()
                herd.say(msgspec.json.encode(HerdTask(shape, first, count, placer.url, placer.grpc)))
            await asyncio.gather(*(herd.line(120.0) for herd in herds))
            await asyncio.sleep(3.0)
            for herd in herds:
                herd.go()
            self._say("the placer is killed")
            cut_at = time.monotonic()
            await placer.kill()
            await asyncio.sleep(shape.down_s)
            await placer.start()
            await placer.ready()
            up_s = time.monotonic() - cut_at
            self._say(f"and takes jobs again after {up_s:.1f} s")
            await asyncio.sleep(2 * shape.spread_s + 3.0)
            for herd in herds:
                herd.go()
            told = await asyncio.gather(*(herd.line(30.0) for herd in herds))
            results = [msgspec.convert(result, HerdResult) for result in told]
            return self._figures(cut_at, up_s, results)
        finally:
            await asyncio.gather(*(herd.end() for herd in herds))
            await placer.kill()
            await machines.end()

    def _figures(self, cut_at: float, up_s: float, results: list[HerdResult]) -> dict[str, Any]:
        shape = self.shape
        back = sorted(t - cut_at for result in results for t in result.back)
        first = sum(result.first_tries for result in results)
        retries = sum(result.retries for result in results)
        lost = [text for result in results for text in result.lost]
        histogram: dict[str, int] = {}
        for t in back:
            bucket = f"{int(t / BUCKET_S) * BUCKET_S:g}"
            histogram[bucket] = histogram.get(bucket, 0) + 1
        worst = worst_window_share([t * 1000.0 for t in back], shape.spread_s * 1000.0, WINDOW_MS)
        interval_s = up_s + 2 * shape.spread_s
        return {
            "seed": shape.seed,
            "clients": shape.clients,
            "down_s": round(up_s, 2),
            "spread_s": shape.spread_s,
            "reconnected": len(back),
            "within_interval": sum(t <= interval_s for t in back),
            "interval_s": round(interval_s, 2),
            "last_s": round(back[-1], 2) if back else None,
            "worst_100ms": round(worst, 2),
            "histogram": histogram,
            "retries_after_deadline": sum(result.late for result in results),
            "first_tries": first,
            "retries": retries,
            "amplification": round((first + retries) / first, 3) if first else None,
            "budget": f"{RETRY_SHARE:g} of first tries, {RETRY_BURST:g} at once for each client",
            "jobs_lost": len(lost),
            "examples": lost[:3],
        }


def main() -> None:
    task = msgspec.json.decode(sys.stdin.readline(), type=HerdTask)
    raise_file_limit()
    result = asyncio.run(Herd(task).run())
    sys.stdout.write(msgspec.json.encode(result).decode() + "\n")


if __name__ == "__main__":
    main()
