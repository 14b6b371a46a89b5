"""Levels of reduced service judged in virtual time: with levels, without, and with two textbook schemes.

All schemes see the same demand of the same owners on the same seed. Owners that are turned away or refused
come back when they were told to, some times over; what they ask for again is marked as that.
"""

from __future__ import annotations

import math
import multiprocessing
import random
from collections import Counter
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Literal

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import JobSpec, TaskState
from kelpfront.api.meta import Object
from kelpfront.controller.cluster import Cluster
from kelpfront.controller.job_controller import JobController
from kelpfront.controller.tasks import Task
from kelpfront.degradation import Level, LevelSettings
from kelpfront.lab.checker import check
from kelpfront.lab.levelscripts import SCRIPTS, Fault, Script, constant
from kelpfront.lab.placersim import START_MS, Behaviour, Costs, Fleet, Placer, Request, World
from kelpfront.lab.recording import Recorder
from kelpfront.lab.seen import ClassRule, Figures
from kelpfront.scheduling.settings import (
    FailureDomain,
    Idempotency,
    SchedulerSettings,
    SlowStartSettings,
    TaskClass,
)

Scheme = Literal["levels", "off", "bound", "aimd"]
SCHEMES: tuple[Scheme, ...] = ("levels", "off", "bound", "aimd")

ROOMS, PER_ROOM, CORES = 3, 4, 10.0
LIFE_MS = 6_000.0
SERVICES = 4  # of each class
OWNERS = tuple(f"owner-{number}" for number in range(10))
GREEDY = OWNERS[0]
RETRIES = 20  # of one task, after refusals: in effect the time decides
RETRY_WITHIN_MS = 45_000.0  # of when it was first asked for
MIX = {"batch": 0.5, "web": 0.28, "ingest": 0.12, "blend": 0.10}
LAST_MS = 15_000.0  # past the last retry, until each has its answer
QUEUE_BOUND = 60  # of the fixed scheme: about three seconds of what the fleet takes
GOODPUT_S = 300.0
SOON = 0.1  # of its patience: a refusal before that cost its owner little

CLASSES = (
    TaskClass(
        "batch",
        1000,
        5000,
        1,
        3,
        0.2,
        Idempotency.IDEMPOTENT,
        FailureDomain.ALL,
        0,
        0,
        None,
        FailureDomain.NONE,
        1,
        1,
        0.2,
    ),
    TaskClass(
        "web",
        700,
        5000,
        3,
        3,
        0.1,
        Idempotency.IDEMPOTENT,
        FailureDomain.ALL,
        0,
        1,
        None,
        FailureDomain.NONE,
        1,
        1,
        0.2,
    ),
    TaskClass(
        "ingest",
        700,
        5000,
        3,
        3,
        0.1,
        Idempotency.IDEMPOTENCY_KEY,
        FailureDomain.ZONE,
        7000,
        2,
        None,
        FailureDomain.NONE,
        1,
        1,
        0.2,
    ),
    TaskClass(
        "blend",
        600,
        8000,
        2,
        3,
        0.2,
        Idempotency.NON_IDEMPOTENT,
        FailureDomain.ALL,
        0,
        2,
        None,
        FailureDomain.NONE,
        1,
        1,
        0.2,
    ),
)


def lab_cluster() -> Cluster:
    settings = SchedulerSettings(
        replica_index=0,
        replica_count=1,
        zone=0,
        zones=1,
        timer_resolution_ms=40.0,
        classes=CLASSES,
        kind_cores=(CORES,),
        kind_memory=(2 * CORES,),
        mean_cores=1.0,
        mean_memory=1.0,
        cores_overcommit=1.0,
        memory_overcommit=1.0,
        accepted_when_running=True,
        endpoint_list_on_request=False,
        endpoint_list_reports_free=True,
        reports_measured_usage=False,
        machines_preempt=False,
        health_checks_allowed=True,
        cancellation_allowed=True,
        max_attempts=4,
        connect_timeout_ms=250.0,
        orphan_check_ms=3_000.0,
        max_retry_after_ms=3_000.0,
        answer_grace_ms=8.0,
        drain_grace_ms=500.0,
        endpoint_poll_within_ms=0.0,
        slow_start=SlowStartSettings(0.24, 17_000.0, 2.5, 2_000.0, 57.0),
    )
    return Cluster(settings, ("plain",), 15_000.0)


HANDOVER_MS = 800.0  # of a core between two tasks: an end is told, decided on, offered and started (measured)
CAPACITY = ROOMS * PER_ROOM * CORES / ((LIFE_MS + HANDOVER_MS) / 1000.0)  # tasks a second for the fleet


def figures_of_rules() -> Figures:
    return Figures(
        {
            cls.name: ClassRule(
                cls.idempotency.value, "room" if cls.name == "ingest" else "all", cls.idempotency_window_ms
            )
            for cls in CLASSES
        },
        8.0,
        500.0,
        2.5,
        2_000.0,
        57.0,
    )


# ---- Schemes to compare with ------------------------------------------------------------------------------


class FixedBound:
    """At most so many tasks without an answer; textbook."""

    def gate(self, controller: JobController, spec: JobSpec) -> ApiError | None:
        if controller.open_tasks >= QUEUE_BOUND:
            return ApiError(429, f"{controller.open_tasks} tasks wait", retry_after_s=1)
        return None

    def answered(self, now: float, waited_ms: float, aim_ms: float) -> None:
        pass


class Aimd:
    """A limit on tasks without an answer that grows while starts are in time and falls by a tenth if not."""

    def __init__(self) -> None:
        self._limit = 20.0
        self._cut_at = -math.inf

    def gate(self, controller: JobController, spec: JobSpec) -> ApiError | None:
        if controller.open_tasks >= self._limit:
            return ApiError(429, f"{controller.open_tasks} tasks wait", retry_after_s=1)
        return None

    def answered(self, now: float, waited_ms: float, aim_ms: float) -> None:
        if waited_ms <= aim_ms:
            self._limit += 1.0 / self._limit
        elif now >= self._cut_at + aim_ms:
            self._limit, self._cut_at = max(4.0, 0.9 * self._limit), now


class _NoGate:
    def gate(self, controller: JobController, spec: JobSpec) -> ApiError | None:
        return None

    def answered(self, now: float, waited_ms: float, aim_ms: float) -> None:
        pass


# ---- The run ----------------------------------------------------------------------------------------------


@dataclass(slots=True)
class _Wish:
    """What an owner wants run once, over all times that it asks."""

    owner: str
    cls: TaskClass
    number: int
    first_at: float
    tries: int = 0
    uid: str = ""
    asked_at: float = 0.0


@dataclass(slots=True)
class Tally:
    """What came of a run."""

    asked: Counter[str] = field(default_factory=Counter)
    placed: Counter[str] = field(default_factory=Counter)
    in_aim: Counter[str] = field(default_factory=Counter)
    owners_asked: Counter[str] = field(default_factory=Counter)
    owners_placed: Counter[str] = field(default_factory=Counter)
    first_of_class: Counter[str] = field(default_factory=Counter)  # placed when first asked for
    first_of_owner: Counter[str] = field(default_factory=Counter)
    turned: int = 0
    refused: int = 0
    refused_soon: int = 0
    failed: int = 0
    starts: dict[str, tuple[TaskClass, bool]] = field(default_factory=dict)  # uid: class, in its aim
    timeline: list[tuple[float, str, int]] = field(default_factory=list)  # second, level, tasks that wait


class Run:
    """One script under one scheme."""

    def __init__(
        self, script: Script, scheme: Scheme, seed: int, settings: LevelSettings | None = None
    ) -> None:
        self.script, self.scheme, self.seed = script, scheme, seed
        self.world = World()
        self.recorder = Recorder("lab", clock=lambda: self.world.now)
        self.fleet = Fleet(self.world, self.recorder)
        behaviour = {cls.name: Behaviour(120.0, LIFE_MS) for cls in CLASSES}
        self.fleet.build(ROOMS, PER_ROOM, CORES, behaviour, seed)
        self.gate = FixedBound() if scheme == "bound" else Aimd() if scheme == "aimd" else _NoGate()
        wanted = settings or LevelSettings()
        levels = LevelSettings(
            scheme == "levels", wanted.max_changes_per_hour, wanted.essential_priority, wanted.owner_weights
        )
        self.placer = Placer(
            self.world, lab_cluster(), self.fleet.machines, levels, seed, self.gate.gate, Costs()
        )
        self.tally = Tally()
        self._rng = random.Random(f"{seed}/{script.name}")
        self._retry_rng = random.Random(f"{seed}/{script.name}/retries")
        self._wishes: dict[str, _Wish] = {}
        self._count = 0
        self._greedy_until = -1.0
        self._greedy = 0.0
        self.changes: list[tuple[float, str, str, str]] = []

    @property
    def second(self) -> float:
        return (self.world.now - START_MS) / 1000.0

    def run(self) -> dict[str, Any]:
        for machine in self.fleet.machines.values():
            machine.boot()
        self.placer.on_answer = self._answered
        self.placer.on_job = self._seen
        self.placer.start()
        warm_up = 5_000.0
        for fault in self.script.faults:
            self.world.at(START_MS + fault.at_s * 1000.0, lambda fault=fault: self._strike(fault))  # type: ignore[misc]
        self.world.at(START_MS + warm_up, self._next)
        self.world.at(START_MS, self._look)
        self.world.run(START_MS + self.script.seconds * 1000.0 + RETRY_WITHIN_MS + LAST_MS)
        return self._figures()

    # ---- Owners ---------------------------------------------------------------------------------------

    def _next(self) -> None:
        """The next task that somebody wants."""
        if self.second >= self.script.seconds:
            return
        base = self.script.demand(self.second) * CAPACITY
        greedy = base / len(OWNERS) * self._greedy if self.second < self._greedy_until else 0.0
        rate = base + greedy
        owner = self._rng.choice(OWNERS) if self._rng.random() < base / rate else GREEDY
        name = self._rng.choices(list(MIX), list(MIX.values()))[0]
        cls = next(cls for cls in CLASSES if cls.name == name)
        self._count += 1
        wish = _Wish(owner, cls, self._count, self.world.now)
        self.tally.asked[name] += 1
        self.tally.owners_asked[owner] += 1
        self._ask(wish)
        self.world.after(self._rng.expovariate(rate) * 1000.0, self._next)

    def _ask(self, wish: _Wish) -> None:
        spec: Object = {
            "class": wish.cls.name,
            "service": f"{wish.cls.name}-{wish.number % SERVICES}",
            "cores": 1.0,
            "memory": 1.0,
        }
        if wish.cls.idempotency is Idempotency.IDEMPOTENCY_KEY:
            spec["key"] = f"k{wish.number}"
        name = f"j{wish.number}-{wish.tries}"
        wish.asked_at = self.world.now
        self._wishes[f"{wish.owner}/{name}"] = wish
        request = Request(
            wish.owner,
            name,
            JobSpec.model_validate(spec),
            lambda error: self._done(wish, name, error),
            again=wish.tries > 0,
        )
        self.placer.ask(request)

    def _done(self, wish: _Wish, name: str, error: ApiError | None) -> None:
        if error is None:
            return
        del self._wishes[f"{wish.owner}/{name}"]
        self.tally.turned += 1
        self._refused(wish, self.world.now - wish.asked_at, error.retry_after_s * 1000.0)

    def _refused(self, wish: _Wish, waited_ms: float, retry_ms: float) -> None:
        self.tally.refused += 1
        self.tally.refused_soon += waited_ms < SOON * wish.cls.deadline_ms
        wish.tries += 1
        back_at = self.world.now + max(1_000.0, retry_ms) * self._retry_rng.uniform(1.0, 1.3)
        if wish.tries <= RETRIES and back_at < wish.first_at + RETRY_WITHIN_MS:
            self.world.at(back_at, lambda: self._ask(wish))

    def _answered(self, now: float, task: Task, state: TaskState) -> None:
        job = task.job
        wish = self._wishes.get(f"{job.namespace}/{job.name}")
        if wish is None:
            return
        waited = now - task.created_at
        self.gate.answered(
            now, waited if state is TaskState.PLACED else math.inf, wish.cls.latency_objective_ms
        )
        if state is TaskState.PLACED:
            name = wish.cls.name
            in_aim = waited <= wish.cls.latency_objective_ms
            self.tally.placed[name] += 1
            self.tally.in_aim[name] += in_aim
            self.tally.owners_placed[wish.owner] += 1
            self.tally.first_of_class[name] += wish.tries == 0
            self.tally.first_of_owner[wish.owner] += wish.tries == 0
            self.tally.starts[task.uid] = wish.cls, in_aim
        elif state is TaskState.REFUSED:
            self._refused(wish, waited, task.retry_after_ms)
        else:
            self.tally.failed += 1

    def _seen(self, body: Object) -> None:
        """An owner sees its job: taken, then answered."""
        metadata, spec = body["metadata"], body["spec"]
        wish = self._wishes.get(f"{metadata['namespace']}/{metadata['name']}")
        for task in body["status"]["tasks"]:
            if wish is not None and not wish.uid:
                wish.uid = task["uid"]
                self.recorder.write(
                    "taken",
                    tasks=[task["uid"]],
                    cls=spec["class"],
                    t0=wish.asked_at,
                    patience_ms=wish.cls.deadline_ms,
                    placer=self.placer.name,
                    work=task["uid"],
                )
            if task.get("answer"):
                if wish is not None:
                    wish.uid = ""
                    del self._wishes[f"{metadata['namespace']}/{metadata['name']}"]
                self.recorder.write("answer-seen", task=task["uid"], answer=task["answer"], cls=spec["class"])

    # ---- What goes wrong ------------------------------------------------------------------------------

    def _strike(self, fault: Fault) -> None:
        machines = list(self.fleet.machines.values())
        end = self.world.now + fault.for_s * 1000.0
        match fault.kind:
            case "lose-room":
                for machine in self.fleet.room(fault.what):
                    machine.crash()
            case "regain-room":
                for machine in self.fleet.room(fault.what):
                    machine.boot()
            case "full":
                half = [machine for number, machine in enumerate(machines) if number % 2]
                for machine in half:
                    machine.full[fault.what] = 1.0
                self.world.at(end, lambda: self._set("full", {}))
            case "silence":
                for machine in machines:
                    machine.silent_until = self.world.now + fault.value * 1000.0
            case "late":
                for machine in machines:
                    machine.late_ms = fault.value
                self.world.at(end, lambda: self._set("late_ms", 0.0))
            case "stale":
                self._set("stale_ms", fault.value)
                self.world.at(end, lambda: self._set("stale_ms", 0.0))
            case "restart":
                self.recorder.write("placer-killed", placer=self.placer.name)
                self._note_changes()
                self.placer.kill()
                self.world.after(500.0, self._restart)
            case "clock":
                self.placer.skew_ms += fault.value
            case "greedy":
                self._greedy, self._greedy_until = fault.value, fault.at_s + fault.for_s

    def _set(self, name: str, value: object) -> None:
        for machine in self.fleet.machines.values():
            setattr(machine, name, value)

    def _restart(self) -> None:
        self._wishes.clear()
        self.placer.start()

    # ---- What came of it ------------------------------------------------------------------------------

    def _look(self) -> None:
        """Once a second."""
        if self.placer.up:
            controller = self.placer.controller
            self.tally.timeline.append(
                (self.second, controller.degradation.level.api_name, controller.open_tasks)
            )
        self.world.after(1_000.0, self._look)

    def _note_changes(self) -> None:
        """The log lines of level changes so far."""
        self.changes = [
            ((at - START_MS) / 1000.0, line.fields["before"], line.fields["after"], line.fields["why"])
            for at, line in self.placer.lines
            if line.event == "level changed"
        ]

    def _worth(self) -> dict[str, float]:
        """Points by class: seconds of service that was given, and starts, the late ones at their share."""
        begun: dict[str, float] = {}
        where: dict[str, set[str]] = {}
        served: Counter[str] = Counter()
        end_of_day = START_MS + self.script.seconds * 1000.0
        for line in self.recorder.lines:
            ev = line["ev"]
            if ev == "start":
                begun[line["task"]] = line["t"]
                where.setdefault(line["machine"], set()).add(line["task"])
            elif ev == "end":
                if line["task"] in begun:
                    served[line["task"]] += line["t"] - begun.pop(line["task"])
                    where[line["machine"]].discard(line["task"])
            elif ev == "down":
                for task in where.pop(line["machine"], set()):
                    if task in begun:
                        served[task] += line["t"] - begun.pop(task)
        for task, at in begun.items():
            served[task] += max(0.0, end_of_day - at)  # type: ignore[assignment]
        worth: Counter[str] = Counter()
        for uid, (cls, in_aim) in self.tally.starts.items():
            start = cls.start_utility_s * (1.0 if in_aim else cls.late_start_share)
            worth[cls.name] += cls.priority_weight * (served[uid] / 1000.0 + start)  # type: ignore[assignment]
        return {cls.name: round(worth[cls.name]) for cls in CLASSES}

    def _times(self) -> tuple[list[float], list[float]]:
        """Seconds from each cause's begin to the first raise, and from its end back to `full`."""
        enter, leave = [], []
        for begin, end in self.script.causes:
            raised = [at for at, before, after, _ in self.changes if at >= begin and _is_raise(before, after)]
            if raised and raised[0] < end:
                enter.append(round(raised[0] - begin, 1))
            back = [at for at, _, after, _ in self.changes if at >= end and after == Level.FULL.api_name]
            if back:
                leave.append(round(back[0] - end, 1))
        return enter, leave

    def _figures(self) -> dict[str, Any]:
        self._note_changes()
        tally = self.tally
        verdict = check(self.recorder.lines, figures_of_rules())
        worth = self._worth()
        enter, leave = self._times()
        dear = [cls.name for cls in CLASSES if cls.priority == max(its.priority for its in CLASSES)]
        dear_placed = sum(tally.placed[name] for name in dear)
        dear_asked = sum(tally.asked[name] for name in dear)
        others = [owner for owner in OWNERS if owner != GREEDY]
        others_asked = sum(tally.owners_asked[owner] for owner in others)
        return {
            "script": self.script.name,
            "scheme": self.scheme,
            "seed": self.seed,
            "asked": sum(tally.asked.values()),
            "placed": sum(tally.placed.values()),
            "in_aim": sum(tally.in_aim.values()),
            "changes": len(self.changes),
            "changes_most": self.script.changes_most,
            "enter_s": enter,
            "leave_s": leave,
            "worth": sum(worth.values()),
            "worth_by_class": worth,
            "dear_in_aim": round(sum(tally.in_aim[name] for name in dear) / max(1, dear_placed), 4),
            "dear_placed": round(dear_placed / max(1, dear_asked), 4),
            "dear_at_first": round(sum(tally.first_of_class[name] for name in dear) / max(1, dear_asked), 4),
            "refused": tally.refused,
            "turned_away": tally.turned,
            "refused_soon": round(tally.refused_soon / max(1, tally.refused), 4),
            "failed": tally.failed,
            "others_placed": round(
                sum(tally.owners_placed[owner] for owner in others) / max(1, others_asked), 4
            ),
            "others_at_first": round(
                sum(tally.first_of_owner[owner] for owner in others) / max(1, others_asked), 4
            ),
            "placer_busy": round(self.placer.busy_ms / (self.world.now - START_MS), 3),
            "violations": len(verdict.violations),
            "examples": [f"{one.rule}: {one.text}" for one in verdict.violations[:5]],
            "level_changes": [
                {"at_s": round(at, 1), "before": before, "after": after, "why": why}
                for at, before, after, why in self.changes
            ],
        }


def _is_raise(before: str, after: str) -> bool:
    return Level.from_api_name(after) > Level.from_api_name(before)


def run_one(name: str, scheme: Scheme, seed: int) -> dict[str, Any]:
    """One script under one scheme; `demand-N` is N times what the fleet takes, for `GOODPUT_S`."""
    if name.startswith("demand-"):
        script = constant(float(name.removeprefix("demand-")), GOODPUT_S)
    else:
        script = SCRIPTS[name]
    run = Run(script, scheme, seed)
    figures = run.run()
    return figures | {"timeline": run.tally.timeline}


def run_all(
    names: Sequence[str], schemes: Sequence[Scheme], seed: int, say: Callable[[str], None], processes: int
) -> list[dict[str, Any]]:
    """All schemes over all scripts, in the order given; each run is a process of its own."""
    jobs = [(name, scheme) for name in names for scheme in schemes]
    if processes <= 1 or len(jobs) == 1:
        return [run_one(name, scheme, seed) for name, scheme in jobs]
    found = []
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(min(processes, len(jobs)), mp_context=context) as pool:
        futures = [pool.submit(run_one, name, scheme, seed) for name, scheme in jobs]
        for (name, scheme), future in zip(jobs, futures, strict=True):
            found.append(future.result())
            say(f"{name} with {scheme}: worth {found[-1]['worth']}, violations {found[-1]['violations']}")
    return found


def plot(results: Sequence[dict[str, Any]], path: Path) -> None:
    """Worth by scheme for each script, and the tasks that wait over time with the levels behind them."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    names = list(dict.fromkeys(result["script"] for result in results))
    schemes = list(dict.fromkeys(result["scheme"] for result in results))
    by = {(result["script"], result["scheme"]): result for result in results}
    figure, axes = pyplot.subplots(len(names) + 1, 1, figsize=(10, 3 + 2.2 * len(names)), squeeze=False)
    bars = axes[0][0]
    width = 0.8 / len(schemes)
    for place, scheme in enumerate(schemes):
        best = [max(by[name, its]["worth"] for its in schemes) for name in names]
        values = [by[name, scheme]["worth"] / most for name, most in zip(names, best, strict=True)]
        bars.bar([x + place * width for x in range(len(names))], values, width, label=scheme)
    bars.set_xticks([x + 0.4 - width / 2 for x in range(len(names))], names, rotation=20, fontsize=7)
    bars.set_ylim(0.5, 1.02)
    bars.set_ylabel("worth, of the best")
    bars.legend(fontsize=7, ncols=len(schemes), loc="lower right")
    shades = {"careful": "#f6e7b0", "recovering": "#cfe8cf", "essential": "#f4c4a4", "holding": "#e59a9a"}
    for row, name in enumerate(names, 1):
        axis = axes[row][0]
        for scheme in schemes:
            timeline = by[name, scheme]["timeline"]
            axis.plot([at for at, _, _ in timeline], [n for _, _, n in timeline], lw=0.8, label=scheme)
        if "levels" in schemes:
            for at, level, _ in by[name, "levels"]["timeline"]:
                if level in shades:
                    axis.axvspan(at, at + 1, color=shades[level], lw=0)
        axis.set_ylabel("tasks waiting", fontsize=7)
        axis.set_title(name, fontsize=8, loc="left")
    axes[-1][0].set_xlabel("seconds; shaded: careful, essential, holding (red), recovering (green)")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
