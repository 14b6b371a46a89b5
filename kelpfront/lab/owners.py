"""Owners of work on a bad day: they submit in their own time, follow, leave, and ask again where they may.

Run as a process of its own (`python -m kelpfront.lab.owners`) with an `OwnersTask` as JSON on standard input.
Arrivals do not wait for answers. What owners see is recorded; what they make of it is theirs: a refused task
is asked for again, a lost one too unless a second start does harm, a failed one never.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS, Object
from kelpfront.client import Client, ServerUnreachableError
from kelpfront.client.client import sent_at_header
from kelpfront.http.client import HttpConnection, HttpError
from kelpfront.lab.recording import Recorder, host_clock
from kelpfront.lab.script import Jump

ASKS = 3  # of one piece of work
LEAST_LEFT_MS = 50.0  # of an owner's patience, for a job to be worth handing over
GONE = ("EVICTED", "PUSHED_OUT", "SENT_AWAY", "MACHINE_LOST", "MOVED")


class ClassShape(msgspec.Struct, frozen=True):
    name: str
    effect: str
    share: float
    patience_ms: float
    services: int
    sizes: tuple[tuple[float, float], ...]  # cores and memory that a task asks for
    counts: tuple[int, ...] = (1,)  # tasks of a job


class OwnersTask(msgspec.Struct, frozen=True):
    """What one process of owners is to do; `rate` is in tasks a second."""

    seed: int
    namespace: str
    urls: tuple[str, ...]
    names: tuple[str, ...]  # of the placers, in the order of their URLs
    rate: float
    seconds: float
    classes: tuple[ClassShape, ...]
    jumps: tuple[Jump, ...]
    record: str
    withdraw_share: float = 0.02
    leave_share: float = 0.03  # of the submissions whose owner leaves right after sending
    ask_again: bool = True
    command: tuple[str, ...] = ()  # what tasks run where machines have agents
    env: dict[str, str] = {}
    life_s: float = 15.0  # in the mean, told to the command in $LIFE


class Work:
    """One thing that an owner wants done, perhaps asked for more than once."""

    __slots__ = ("asks", "cls", "cores", "count", "ident", "memory", "service")

    def __init__(
        self, ident: str, cls: ClassShape, service: str, size: tuple[float, float], count: int
    ) -> None:
        self.ident, self.cls, self.service, self.count = ident, cls, service, count
        self.cores, self.memory = size
        self.asks = 0


class Follower:
    """All jobs of one namespace at one placer, by one watch."""

    def __init__(
        self, client: Client, namespace: str, recorder: Recorder, on_over: Callable[[Object, Object], None]
    ) -> None:
        self.client = client
        self._namespace, self._recorder, self._on_over = namespace, recorder, on_over
        self.open: dict[str, float] = {}  # tasks without an answer, and when their owners give up
        self._answers: dict[str, str] = {}
        self._over: set[str] = set()
        self.task = asyncio.create_task(self._follow())

    def expect(self, uids: list[str], until: float) -> None:
        for uid in uids:
            if uid not in self._answers:
                self.open[uid] = until

    async def _follow(self) -> None:
        async for event in self.client.watch(JOBS, self._namespace):
            for task in event.object["status"]["tasks"]:
                self._take(event.object, task)
            if event.kind == "DELETED":
                for task in event.object["status"]["tasks"]:
                    self.open.pop(task["uid"], None)

    def _take(self, job: Object, task: Object) -> None:
        uid, answer = task["uid"], task.get("answer")
        if answer is not None and self._answers.get(uid) != answer:
            self._answers[uid] = answer
            self.open.pop(uid, None)
            self._recorder.write("answer-seen", task=uid, answer=answer, cls=job["spec"]["class"])
        if task["state"] in ("Refused", "Lost") and uid not in self._over:
            self._over.add(uid)
            self._on_over(job, task)


class Owners:
    def __init__(self, its: OwnersTask) -> None:
        self._its = its
        self._rng = random.Random(f"owners/{its.seed}/{its.namespace}")
        self._recorder = Recorder(its.namespace, Path(its.record) if its.record else None)
        self._works: dict[str, Work] = {}
        self._jobs: set[asyncio.Task[None]] = set()
        self._number = 0
        self._followers = [
            Follower(Client(url, seed=n, request_s=10.0), its.namespace, self._recorder, self._over)
            for n, url in enumerate(its.urls)
        ]
        self.submitted = self.rejected = 0

    async def run(self) -> None:
        its, rng = self._its, self._rng
        loop = asyncio.get_running_loop()
        began = loop.time()
        at = 0.0
        tasks_a_job = sum(c.share * sum(c.counts) / len(c.counts) for c in its.classes)
        while at < its.seconds:
            factor = max((j.factor for j in its.jumps if j.at_s <= at < j.at_s + j.for_s), default=1.0)
            at += rng.expovariate(its.rate * factor / tasks_a_job)
            delay = began + at - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            self._spawn(self._ask(self._new_work()))
            self._recorder.flush()
        await self._settle()
        for follower in self._followers:
            follower.task.cancel()
            follower.client.close()
        self._recorder.close()

    async def _settle(self) -> None:
        """Until all is answered, or long past the time in which it had to be."""
        loop = asyncio.get_running_loop()
        until = loop.time() + max(c.patience_ms for c in self._its.classes) / 1000.0 + 5.0
        while loop.time() < until and (  # noqa: ASYNC110 - of many, none is the last
            self._jobs or any(f.open for f in self._followers)
        ):
            await asyncio.sleep(0.05)

    def _spawn(self, coroutine: object) -> None:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(coroutine)  # type: ignore[arg-type]
        self._jobs.add(task)
        task.add_done_callback(self._jobs.discard)

    def _new_work(self) -> Work:
        rng = self._rng
        cls = rng.choices(self._its.classes, [c.share for c in self._its.classes])[0]
        self._number += 1
        service = rng.randrange(cls.services)
        size = cls.sizes[service % len(cls.sizes)]  # the tasks of a service have one shape
        ident = f"{self._its.namespace}-{self._number}"
        work = Work(ident, cls, f"{cls.name}-{service}", size, rng.choice(cls.counts))
        self._works[ident] = work
        return work

    # ---- One ask --------------------------------------------------------------------------------------

    async def _ask(self, work: Work) -> None:
        its, rng = self._its, self._rng
        work.asks += 1
        placer = rng.randrange(len(its.urls))
        follower = self._followers[placer]
        token = f"{work.ident}.{work.asks}"
        spec: Object = {
            "class": work.cls.name,
            "service": work.service,
            "cores": work.cores,
            "memory": work.memory,
            "count": work.count,
            "patience": f"{work.cls.patience_ms:g}ms",
            "clientToken": token,
        }
        if its.command:
            life = min(rng.expovariate(1.0 / its.life_s), 6 * its.life_s)
            spec |= {"command": list(its.command), "env": {**its.env, "LIFE": f"{life:.2f}"}}
        if work.cls.effect == "keyed":
            spec["key"] = work.ident
        body: Object = {"metadata": {"labels": {"work": work.ident}}, "spec": spec}
        leaves = rng.random() < its.leave_share
        withdraws = rng.random() < its.withdraw_share
        sent = host_clock()
        if leaves:
            await self._send_and_leave(its.urls[placer], body)
        job = await self._hand_over(follower.client, body, sent + work.cls.patience_ms)
        if job is None:
            return
        uids = [task["uid"] for task in job["status"]["tasks"]]
        self.submitted += len(uids)
        self._recorder.write(
            "taken",
            t0=sent,
            tasks=uids,
            cls=work.cls.name,
            patience_ms=work.cls.patience_ms,
            placer=its.names[placer],
            work=work.ident,
        )
        follower.expect(uids, sent + work.cls.patience_ms)
        if withdraws:
            await asyncio.sleep(rng.uniform(0.0, 0.5))
            self._recorder.write("withdrawn", tasks=uids)
            try:
                await follower.client.delete_job(its.namespace, job["metadata"]["name"])
            except (ApiError, ServerUnreachableError):
                return
            for uid in uids:
                follower.open.pop(uid, None)

    async def _send_and_leave(self, url: str, body: Object) -> None:
        """Sends the request and breaks the connection; the owner comes back with its token."""
        host, _, port = url.removeprefix("http://").partition(":")
        try:
            connection = await HttpConnection.open(host, int(port))
        except HttpError:
            return
        path = f"/apis/kelpfront.dev/v1/namespaces/{self._its.namespace}/jobs"
        raw = msgspec.json.encode(body)
        headers = (("content-type", "application/json"), sent_at_header())
        request = asyncio.create_task(connection.request("POST", path, raw, headers))
        await asyncio.sleep(0.005)
        request.cancel()
        await asyncio.gather(request, return_exceptions=True)

    async def _hand_over(self, client: Client, body: Object, until: float) -> Object | None:
        """The job, once a placer has taken it; asked again with its token while nothing else is known."""
        pause = 0.05
        while (left := until - host_clock()) > LEAST_LEFT_MS:
            body["spec"]["patience"] = f"{left:.3f}ms"  # what is left, so that the deadline stays the same
            try:
                return await client.create(JOBS, self._its.namespace, body)
            except ApiError as error:
                wait = float(error.retry_after_s)
                if error.code not in (429, 503):
                    self._recorder.write(
                        "rejected", code=error.code, reason=error.reason, message=error.message
                    )
                    self.rejected += 1
                    return None
            except ServerUnreachableError:
                wait = 0.0
            await asyncio.sleep(max(wait, pause) * self._rng.uniform(0.5, 1.5))
            pause = min(1.0, 2 * pause)
        self.rejected += 1
        self._recorder.write("rejected", code=0, reason="GaveUp", message="no placer took it in time")
        return None

    def _over(self, job: Object, task: Object) -> None:
        """A task was refused, or lost where it ran."""
        work = self._works.get((job["metadata"].get("labels") or {}).get("work", ""))
        if work is None or not self._its.ask_again or work.asks >= ASKS or work.count > 1:
            return
        lost = task["state"] == "Lost"
        if lost and (work.cls.effect == "unsafe" or task.get("reason") not in GONE):
            return
        self._spawn(self._ask_later(work, 0.1 if lost else 1.0))

    async def _ask_later(self, work: Work, pause_s: float) -> None:
        await asyncio.sleep(pause_s * self._rng.uniform(0.7, 1.5))
        await self._ask(work)


def main() -> None:
    its = msgspec.json.decode(sys.stdin.buffer.read(), type=OwnersTask)

    async def run() -> None:
        owners = Owners(its)
        await owners.run()
        sys.stdout.write(
            msgspec.json.encode({"submitted": owners.submitted, "rejected": owners.rejected}).decode() + "\n"
        )

    asyncio.run(run())


if __name__ == "__main__":
    main()
