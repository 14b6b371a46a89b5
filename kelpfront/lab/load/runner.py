"""Runs the load tool's processes against placers, and puts their results together."""

from __future__ import annotations

import asyncio
import math
import secrets
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec

from kelpfront.config import Config
from kelpfront.config.reader import parse_config
from kelpfront.lab.load.arrivals import Form
from kelpfront.lab.load.ramp import Outcome, Ramp
from kelpfront.lab.load.worker import ANSWER_STATES, ClassLoad, WorkerTask
from kelpfront.lab.process import Placer, Process, stand_in_machines
from kelpfront.lab.setup import THREE_CLASSES, make_hosts
from kelpfront.lab.standins import FleetModel

HEAD_START_S = 0.5  # between the last worker's word that it is ready and the first arrival
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

LOCAL_SETTINGS = f"""
[placer]
listen = 127.0.0.1:0
{THREE_CLASSES}
"""
LOCAL_MODEL = FleetModel(
    weigh_ms=0.5, start_ms=5.0, dear=1.5, life_ms=400.0, line=1024, parallel_starts=256, heartbeat_ms=1000.0
)


class LoadShape(msgspec.Struct, frozen=True):
    """What is sent. `rate` is in jobs a second over all processes; `mix` are shares of classes."""

    form: Form = "poisson"
    rate: float = 100.0
    seconds: float = 30.0
    period_s: float = 60.0
    peak: float = 4.0
    share: float = 0.1
    trace: str = ""
    mix: dict[str, float] = {}
    services: int = 20
    cores: float = 0.1
    memory: float = 0.1
    workers: int = 2
    seed: int = 1


class Load:
    """`run` is one run; `ramp` many, until the highest rate that is kept is known."""

    def __init__(
        self,
        urls: Sequence[str],
        config: Config,
        work: Path,
        progress: Callable[[dict[str, int]], None] = lambda told: None,
    ) -> None:
        self._urls, self._config, self._work, self._progress = tuple(urls), config, work, progress

    def _classes(self, mix: dict[str, float]) -> tuple[ClassLoad, ...]:
        return tuple(
            ClassLoad(name, mix.get(name, 0.0 if mix else 1.0), section.effect, section.deadline)
            for name, section in self._config.classes.items()
        )

    async def run(self, shape: LoadShape) -> dict[str, Any]:
        namespace = f"load-{secrets.token_hex(4)}"  # of this run alone: its watch shows nothing else
        classes = self._classes(shape.mix)
        workers = []
        tells: list[dict[str, int]] = [{} for _ in range(shape.workers)]
        for number in range(shape.workers):
            its = WorkerTask(
                number,
                shape.workers,
                shape.seed,
                namespace,
                self._urls,
                classes,
                shape.services,
                shape.cores,
                shape.memory,
                shape.form,
                shape.rate,
                shape.seconds,
                shape.period_s,
                shape.peak,
                shape.share,
                shape.trace,
            )
            worker = Process(
                f"load worker {number}",
                "kelpfront.lab.load.worker",
                log_to=self._work / f"load-{number}.log",
            )
            await worker.start()
            worker.say(msgspec.json.encode(its))
            workers.append(worker)
        try:
            due = sum([(await worker.line())["ready"] for worker in workers])
            begin = time.monotonic() + HEAD_START_S
            for worker in workers:
                worker.say(str(begin).encode())

            async def result_of(number: int) -> dict[str, Any]:
                while True:
                    line: dict[str, Any] = await workers[number].line(math.inf)
                    if "result" in line:
                        return line
                    tells[number] = line
                    total = sum((Counter(told) for told in tells), Counter[str]())
                    self._progress({**total, "all": due})

            results = await asyncio.gather(*(result_of(number) for number in range(shape.workers)))
            wall_s = time.monotonic() - begin
        finally:
            for worker in workers:
                await worker.end()
        return self._together(shape, results, wall_s)

    def _together(self, shape: LoadShape, results: Sequence[dict[str, Any]], wall_s: float) -> dict[str, Any]:
        by_class: dict[str, Any] = {}
        all_counts: Counter[str] = Counter()
        all_due = _Merged()
        for name in self._config.classes:
            counts: Counter[str] = Counter()
            merged = {kind: _Merged() for kind in ("from_due", "from_sending", "taken")}
            for one in results:
                counts.update(one["result"]["counts"][name])
                for kind, histogram in merged.items():
                    histogram.add(one["result"][kind][name])
                all_due.add(one["result"]["from_due"][name])
            if not counts:
                continue
            all_counts.update(counts)
            aim = self._config.classes[name].aim
            by_class[name] = {
                "aim_ms": aim,
                "counts": dict(sorted(counts.items())),
                **{f"{kind}_ms": histogram.figures() for kind, histogram in merged.items()},
            }
        errors: Counter[str] = Counter()
        for one in results:
            errors.update(one["errors"])
        seconds = shape.seconds if not shape.trace else wall_s
        return {
            "form": "trace" if shape.trace else shape.form,
            "rate": all_counts["due"] / seconds,
            "seconds": round(seconds, 3),
            "workers": shape.workers,
            "answers_a_second": round(sum(all_counts[s] for s in ANSWER_STATES) / wall_s, 1),
            "counts": dict(sorted(all_counts.items())),
            "from_due_ms": all_due.figures(),
            "classes": by_class,
            "errors": dict(errors.most_common(10)),
        }

    def outcome(self, rate: float, figures: dict[str, Any]) -> Outcome:
        """A run as the ramp judges it: by the class that is furthest over its aim."""
        counts = Counter(figures["counts"])
        worst = max(
            figures["classes"].values(),
            key=lambda one: one["from_due_ms"].get("p99", 0.0) / one["aim_ms"],
            default=None,
        )
        return Outcome(
            rate,
            counts["sent"],
            sum(counts[state] for state in ANSWER_STATES),
            counts["turned_away"] + counts["rejected"] + counts["unreachable"] + counts["not_sent"],
            counts["without_final"],
            0.0 if worst is None else worst["from_due_ms"].get("p99", 0.0),
            math.inf if worst is None else worst["aim_ms"],
            counts["sent_late"],
        )

    async def ramp(
        self, shape: LoadShape, ramp: Ramp, say: Callable[[str], None], pause_s: float = 2.0
    ) -> dict[str, Any]:
        while not ramp.done:
            rate = ramp.rate
            figures = await self.run(msgspec.structs.replace(shape, rate=rate))
            outcome = self.outcome(rate, figures)
            say(f"{rate:.0f} a second: {outcome.why_not or f'kept, p99 {outcome.p99_ms:.0f} ms'}")
            ramp.take(outcome)
            await asyncio.sleep(pause_s)  # what the last run left behind ends first
        return ramp.summary()


class _Merged:
    """Histograms of several processes as one."""

    def __init__(self) -> None:
        self._all: Any = None

    def add(self, encoded: str) -> None:
        from hdrh.histogram import HdrHistogram

        one = HdrHistogram.decode(encoded)
        if self._all is None:
            self._all = one
        else:
            self._all.add(one)

    def figures(self) -> dict[str, float]:
        """Milliseconds; empty where nothing was counted."""
        if self._all is None or not self._all.get_total_count():
            return {}
        found = {f"p{p:g}": self._all.get_value_at_percentile(p) / 1000.0 for p in PERCENTILES}
        return {**found, "max": self._all.get_max_value() / 1000.0}


@asynccontextmanager
async def local_cluster(
    work: Path, machines: int, placers: int
) -> AsyncIterator[tuple[tuple[str, ...], Config]]:
    """Placers and stand-ins as processes on loopback; gives the placers' URLs."""
    hosts = make_hosts(machines, ("hall-a", "hall-b"), [("small", 24.0, 48.0)])
    (work / "cluster.ini").write_text(LOCAL_SETTINGS)
    stand_ins = stand_in_machines(work, hosts, LOCAL_MODEL)
    its = [Placer(number, placers, work, ("hall-a", "hall-b")) for number in range(placers)]
    try:
        await stand_ins.start()
        await stand_ins.line()
        for placer in its:
            await placer.start()
        for placer in its:
            await placer.ready()
        yield tuple(placer.url for placer in its), parse_config(LOCAL_SETTINGS, "the load tool's settings")
    finally:
        for placer in its:
            if placer.process is not None:
                await placer.process.end()
        await stand_ins.end()
