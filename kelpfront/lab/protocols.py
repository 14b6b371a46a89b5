"""What each protocol costs: the same jobs by REST, by gRPC calls and by a Bindings stream, side by side.

A placer and machines are processes of their own; the client is in this one. Owners by each way follow all
their jobs by one stream. The ways take turns, several rounds of each, since the host's speed varies. Bytes
are counted in a round of their own, by a forwarder between client and placer.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import statistics
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Literal

import grpc

from kelpfront.api.jobs import JobSpec
from kelpfront.api.meta import JOBS
from kelpfront.client import Client
from kelpfront.client.grpc import GrpcClient
from kelpfront.lab.figures import latencies
from kelpfront.lab.fronts import SETTINGS
from kelpfront.lab.process import Placer, stand_in_machines
from kelpfront.lab.setup import make_hosts
from kelpfront.lab.standins import FleetModel
from kelpfront.rpc.jobs import spec_message
from kelpfront.v1 import api_pb2 as pb
from kelpfront.v1 import api_pb2_grpc

MODEL = FleetModel(
    weigh_ms=0.5, start_ms=5.0, dear=1.5, life_ms=400.0, line=1024, parallel_starts=256, heartbeat_ms=1000.0
)
Way = Literal["rest", "grpc", "bindings"]
WAYS: tuple[Way, ...] = ("rest", "grpc", "bindings")
BYTES_JOBS = 200

_numbers = itertools.count()


class CountingForwarder:
    """Forwards to a port of this host and counts what goes each way."""

    def __init__(self, port: int) -> None:
        self._to = port
        self.up = self.down = 0
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            there_reader, there_writer = await asyncio.open_connection("127.0.0.1", self._to)
            await asyncio.gather(
                self._pump(reader, there_writer, True), self._pump(there_reader, writer, False)
            )

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, up: bool) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if up:
                    self.up += len(data)
                else:
                    self.down += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()


def new_spec() -> JobSpec:
    return JobSpec.model_validate(
        {
            "class": "web",
            "service": f"cost-{next(_numbers) % 20}",
            "cores": 0.1,
            "memory": 0.1,
            "patience": "10s",
            "clientToken": f"cost-{next(_numbers)}",
        }
    )


class Load:
    """Jobs with so many at a time, for some seconds or to a number; each answer's time is kept."""

    def __init__(self, at_a_time: int, seconds: float, most: int | None = None) -> None:
        self.namespace = f"cost-{next(_numbers)}"  # of this round alone: a watch begins with all there is
        self._turns = asyncio.Semaphore(at_a_time)
        self._seconds, self._most = seconds, most
        self.took: list[float] = []
        self._began: dict[str, float] = {}
        self.failed: dict[str, int] = {}
        self._early: set[str] = set()  # answers that came before their submission returned

    async def run(self, submit: Callable[[JobSpec], Awaitable[str]]) -> float:
        """Seconds that it took. `submit` gives what `answered` will be told by."""
        began = time.perf_counter()
        tasks: set[asyncio.Task[None]] = set()
        count = 0

        async def one(spec: JobSpec, at: float) -> None:
            try:
                key = await submit(spec)
            except Exception as error:
                self.failed[type(error).__name__] = self.failed.get(type(error).__name__, 0) + 1
                self._turns.release()
                return
            self._began[key] = at
            if key in self._early:
                self.answered(key)

        while time.perf_counter() - began < self._seconds and count != self._most:
            await self._turns.acquire()
            count += 1
            task = asyncio.create_task(one(new_spec(), time.perf_counter()))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)
        async with asyncio.timeout(20.0):
            while len(self.took) + sum(self.failed.values()) < count:  # noqa: ASYNC110 - the last of many
                await asyncio.sleep(0.005)
        return time.perf_counter() - began

    def answered(self, key: str) -> None:
        """An answer was seen; it may come before the submission has returned."""
        at = self._began.pop(key, None)
        if at is None:
            self._early.add(key)
            return
        self._early.discard(key)
        self.took.append((time.perf_counter() - at) * 1000.0)
        self._turns.release()


async def drive(way: Way, url: str, target: str, load: Load) -> float:
    match way:
        case "rest":
            return await _drive_rest(url, load)
        case "grpc":
            return await _drive_grpc(target, load)
        case "bindings":
            return await _drive_bindings(target, load)


async def _drive_rest(url: str, load: Load) -> float:
    async with Client(url) as client:
        seen: set[str] = set()

        async def follow() -> None:
            async for event in client.watch(JOBS, load.namespace):
                status, uid = event.object["status"], event.object["metadata"]["uid"]
                if uid not in seen and status["answered"] == len(status["tasks"]):
                    seen.add(uid)
                    load.answered(uid)

        async def submit(spec: JobSpec) -> str:
            body = {"metadata": {}, "spec": spec.model_dump(by_alias=True, exclude_none=True)}
            uid: str = (await client.create(JOBS, load.namespace, body))["metadata"]["uid"]
            return uid

        following = asyncio.create_task(follow())
        try:
            return await load.run(submit)
        finally:
            following.cancel()


async def _drive_grpc(target: str, load: Load) -> float:
    async with grpc.aio.insecure_channel(target) as channel:
        stub: Any = api_pb2_grpc.JobsStub(channel)
        seen: set[str] = set()

        async def follow() -> None:
            async for event in stub.Watch(pb.WatchRequest(namespace=load.namespace)):
                status, uid = event.job.status, event.job.metadata.uid
                if uid and uid not in seen and status.answered == len(status.tasks):
                    seen.add(uid)
                    load.answered(uid)

        async def submit(spec: JobSpec) -> str:
            message = spec_message(spec.model_dump(by_alias=True, exclude_none=True))
            answer = await stub.Submit(pb.SubmitRequest(namespace=load.namespace, spec=message))
            uid: str = answer.job.metadata.uid
            return uid

        following = asyncio.create_task(follow())
        try:
            return await load.run(submit)
        finally:
            following.cancel()


async def _drive_bindings(target: str, load: Load) -> float:
    async with (
        GrpcClient(target, seed=1) as client,
        client.bindings(load.namespace, answers_only=True) as stream,
    ):

        async def follow() -> None:
            async for event in stream:
                if event.WhichOneof("event") in ("bound", "refused", "failed", "rejected"):
                    load.answered(event.ref)

        async def submit(spec: JobSpec) -> str:
            token = spec.client_token or ""
            stream.submit(token, spec)
            return token

        following = asyncio.create_task(follow())
        try:
            return await load.run(submit)
        finally:
            following.cancel()


class Protocols:
    """The measurement, in one folder."""

    def __init__(
        self,
        machines: int,
        seconds: float,
        rounds: int,
        at_a_time: int,
        work: Path,
        say: Callable[[str], None],
    ) -> None:
        self._machines, self._seconds, self._rounds = machines, seconds, rounds
        self._at_a_time, self._work, self._say = at_a_time, work, say

    async def run(self) -> dict[str, Any]:
        fronts = await self._with_placer("http", self._fronts)
        offers: dict[str, list[dict[str, float]]] = {"http": [], "grpc": []}
        for round_ in range(self._rounds):
            for protocol in ("http", "grpc"):
                self._say(f"offers by {protocol}, round {round_ + 1}")
                offers[protocol].append(await self._with_placer(protocol, self._one_rest_round))
        return {
            "machines": self._machines,
            "jobs_at_a_time": self._at_a_time,
            "rounds": self._rounds,
            "fronts": fronts,
            "offers": {protocol: medians(found) for protocol, found in offers.items()},
        }

    async def _with_placer(self, protocol: str, call: Callable[[Placer], Awaitable[Any]]) -> Any:
        work = self._work / f"{protocol}-{time.monotonic_ns()}"
        work.mkdir()
        hosts = make_hosts(self._machines, ("hall-a", "hall-b"), [("small", 24.0, 48.0)])
        (work / "cluster.ini").write_text(SETTINGS)
        machines = stand_in_machines(work, hosts, MODEL, protocol)
        placer = Placer(0, 1, work, ("hall-a",), grpc="127.0.0.1:0")
        try:
            await machines.start()
            await machines.line()
            await placer.start()
            await placer.ready()
            await asyncio.sleep(1.0)
            return await call(placer)
        finally:
            await placer.kill()
            await machines.end()

    async def _fronts(self, placer: Placer) -> dict[str, Any]:
        found: dict[str, list[dict[str, float]]] = {way: [] for way in WAYS}
        await self._round(placer, "rest")  # the first round of a placer is not like the others
        for round_ in range(self._rounds):
            for way in WAYS:
                self._say(f"{way}, round {round_ + 1}")
                found[way].append(await self._round(placer, way))
        results: dict[str, Any] = {way: medians(rounds) for way, rounds in found.items()}
        for way in WAYS:
            results[way] |= await self._bytes(placer, way)
        return results

    async def _one_rest_round(self, placer: Placer) -> dict[str, float]:
        await self._round(placer, "rest")
        return await self._round(placer, "rest")

    async def _round(self, placer: Placer, way: Way) -> dict[str, float]:
        assert placer.process is not None
        load = Load(self._at_a_time, self._seconds)
        cpu, own = placer.process.cpu_now(), time.process_time()
        wall = await drive(way, placer.url, placer.grpc, load)
        cpu, own = placer.process.cpu_now() - cpu, time.process_time() - own
        jobs = len(load.took)
        return {
            "jobs_per_s": jobs / wall,
            "placer_cpu_ms": cpu * 1000.0 / jobs,
            "client_cpu_ms": own * 1000.0 / jobs,
            "failed": float(sum(load.failed.values())),
            **latencies(load.took),
        }

    async def _bytes(self, placer: Placer, way: Way) -> dict[str, float]:
        rest = CountingForwarder(int(placer.url.rpartition(":")[2]))
        rpc = CountingForwarder(int(placer.grpc.rpartition(":")[2]))
        await rest.start()
        await rpc.start()
        try:
            load = Load(self._at_a_time, 60.0, BYTES_JOBS)
            await drive(way, f"http://127.0.0.1:{rest.port}", f"127.0.0.1:{rpc.port}", load)
        finally:
            rest.close()
            rpc.close()
        up, down = rest.up + rpc.up, rest.down + rpc.down
        return {"bytes_up": round(up / BYTES_JOBS), "bytes_down": round(down / BYTES_JOBS)}


def medians(rounds: list[dict[str, float]]) -> dict[str, float]:
    return {name: round(statistics.median(one[name] for one in rounds), 2) for name in rounds[0]}
