"""One process of the load tool: sends what is due, whether or not anything has been answered.

Latencies count from the time at which work was due, not from when it went out: a placer that stalls is
charged for all that waited meanwhile (the mistake is known as coordinated omission). What a count from the
sending would have shown is kept beside it. Run as `python -m kelpfront.lab.load.worker` with a `WorkerTask`
as JSON on the first line of standard input; the second line, when it comes, is the time to begin at.
"""

from __future__ import annotations

import asyncio
import random
import re
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS, Object
from kelpfront.client import Client, ServerUnreachableError
from kelpfront.lab.load.arrivals import Arrival, Form, Profile, drawn, read_trace
from kelpfront.lab.load.ramp import LATE_MS
from kelpfront.units import parse_duration

OPEN_MOST = 20_000  # pieces of work without an answer, of one process; what is due beyond them is not sent
MOST_US = 60 * 60 * 1_000_000
ERROR_MOST = 160  # characters of one, as it is counted
GRACE_S = 2.0  # past an owner's patience, until a task counts as left without its answer
ANSWER_STATES = ("Placed", "Refused", "Failed")


class ClassLoad(msgspec.Struct, frozen=True):
    name: str
    share: float
    effect: str
    patience_ms: float


class WorkerTask(msgspec.Struct, frozen=True):
    """What one process is to do: its part of a profile, or every `of`th row of a trace."""

    number: int
    of: int
    seed: int
    namespace: str
    urls: tuple[str, ...]
    classes: tuple[ClassLoad, ...]
    services: int
    cores: float
    memory: float
    form: Form = "poisson"
    rate: float = 0.0
    seconds: float = 0.0
    period_s: float = 60.0
    peak: float = 4.0
    share: float = 0.1
    trace: str = ""


class Results:
    """Counts and histograms by class."""

    def __init__(self, classes: tuple[ClassLoad, ...]) -> None:
        from hdrh.histogram import HdrHistogram

        def histogram() -> Any:
            return HdrHistogram(1, MOST_US, 3)

        self.counts: dict[str, Counter[str]] = {one.name: Counter() for one in classes}
        self.from_due = {one.name: histogram() for one in classes}
        self.from_sending = {one.name: histogram() for one in classes}
        self.taken = {one.name: histogram() for one in classes}

    def answered(self, cls: str, answer: str, due_s: float, sent_s: float) -> None:
        self.counts[cls][answer] += 1
        self.from_due[cls].record_value(max(1, round(due_s * 1e6)))
        self.from_sending[cls].record_value(max(1, round(sent_s * 1e6)))

    def message(self) -> Object:
        return {
            "counts": {name: dict(counts) for name, counts in self.counts.items()},
            **{
                kind: {name: one.encode().decode() for name, one in getattr(self, kind).items()}
                for kind in ("from_due", "from_sending", "taken")
            },
        }


class _Open:
    """A piece of work that was sent and has no answer yet."""

    __slots__ = ("cls", "due", "sent", "until")

    def __init__(self, cls: str, due: float, sent: float, until: float) -> None:
        self.cls, self.due, self.sent, self.until = cls, due, sent, until


class Worker:
    def __init__(self, its: WorkerTask, wall: Callable[[], float] = time.time) -> None:
        self._its = its
        self._rng = random.Random(f"load/{its.seed}/{its.number}")
        self.results = Results(its.classes)
        self._classes = {one.name: one for one in its.classes}
        self._open: dict[str, _Open] = {}  # by name of the job
        self._jobs: set[asyncio.Task[None]] = set()
        self._clients = [Client(url, seed=n, request_s=30.0, wall=wall) for n, url in enumerate(its.urls)]
        self._number = 0
        self.errors: Counter[str] = Counter()

    def arrivals(self) -> list[Arrival]:
        its = self._its
        if its.trace:
            names = [one.name for one in its.classes]
            rows = read_trace(Path(its.trace).read_text(encoding="utf-8"), its.trace, names)
            return rows[its.number :: its.of]
        profile = Profile(its.form, its.rate, its.seconds, its.period_s, its.peak, its.share)
        mix = {one.name: one.share for one in its.classes}
        return list(drawn(profile, mix, its.services, (its.cores, its.memory), self._rng, 1.0 / its.of))

    async def run(
        self, arrivals: list[Arrival], begin_in_s: float = 0.0, tell: Callable[[Object], None] | None = None
    ) -> None:
        loop = asyncio.get_running_loop()
        following = [asyncio.create_task(self._follow(client)) for client in self._clients]
        telling = asyncio.create_task(self._tell(tell)) if tell else None
        await asyncio.sleep(max(0.0, begin_in_s))
        began = loop.time()
        for arrival in arrivals:
            due = began + arrival.at_s
            if (delay := due - loop.time()) > 0:
                await asyncio.sleep(delay)
            counts = self.results.counts[arrival.cls]
            counts["due"] += 1
            if len(self._open) >= OPEN_MOST:
                counts["not_sent"] += 1
                continue
            self._number += 1
            task = asyncio.create_task(self._send(arrival, due, self._number))
            self._jobs.add(task)
            task.add_done_callback(self._jobs.discard)
        await self._settle()
        for task in (*following, *([telling] if telling else [])):
            task.cancel()
        for client in self._clients:
            client.close()

    async def _settle(self) -> None:
        loop = asyncio.get_running_loop()
        while self._jobs or self._open:
            now = loop.time()
            for name in [name for name, one in self._open.items() if now > one.until]:
                self.results.counts[self._open.pop(name).cls]["without_final"] += 1
            await asyncio.sleep(0.02)

    async def _send(self, arrival: Arrival, due: float, number: int) -> None:
        its, loop = self._its, asyncio.get_running_loop()
        cls = self._classes[arrival.cls]
        counts = self.results.counts[arrival.cls]
        name = f"w{its.number}-{number}"
        spec: Object = {
            "class": arrival.cls,
            "service": arrival.service,
            "cores": arrival.cores,
            "memory": arrival.memory,
            "clientToken": f"{its.namespace}-{name}",
        }
        if arrival.patience:
            spec["patience"] = arrival.patience
        if cls.effect == "keyed":
            spec["key"] = name
        patience = parse_duration(arrival.patience) if arrival.patience else cls.patience_ms
        sent = loop.time()
        if (sent - due) * 1000.0 > LATE_MS:
            counts["sent_late"] += 1
        counts["sent"] += 1
        # Known before the answer to the request: the watch may be faster than that.
        self._open[name] = _Open(arrival.cls, due, sent, sent + patience / 1000.0 + GRACE_S)
        client = self._clients[number % len(self._clients)]
        try:
            await client.create(JOBS, its.namespace, {"metadata": {"name": name}, "spec": spec})
        except ApiError as error:
            self._open.pop(name, None)
            counts["turned_away" if error.code in (429, 503) else "rejected"] += 1
            text = re.sub(r"[0-9.]*[0-9]", "N", error.message)  # those that differ in a figure are one
            self.errors[f"{error.code} {error.reason}: {text}"[:ERROR_MOST]] += 1
        except ServerUnreachableError as error:
            # It may have been taken: whether it was is told by the watch, or else by the time that passes.
            counts["unreachable"] += 1
            self.errors[re.sub(r"[0-9.]*[0-9]", "N", str(error))[:ERROR_MOST]] += 1
        else:
            self.results.taken[arrival.cls].record_value(max(1, round((loop.time() - due) * 1e6)))

    async def _follow(self, client: Client) -> None:
        loop = asyncio.get_running_loop()
        async for event in client.watch(JOBS, self._its.namespace):
            status = event.object["status"]
            if status["answered"] != len(status["tasks"]):
                continue
            its = self._open.pop(event.object["metadata"]["name"], None)
            if its is not None:
                now = loop.time()
                self.results.answered(its.cls, status["tasks"][0]["answer"], now - its.due, now - its.sent)

    async def _tell(self, tell: Callable[[Object], None]) -> None:
        """A line a second for whoever shows progress."""
        while True:
            await asyncio.sleep(1.0)
            total: Counter[str] = sum(self.results.counts.values(), Counter())
            answered = sum(total[state] for state in ANSWER_STATES)
            tell({"due": total["due"], "answered": answered, "open": len(self._open)})


def _say(data: Object) -> None:
    sys.stdout.write(msgspec.json.encode(data).decode() + "\n")
    sys.stdout.flush()


def main() -> None:
    its = msgspec.json.decode(sys.stdin.buffer.readline(), type=WorkerTask)
    worker = Worker(its)
    arrivals = worker.arrivals()
    _say({"ready": len(arrivals)})
    begin = float(sys.stdin.buffer.readline())
    asyncio.run(worker.run(arrivals, begin - time.monotonic(), _say))
    _say({"result": worker.results.message(), "errors": dict(worker.errors)})


if __name__ == "__main__":
    main()
