"""The judge of recorded days: what it must find, what it must let pass, and wrong placers on real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from clusters import QUICK, TestCluster, config, spec
from waiting import until

from kelpfront.api.machines import State
from kelpfront.api.meta import JOBS
from kelpfront.client import Client, JobSpec
from kelpfront.controller.job_controller import JobController
from kelpfront.lab import seen
from kelpfront.lab.checker import check
from kelpfront.lab.recording import Line, Recorder, host_clock
from kelpfront.lab.seen import STRAY_MS, ClassRule, Figures, Verdict
from kelpfront.lab.standins import FleetModel
from kelpfront.lab.wrongplacers import (
    BlindToCold,
    Crowds,
    DeafToDrains,
    ForgetsToAnswer,
    NeverTires,
    OffersAfterItsAnswer,
    OffersToTwo,
    RefusesWhatMayHaveRun,
    TakesSilenceForProof,
)

FIGURES = Figures(
    {
        "web": ClassRule("safe"),
        "ingest": ClassRule("keyed", "room", 2_000.0, "rack", 2),
        "blend": ClassRule("unsafe"),
    },
    answer_grace_ms=8.0,
    drain_grace_ms=500.0,
    cold_multiple=2.0,
    cold_window_ms=1_000.0,
    cold_offers=5,
)


class Day:
    """Lines of a day, written by hand."""

    def __init__(self) -> None:
        self.lines: list[Line] = []

    def add(self, t: float, ev: str, **fields: Any) -> Day:
        self.lines.append({"t": t, "ev": ev, "by": "test", **fields})
        return self

    def offer(
        self, t: float, task: str, attempt: int = 0, machine: str = "n1", cls: str = "web", **more: Any
    ) -> Day:
        fields = {"placer": "p0", "life": "l1", "service": "s", "room": "east", "rack": "r1", **more}
        return self.add(t, "offer", task=task, attempt=attempt, machine=machine, cls=cls, **fields)

    def answer(
        self, t: float, task: str, attempt: int = 0, machine: str = "n1", answer: str = "running"
    ) -> Day:
        return self.add(t, "answer", task=task, attempt=attempt, machine=machine, answer=answer)

    def start(self, t: float, task: str, attempt: int = 0, machine: str = "n1") -> Day:
        return self.add(t, "start", task=task, attempt=attempt, machine=machine)

    def taken(self, t: float, *tasks: str, cls: str = "web", patience: float = 5_000.0, **more: Any) -> Day:
        fields = {"placer": "p0", **more}
        return self.add(t + 5, "taken", t0=t, tasks=list(tasks), cls=cls, patience_ms=patience, **fields)

    def seen(self, t: float, task: str, answer: str = "Placed") -> Day:
        return self.add(t, "answer-seen", task=task, answer=answer)

    def judge(self) -> Verdict:
        return check(sorted(self.lines, key=lambda line: line["t"]), FIGURES)


def broken(verdict: Verdict) -> list[str]:
    return [violation.rule for violation in verdict.violations]


def placed(cls: str = "web") -> Day:
    day = Day().taken(0, "a", cls=cls).offer(10, "a", cls=cls).start(20, "a")
    return day.answer(40, "a").seen(45, "a")


def test_a_good_day_breaks_nothing_and_is_counted() -> None:
    verdict = (
        placed().taken(100, "b").seen(200, "b", "Refused").taken(100, "c").seen(300, "c", "Failed").judge()
    )
    assert broken(verdict) == []
    assert (verdict.tasks, verdict.final, verdict.offers, verdict.starts) == (
        3,
        {"Placed": 1, "Refused": 1, "Failed": 1},
        1,
        1,
    )
    assert sorted(verdict.latencies_ms) == [45, 100, 200]


@pytest.mark.parametrize(
    ("day", "rule"),
    [
        (Day().taken(0, "a"), seen.ONE_ANSWER),
        (placed().seen(50, "a", "Refused"), seen.ONE_ANSWER),
        (Day().taken(0, "a").seen(5_009, "a"), seen.ONE_ANSWER),
        (placed().offer(700, "a", 1, "n2"), seen.ONE_ANSWER),
        (Day().offer(0, "a").offer(500, "a", 1, "n2"), seen.ONE_ATTEMPT),
        (
            Day()
            .offer(0, "a").answer(1, "a", answer="refused")
            .offer(2, "a", 1).answer(3, "a", 1, answer="refused")
            .offer(4, "a", 2).answer(5, "a", 2, answer="refused").offer(6, "a", 3)
            .answer(7, "a", 3, answer="refused").offer(8, "a", 4),
            seen.ONE_ATTEMPT,
        ),
        (
            Day().offer(0, "a", cls="blend").add(5, "left", machine="n1", task="a", attempt=0)
            .offer(10, "a", 1, "n2", cls="blend"),
            seen.NO_EFFECT_TWICE,
        ),
        (
            Day().offer(0, "a", cls="blend").answer(1, "a", answer="error")
            .offer(9, "a", 1, "n2", cls="blend"),
            seen.NO_EFFECT_TWICE,
        ),
        (
            placed("blend").offer(100, "a", 1, "n2", cls="blend").start(101, "a", 1, "n2"),
            seen.NO_EFFECT_TWICE,
        ),
        (
            Day().taken(0, "a", cls="blend", work="w").offer(1, "a", cls="blend").start(2, "a")
            .taken(3, "b", cls="blend", work="w").offer(4, "b", cls="blend").start(5, "b")
            .seen(9, "a", "Failed").seen(9, "b"),
            seen.NO_EFFECT_TWICE,
        ),
        (
            Day().offer(0, "a", cls="ingest").answer(1, "a", answer="lost")
            .offer(9, "a", 1, "n2", cls="ingest", room="west"),
            seen.NO_EFFECT_TWICE,
        ),
        (
            Day().offer(0, "a", cls="ingest").answer(1, "a", answer="lost")
            .offer(2_400, "a", 1, "n2", cls="ingest"),
            seen.NO_EFFECT_TWICE,
        ),
        (
            Day().offer(0, "a", cls="ingest").start(1, "a").answer(2, "a", answer="lost")
            .offer(9, "a", 1, "n2", cls="ingest").start(10, "a", 1, "n2"),
            seen.NO_EFFECT_TWICE,
        ),
        (
            Day().taken(0, "a", cls="blend").offer(1, "a", cls="blend")
            .add(9, "left", machine="n1", task="a", attempt=0).seen(10, "a", "Refused"),
            seen.NO_EFFECT_TWICE,
        ),
        (
            Day().add(0, "told", placer="p0", machine="n1", state="draining").offer(801, "a"),
            seen.DRAINS,
        ),
        (Day().add(0, "drain-asked", placer="p0", machine="n1", on=True).offer(801, "a"), seen.DRAINS),
        (Day().add(0, "fell", machine="n1", offers=9, bears=5), seen.COLD),
        (
            Day().offer(0, "a", cls="ingest").offer(1, "b", machine="n2", cls="ingest")
            .offer(2, "c", machine="n3", cls="ingest"),
            seen.SPREAD,
        ),
    ],
)  # fmt: skip
def test_each_rule_is_found_broken(day: Day, rule: str) -> None:
    assert rule in broken(day.judge())


@pytest.mark.parametrize(
    "day",
    [
        Day().taken(0, "a").add(100, "placer-killed", placer="p0"),
        Day().taken(0, "a").add(100, "placer-killed", placer="p0").seen(9_000, "a"),
        Day().taken(0, "a").add(100, "withdrawn", tasks=["a"]),
        Day().taken(0, "a").seen(5_008, "a"),
        placed().offer(300, "b"),
        Day().offer(0, "a").offer(9, "a", 1, "n2").add(200, "left", machine="n1", task="a", attempt=0),
        Day().offer(0, "a", cls="blend").answer(1, "a", answer="refused").offer(9, "a", 1, "n2", cls="blend"),
        Day().offer(0, "a", cls="ingest").answer(1, "a", answer="lost").offer(9, "a", 1, "n2", cls="ingest"),
        Day().add(0, "told", placer="p0", machine="n1", state="draining").offer(499, "a"),
        Day().add(0, "told", placer="p0", machine="n1", state="draining").offer(999, "a", machine="n2"),
        Day().add(0, "told", placer="p1", machine="n1", state="draining").offer(999, "a"),
        Day().add(0, "told", placer="p0", machine="n1", state="draining")
        .add(500, "told", placer="p0", machine="n1", state="ready").offer(999, "a"),
        Day().add(0, "told", placer="p0", machine="n1", state="draining")
        .add(500, "placer-killed", placer="p0").offer(999, "a"),
        Day().offer(0, "a", cls="ingest").offer(1, "b", cls="ingest").answer(2, "b", answer="refused")
        .offer(3, "c", machine="n3", cls="ingest"),
        Day().offer(0, "a", cls="ingest").offer(1, "b", cls="ingest").answer(2, "b")
        .add(3, "gone-told", machine="n1", placer="p0", task="b", attempt=0).offer(4, "c", cls="ingest"),
        Day().offer(0, "a", cls="ingest").offer(1, "b", cls="ingest").offer(2, "c", cls="ingest", rack="r2"),
        Day().offer(0, "a", cls="ingest").offer(1, "b", cls="ingest")
        .offer(2, "c", cls="ingest", placer="p1"),
    ],
)  # fmt: skip
def test_what_the_rules_allow_is_let_pass(day: Day) -> None:
    assert broken(day.judge()) == []


def boot(day: Day, cold: bool = True) -> Day:
    fields = {"rate": 0.01, "cold_from": 0.25, "cold_ms": 10_000.0, "room": "east", "rack": "r1"}
    return day.add(0, "boot", machine="n1", boot="b", cold=cold, **fields)


def test_offers_of_all_placers_to_a_cold_machine_are_counted_in_each_window() -> None:
    """At a hundredth a millisecond, a quarter of it when cold, twice that: five in the first second."""
    assert seen.COLD in broken(_many(boot(Day()), 100, 7).judge())
    assert broken(_many(boot(Day()), 100, 5).judge()) == []
    assert broken(_many(boot(Day(), cold=False), 100, 7).judge()) == []
    assert broken(_many(boot(Day()), 9_000, 7).judge()) == [], "nearly warm"
    assert broken(_many(_many(boot(Day()), 100, 4), 1_200, 4).judge()) == [], "in two windows"


def _many(day: Day, at: float, count: int) -> Day:
    for n in range(count):
        day.offer(at + n, f"t{at}-{n}", placer=f"p{n}")
    return day


# ---- Wrong placers ----------------------------------------------------------------------------------------


class Owner:
    """A client that submits, follows its jobs by one watch and records what it sees."""

    def __init__(self, client: Client, recorder: Recorder, placer: str) -> None:
        self.client, self.recorder, self.placer = client, recorder, placer
        self.seen: dict[str, str] = {}
        self.task = asyncio.create_task(self._follow())

    async def submit(self, name: str, its: JobSpec, patience_ms: float = 5_000.0) -> None:
        sent = host_clock()
        job = await self.client.submit("climate", its, name=name)
        assert job.status is not None
        uids = [task.uid for task in job.status.tasks]
        self.recorder.write(
            "taken", t0=sent, tasks=uids, cls=its.class_, patience_ms=patience_ms, placer=self.placer
        )

    async def _follow(self) -> None:
        async for event in self.client.watch(JOBS, "climate"):
            for task in event.object["status"]["tasks"]:
                answer = task.get("answer")
                if answer is not None and self.seen.get(task["uid"]) != answer:
                    self.seen[task["uid"]] = answer
                    self.recorder.write("answer-seen", task=task["uid"], answer=answer)


async def day_of(
    controller_class: type[JobController],
    script: Callable[[TestCluster, Owner], Awaitable[None]],
    *overrides: str,
    machines: int = 4,
    model: FleetModel = QUICK,
    cold: bool = False,
) -> Verdict:
    its = TestCluster(machines, model, overrides)
    await its.start()
    try:
        service = await its.placer(controller_class=controller_class)
        if cold:
            for machine in its.fleet.machines.values():
                machine.crash()
                await machine.boot(cold=True)
            await until(
                lambda: all(e.boot.endswith("-2") for e in service.controller.registry.entries.values())
            )
            await until(
                lambda: all(e.state is State.READY for e in service.controller.registry.entries.values())
            )
        clients = Recorder("clients")
        owner = Owner(its.client(service), clients, service.config.placer.name)
        await script(its, owner)
        owner.task.cancel()
        lines = sorted(its.recorder.lines + clients.lines, key=lambda line: line["t"])
        return check(lines, Figures.of(config(*overrides)))
    finally:
        await its.close()


async def ordinary(its: TestCluster, owner: Owner) -> None:
    for n in range(12):
        cls = ("web", "ingest", "blend")[n % 3]
        await owner.submit(f"j{n}", spec(cls, cores=0.5))
    await until(lambda: len(owner.seen) == 12)
    await asyncio.sleep(0.9)


async def in_vain(its: TestCluster, owner: Owner) -> None:
    await owner.submit("a", spec(cores=1000.0, patience="300ms"), 300.0)
    await asyncio.sleep(0.8)


async def answers_lost(its: TestCluster, owner: Owner) -> None:
    for machine in its.fleet.machines.values():
        machine.troubles.reset_share = 1.0
        machine.troubles.mute = True
    await owner.submit("a", spec("blend", patience="1s"), 1000.0)
    await until(lambda: owner.seen)


async def refused_by_all(its: TestCluster, owner: Owner) -> None:
    for machine in its.fleet.machines.values():
        machine.troubles.full["web"] = -1.0
    await owner.submit("a", spec(patience="5s"))
    await until(lambda: owner.seen)


async def drained(its: TestCluster, owner: Owner) -> None:
    its.fleet.machines["n0"].drain(True)
    await asyncio.sleep(1.0)
    for n in range(40):
        await owner.submit(f"j{n}", spec(service=f"s{n}"))
    await until(lambda: len(owner.seen) == 40)


async def burst(its: TestCluster, owner: Owner) -> None:
    await owner.submit("a", spec(count=30, cores=0.2, memory=0.2, patience="1500ms"), 1500.0)
    await until(lambda: len(owner.seen) == 30)


async def same_service(its: TestCluster, owner: Owner) -> None:
    await owner.submit("a", spec(count=6, cores=0.5))
    await until(lambda: len(owner.seen) == 6)


SLOW = FleetModel(weigh_ms=2.0, start_ms=600.0, parallel_starts=2, dear=1.0, heartbeat_ms=100.0)
SPREAD_SETTINGS = ("class web.apart=machine", "class web.together=1")
COLD_SETTINGS = ("rules.cold_offers=4", "rules.cold_for=60s", "rules.cold_window=2s")


async def test_the_right_placer_breaks_nothing_in_any_of_these_days() -> None:
    for script in (ordinary, in_vain, answers_lost, refused_by_all, drained):
        assert broken(await day_of(JobController, script)) == [], script.__name__
    assert broken(await day_of(JobController, burst, *COLD_SETTINGS, machines=1, model=SLOW, cold=True)) == []
    assert broken(await day_of(JobController, same_service, *SPREAD_SETTINGS, machines=8)) == []


@pytest.mark.parametrize(
    ("wrong", "script", "overrides", "rule"),
    [
        (ForgetsToAnswer, in_vain, (), seen.ONE_ANSWER),
        (OffersAfterItsAnswer, ordinary, (), seen.ONE_ANSWER),
        (TakesSilenceForProof, answers_lost, (), seen.NO_EFFECT_TWICE),
        (RefusesWhatMayHaveRun, answers_lost, (), seen.NO_EFFECT_TWICE),
        (OffersToTwo, ordinary, (), seen.ONE_ATTEMPT),
        (NeverTires, refused_by_all, (), seen.ONE_ATTEMPT),
        (DeafToDrains, drained, (), seen.DRAINS),
        (BlindToCold, burst, COLD_SETTINGS, seen.COLD),
        (Crowds, same_service, SPREAD_SETTINGS, seen.SPREAD),
    ],
)
async def test_a_wrong_placer_is_found_by_its_rule(
    wrong: type[JobController], script: Any, overrides: tuple[str, ...], rule: str
) -> None:
    cold = rule == seen.COLD
    machines, model = (1, SLOW) if cold else (8, QUICK)
    verdict = await day_of(wrong, script, *overrides, machines=machines, model=model, cold=cold)
    assert rule in broken(verdict), verdict.violations


def stray(**changes: Any) -> Day:
    """A safe task that was given up at n1, where it runs, and is placed at n2."""
    day = Day().taken(0, "a").offer(10, "a").add(20, "start", machine="n1", task="a", attempt=0)
    day.add(500, "left", machine="n1", task="a", attempt=0)
    day.offer(600, "a", 1, "n2").answer(620, "a", 1, "n2").seen(640, "a", "Placed")
    return day


def test_a_copy_that_nobody_wants_and_that_runs_on_is_reported() -> None:
    late = STRAY_MS + 2_000
    day = stray().add(late, "end", machine="n1", task="a", attempt=0)
    assert broken(day.judge()) == [seen.STRAYS]
    in_time = stray().add(STRAY_MS, "end", machine="n1", task="a", attempt=0)
    assert broken(in_time.judge()) == []


def test_a_copy_that_could_not_be_stopped_is_no_fault() -> None:
    late = STRAY_MS + 2_000
    fault = {"kind": "silence", "for_s": 6.0, "hosts": ["n1"], "cls": ""}
    hindrances: list[tuple[str, dict[str, Any]]] = [
        ("fault", fault),
        ("placer-killed", {"placer": "p0"}),
        ("placer-stalled", {"placer": "p0", "for_ms": 6_000.0}),
        ("cut", {"source": "n1", "target": "p0"}),
    ]
    for event, fields in hindrances:
        day = stray().add(700, event, **fields).add(late, "end", machine="n1", task="a", attempt=0)
        assert broken(day.judge()) == [], event


def test_a_repeat_at_the_machine_that_runs_the_copy_takes_it_over() -> None:
    day = Day().taken(0, "a").offer(10, "a").add(20, "start", machine="n1", task="a", attempt=0)
    day.add(500, "left", machine="n1", task="a", attempt=0)
    day.offer(600, "a", 1).answer(620, "a", 1).seen(640, "a", "Placed")
    assert broken(day.add(60_000, "end", machine="n1", task="a", attempt=1).judge()) == []


def test_an_attempt_that_its_machine_told_to_be_over_is_not_out() -> None:
    """A day of the search (709): sent away before its late answer, and offered elsewhere at once."""
    day = Day().taken(0, "a").offer(10, "a").add(20, "start", machine="n1", task="a", attempt=0)
    day.add(900, "gone-told", machine="n1", placer="p0", task="a", attempt=0, cause="sent-away")
    day.offer(901, "a", 1, "n2").answer(1_900, "a", 0, answer="error")
    assert seen.ONE_ATTEMPT not in broken(day.answer(1_950, "a", 1, "n2").seen(1_960, "a", "Placed").judge())
