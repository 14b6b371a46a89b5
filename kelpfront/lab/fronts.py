"""The same work through each client library: are the final states the same, task by task?

One mix of jobs, drawn from a seed, goes through REST, gRPC and the Bindings stream, each against a cluster of
its own: a placer and stand-ins on loopback. The mix is of work whose end does not hang on timing: some fit,
some fit nowhere, some are wrong. Then unsafe jobs go through both protocols at once, with cuts: each must
start at most once, and all who ask must see the same end. Starts are counted at the machines.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import msgspec

from kelpfront.api.errors import REASON_OF_HTTP_STATUS, ApiError
from kelpfront.api.jobs import Job, JobSpec
from kelpfront.api.meta import LEVELS
from kelpfront.api.selectors import Selector
from kelpfront.client import PlacerClient, ServerUnreachableError
from kelpfront.client.grpc import GrpcClient
from kelpfront.client.rest import RestClient
from kelpfront.client.retry import RetryBudget
from kelpfront.clock import CommonClock
from kelpfront.config.reader import parse_config
from kelpfront.inventory import Inventory
from kelpfront.lab.figures import latencies
from kelpfront.lab.recording import Recorder
from kelpfront.lab.setup import THREE_CLASSES, make_hosts
from kelpfront.lab.standins import Fleet, FleetModel
from kelpfront.service.composition import PlacerOptions
from kelpfront.service.placer import PlacerService

NAMESPACE = "lab"
ROOMS = ("hall-a", "hall-b")
IN_FLIGHT = 64
PATIENCE = "10s"
END_S = 60.0
WAYS = ("rest", "grpc", "bindings")
# Of what fits nowhere. Its tasks are refused once it is over, and a job that comes with less than a few ticks
# of it left is turned away instead: it must outlast the way to the placer, where clients, placer and machines
# share one process, which took up to 1.1 s of it with 64 calls of gRPC in flight.
VAIN_PATIENCE = "4s"
PINNED_FOR = "1h"
# the stream tells gRPC's code
CODE_OF_REASON = {reason: code for code, reason in REASON_OF_HTTP_STATUS.items()}

SETTINGS = f"""
[placer]
listen = 127.0.0.1:0
grpc = 127.0.0.1:0
[cluster]
recheck = 1 s
{THREE_CLASSES}
[kind absent]
cores = 1
memory = 1
[class rare]
effect = unsafe
aim = 1 s
deadline = 10 s
needs_kind = absent
"""
MODEL = FleetModel(
    weigh_ms=1.0, start_ms=10.0, dear=2.0, life_ms=600.0, line=256, parallel_starts=64, heartbeat_ms=250.0
)


class FrontsShape(msgspec.Struct, frozen=True):
    seed: int
    tasks: int
    machines: int = 12
    both: int = 200  # unsafe jobs that go through both protocols at once
    level: str = ""  # of reduced service, to which the placers are pinned; jobs then come one at a time, for
    # at such a level it hangs on those that wait whether a job is taken


@asynccontextmanager
async def cluster(seed: int, machines: int) -> AsyncIterator[tuple[PlacerService, Recorder]]:
    """A placer and stand-ins in this process, on loopback."""
    config = parse_config(SETTINGS, "the laboratory's settings")
    clock = CommonClock()
    recorder = Recorder("machines")
    hosts = make_hosts(machines, ROOMS, [("small", 24.0, 48.0)])
    fleet = Fleet(config, hosts, MODEL, seed, clock.now, recorder)
    addressed = await fleet.start()
    inventory = Inventory("lab", {host.name: host for host in addressed})
    service = PlacerService(config, inventory, options=PlacerOptions(seed=seed, clock=clock))
    try:
        await service.start()
        while service.operations.rejection_message:  # noqa: ASYNC110 - opened by another task
            await asyncio.sleep(0.01)
        yield service, recorder
    finally:
        await service.close()
        fleet.close()


def draw_mix(shape: FrontsShape) -> list[JobSpec]:
    """Jobs whose end is settled by what they are."""
    rng = random.Random(f"fronts/{shape.seed}")
    jobs: list[JobSpec] = []
    tasks = 0
    while tasks < shape.tasks:
        number = len(jobs)
        cls = rng.choices(("web", "ingest", "blend"), (0.4, 0.3, 0.3))[0]
        count = rng.choice((1, 1, 1, 2, 4))
        data: dict[str, Any] = {
            "class": cls,
            "service": f"{cls}-{rng.randrange(40)}",
            "cores": rng.choice((0.25, 0.5, 1.0)),
            "memory": rng.choice((0.5, 1.0)),
            "count": count,
            "clientToken": f"token-{number}",
            "patience": PATIENCE,
        }
        if cls == "ingest":
            data["key"] = f"key-{number}"
        fate = rng.random()
        if fate < 0.05:
            data |= {"class": "rare", "patience": VAIN_PATIENCE}  # no machine is of its kind
            data.pop("key", None)
        elif fate < 0.09:
            data |= {"cores": 5_000.0, "patience": VAIN_PATIENCE}  # fits nowhere
        elif fate < 0.13:
            data["class"] = "unknown"
        elif fate < 0.16 and cls != "ingest":
            data["key"] = "not-keyed"
        jobs.append(JobSpec.model_validate(data))
        tasks += count
    return jobs


End = tuple[Any, ...]
"""How a job ended: its error with the fields, or by task its answer and its last state."""


def end_of(job: Job) -> End:
    assert job.status is not None
    return tuple((task.index, task.answer, task.state.value) for task in job.status.tasks)


def is_over(job: Job) -> bool:
    return job.status is not None and job.status.phase.value == "Finished"


def error_end(error: ApiError) -> End:
    return ("rejected", error.code, error.reason, tuple(cause.field for cause in error.causes))


async def drive_library(
    client: PlacerClient, jobs: list[JobSpec], at_once: int = IN_FLIGHT
) -> tuple[dict[str, End], list[float]]:
    """All jobs, some at a time; by token how each ended, and how long each took to be answered."""
    turns = asyncio.Semaphore(at_once)
    ends: dict[str, End] = {}
    took: list[float] = []

    async def one(spec: JobSpec) -> None:
        token = spec.client_token or ""
        async with turns:
            began = time.perf_counter()
            try:
                job = await client.submit(NAMESPACE, spec, deadline_s=10.0)
            except ApiError as error:
                ends[token] = error_end(error)
                return
            async with asyncio.timeout(END_S):
                answered = False
                async for state in client.follow(job):
                    assert state.status is not None
                    if not answered and state.status.answered == len(state.status.tasks):
                        answered = True
                        took.append((time.perf_counter() - began) * 1000.0)
                    if is_over(state):
                        ends[token] = end_of(state)
                        return

    await asyncio.gather(*(one(spec) for spec in jobs))
    return ends, took


async def drive_bindings(
    client: GrpcClient, jobs: list[JobSpec], at_once: int = IN_FLIGHT
) -> tuple[dict[str, End], list[float]]:
    """All jobs over one stream."""
    ends: dict[str, End] = {}
    tasks: dict[str, dict[int, tuple[str, str]]] = {}
    counts: dict[str, int] = {}
    began: dict[str, float] = {}
    took: list[float] = []
    turns = asyncio.Semaphore(at_once)
    async with client.bindings(NAMESPACE, answers_only=True) as stream:

        async def feed() -> None:
            for spec in jobs:
                await turns.acquire()
                token = spec.client_token or ""
                began[token] = time.perf_counter()
                stream.submit(token, spec)
            stream.done()

        feeding = asyncio.create_task(feed())
        async with asyncio.timeout(END_S + len(jobs) / 20):
            async for event in stream:
                ref, kind = event.ref, event.WhichOneof("event")
                states = tasks.setdefault(ref, {})
                match kind:
                    case "accepted":
                        counts[ref] = event.accepted.tasks
                        continue
                    case "rejected":
                        told = event.rejected
                        fields = tuple(violation.field for violation in told.violations)
                        ends[ref] = ("rejected", CODE_OF_REASON.get(told.reason, 0), told.reason, fields)
                    case "bound":
                        states[event.bound.index] = "Placed", "Running"
                    case "refused":
                        states[event.refused.index] = "Refused", "Refused"
                    case "failed":
                        states[event.failed.index] = "Failed", "Failed"
                    case "over":
                        answer = states[event.over.index][0]
                        state = "Ended" if event.over.state == 7 else "Lost"
                        states[event.over.index] = answer, state
                if kind in ("bound", "refused", "failed") and len(states) == counts[ref]:
                    took.append((time.perf_counter() - began[ref]) * 1000.0)
                over = len(states) == counts.get(ref) and all(s != "Running" for _, s in states.values())
                if ref not in ends and over:
                    ends[ref] = tuple((index, *states[index]) for index in sorted(states))
                if ref in ends:
                    turns.release()
        await feeding
    return ends, took


class Fronts:
    """The experiment. Everything runs in this process but the sockets, which are real."""

    def __init__(self, shape: FrontsShape, say: Callable[[str], None]) -> None:
        self.shape, self._say = shape, say

    async def run(self) -> dict[str, Any]:
        jobs = draw_mix(self.shape)
        ends: dict[str, dict[str, End]] = {}
        figures: dict[str, Any] = {}
        double = violations = 0
        for way in WAYS:
            self._say(f"{len(jobs)} jobs by {way}")
            async with cluster(self.shape.seed, self.shape.machines) as (service, recorder):
                if self.shape.level:
                    pin_level(service, self.shape.level)
                began, cpu = time.perf_counter(), time.process_time()
                ends[way], took = await self._drive(way, service, jobs)
                wall, cpu = time.perf_counter() - began, time.process_time() - cpu
                double += doubles(recorder, jobs)
                violations += wrongs(ends[way], recorder)
                figures[way] = {
                    "jobs_per_s": round(len(jobs) / wall, 1),
                    "cpu_ms_a_job": round(cpu * 1000.0 / len(jobs), 2),
                    "answer_ms": latencies(took),
                }
        differing = [
            token
            for token in {token for way in WAYS for token in ends[way]}
            if len({ends[way].get(token) for way in WAYS}) > 1
        ]
        self._say(f"{self.shape.both} unsafe jobs by both at once")
        both = await self.both_at_once()
        return {
            "seed": self.shape.seed,
            "jobs": len(jobs),
            "tasks": sum(spec.count for spec in jobs),
            "ends": {way: dict(Counter(_sort_of(end) for end in ends[way].values())) for way in WAYS},
            "differences": len(differing) + both["differences"],
            "double_starts": double + both["double_starts"],
            "violations": violations + both["violations"],
            "both_at_once": both,
            "ways": figures,
            "examples": [{way: repr(ends[way].get(token)) for way in WAYS} for token in differing[:3]],
        }

    async def _drive(
        self, way: str, service: PlacerService, jobs: list[JobSpec]
    ) -> tuple[dict[str, End], list[float]]:
        seed, at_once = self.shape.seed, 1 if self.shape.level else IN_FLIGHT
        # What is turned away is not asked for again where a level is held: that would end alike, and late.
        more: dict[str, Any] = {"budget": RetryBudget(0.0, 0.0)} if self.shape.level else {}
        match way:
            case "rest":
                async with RestClient(service.url, seed=seed, **more) as rest:
                    return await drive_library(rest, jobs, at_once)
            case "grpc":
                async with GrpcClient(service.grpc_target, seed=seed, **more) as client:
                    return await drive_library(client, jobs, at_once)
        async with GrpcClient(service.grpc_target, seed=seed) as client:
            return await drive_bindings(client, jobs, at_once)

    # ---- Both protocols at once -----------------------------------------------------------------------

    async def both_at_once(self) -> dict[str, Any]:
        """Unsafe jobs by REST and gRPC together, each with a chance of being cut off and sent again."""
        shape = self.shape
        rng = random.Random(f"both/{shape.seed}")
        cuts = 0
        ends: dict[str, set[End]] = {}
        uids: dict[str, set[str]] = {}
        async with AsyncExitStack() as stack:
            service, recorder = await stack.enter_async_context(cluster(shape.seed + 1, shape.machines))
            more: dict[str, Any] = {"spread_s": 0.1}
            rest = await stack.enter_async_context(
                RestClient(service.url, seed=1, budget=RetryBudget(1.0, 1000.0), **more)
            )
            rpc = await stack.enter_async_context(
                GrpcClient(service.grpc_target, seed=2, budget=RetryBudget(1.0, 1000.0), **more)
            )
            turns = asyncio.Semaphore(IN_FLIGHT)

            async def ask(client: PlacerClient, spec: JobSpec, cut_after: float | None) -> None:
                nonlocal cuts
                token = spec.client_token or ""
                if cut_after is not None:
                    task = asyncio.create_task(client.submit(NAMESPACE, spec, deadline_s=10.0))
                    await asyncio.sleep(cut_after)
                    task.cancel()
                    await asyncio.gather(task, return_exceptions=True)
                    cuts += 1
                job = await client.submit(NAMESPACE, spec, deadline_s=10.0)
                uids.setdefault(token, set()).add(job.metadata.uid or "")
                async with asyncio.timeout(END_S):
                    async for state in client.follow(job):
                        if is_over(state):
                            ends.setdefault(token, set()).add(end_of(state))
                            return

            async def one(number: int) -> None:
                spec = JobSpec.model_validate(
                    {
                        "class": "blend",
                        "service": f"both-{number % 7}",
                        "cores": 0.5,
                        "memory": 0.5,
                        "clientToken": f"both-{number}",
                        "patience": PATIENCE,
                    }
                )
                pairs: list[tuple[PlacerClient, float]] = [
                    (client, rng.uniform(0.0, 0.02))
                    for client in (rest, rpc)
                    for _ in range(rng.choice((1, 2)))
                ]
                async with turns:
                    asks = []
                    for client, wait in pairs:
                        cut = rng.uniform(0.0, 0.02) if rng.random() < 0.4 else None
                        asks.append(_after(wait, lambda c=client, k=cut: ask(c, spec, k)))  # type: ignore[misc]
                    await asyncio.gather(*asks)

            failures = await asyncio.gather(
                *(one(number) for number in range(shape.both)), return_exceptions=True
            )
        broken = [error for error in failures if isinstance(error, BaseException)]
        unexpected = [
            e for e in broken if not isinstance(e, ApiError | ServerUnreachableError | TimeoutError)
        ]
        if unexpected:
            raise unexpected[0]
        starts = Counter(line["task"] for line in recorder.lines if line["ev"] == "start")
        return {
            "jobs": shape.both,
            "cuts": cuts,
            "not_answered": len(broken),
            "differences": sum(len(found) > 1 for found in ends.values())
            + sum(len(found) > 1 for found in uids.values()),
            "double_starts": sum(count > 1 for count in starts.values()) + max(0, len(starts) - shape.both),
            "violations": len(broken),
        }


def pin_level(service: PlacerService, level: str) -> None:
    """As an operator would, for longer than the experiment takes."""
    operations = service.operations
    (shown,) = operations.store.list_objects(LEVELS, None, Selector()).items
    operations.patch_level(shown.name, {"spec": {"pin": {"level": level, "for": PINNED_FOR}}})


async def _after(wait_s: float, call: Callable[[], Awaitable[None]]) -> None:
    await asyncio.sleep(wait_s)
    await call()


def doubles(recorder: Recorder, jobs: list[JobSpec]) -> int:
    """Tasks that started more than once though that does harm; and starts beyond what was asked for."""
    starts = Counter(line["task"] for line in recorder.lines if line["ev"] == "start")
    classes = {line["task"]: line["cls"] for line in recorder.lines if line["ev"] == "offer"}
    wanted = sum(spec.count for spec in jobs if spec.class_ == "blend")
    unsafe = [task for task in starts if classes[task] == "blend"]
    twice = sum(count > 1 for task, count in starts.items() if classes[task] != "web")
    return twice + max(0, len(unsafe) - wanted)


def wrongs(ends: dict[str, End], recorder: Recorder) -> int:
    """Tasks without an answer, and more placed tasks than processes that began."""
    unanswered = sum(
        1 for end in ends.values() if end and end[0] != "rejected" for task in end if task[1] is None
    )
    placed = sum(
        1 for end in ends.values() if end and end[0] != "rejected" for task in end if task[1] == "Placed"
    )
    started = len({line["task"] for line in recorder.lines if line["ev"] == "start"})
    return unanswered + max(0, placed - started)


def _sort_of(end: End) -> str:
    if end and end[0] == "rejected":
        return f"rejected {end[2]}"
    return "/".join(sorted({f"{answer} {state}" for _, answer, state in end}))
