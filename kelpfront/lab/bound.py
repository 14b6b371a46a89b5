"""The best that could be done with a day, by an optimiser that sees all of it before it begins.

Time is cut into slots. Each piece of work may start once, in a slot between its submission and its deadline;
it then takes its cores and memory until it ends, and is worth what `measures` says. HiGHS maximises the sum
(https://highs.dev, by scipy). The bound errs to the high side: starts cost nothing, machines fill to what
they accept, ends are rounded down, drains, cold machines, spread and failing classes are not heard of.
`pool` takes all machines of a slot as one and solves the linear relaxation; `exact` places on single ones.

Work that never ran has no length: it counts with the mean of its class on that day, the only estimate here.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Literal

import numpy as np

from kelpfront.config import Config
from kelpfront.lab.recording import Line

EXACT_MOST = 60_000  # variables of an exact problem; more take too long
POOL_MOST = 4_000_000


class BoundError(ValueError):
    """A day that is too large for what is asked."""


@dataclass(frozen=True, slots=True)
class Work:
    """One task. Times in milliseconds from the day's begin; `worth_in` and `worth_late` by when it starts."""

    asked_at: float
    aim_until: float
    deadline: float
    length: float
    cores: float
    memory: float
    worth_in: float
    worth_late: float


@dataclass(frozen=True, slots=True)
class Machine:
    """What it accepts, and from when until when it is up."""

    cores: float
    memory: float
    up: tuple[tuple[float, float], ...]


@dataclass(frozen=True, slots=True)
class Bound:
    worth: float
    placed: float
    slots: int
    variables: int


def work_of(lines: Sequence[Line], config: Config, cores: float, memory: float) -> list[Work]:
    """All work of a recorded day, that which was turned away included where its class was told."""
    began = lines[0]["t"] if lines else 0.0
    asked: dict[str, tuple[str, float]] = {}
    starts: dict[str, float] = {}
    lengths: dict[str, float] = {}
    running: dict[str, set[str]] = defaultdict(set)
    away: list[tuple[str, float]] = []
    for line in lines:
        match line["ev"]:
            case "taken":
                asked.update((uid, (line["cls"], line["t0"])) for uid in line["tasks"])
            case "rejected" if "cls" in line:
                away.append((line["cls"], line["t0"]))
            case "start":
                starts[line["task"]] = line["t"]
                running[line["machine"]].add(line["task"])
            case "end" if line["task"] in starts:
                lengths[line["task"]] = line["t"] - starts.pop(line["task"])
                running[line["machine"]].discard(line["task"])
            case "down":
                for uid in running.pop(line["machine"], ()):
                    if uid in starts:
                        lengths[uid] = line["t"] - starts.pop(uid)
    by_class: dict[str, list[float]] = defaultdict(list)
    for uid, length in lengths.items():
        if uid in asked:
            by_class[asked[uid][0]].append(length)
    means = {name: sum(values) / len(values) for name, values in by_class.items()}
    found = []
    for uid, (name, at) in asked.items():
        found.append(_work(config, name, at - began, lengths.get(uid, means.get(name, 0.0)), cores, memory))
    for name, at in away:
        found.append(_work(config, name, at - began, means.get(name, 0.0), cores, memory))
    return found


def _work(config: Config, name: str, at: float, length: float, cores: float, memory: float) -> Work:
    cls = config.classes[name]
    served, start = length / 1000.0, cls.start_worth / 1000.0
    return Work(
        at,
        at + cls.aim,
        at + cls.deadline,
        length,
        cores,
        memory,
        cls.worth * (served + start),
        cls.worth * (served + start * cls.late_worth),
    )


def machines_of(lines: Sequence[Line], config: Config) -> list[Machine]:
    """All machines of a recorded day, by their boots and falls."""
    began, last = (lines[0]["t"], lines[-1]["t"]) if lines else (0.0, 0.0)
    up: dict[str, list[tuple[float, float]]] = defaultdict(list)
    since: dict[str, float] = {}
    kinds: dict[str, str] = {}
    for line in lines:
        if line["ev"] == "boot":
            since[line["machine"]], kinds[line["machine"]] = line["t"] - began, line["kind"]
        elif line["ev"] == "down" and line["machine"] in since:
            up[line["machine"]].append((since.pop(line["machine"]), line["t"] - began))
    for name, at in since.items():
        up[name].append((at, last - began))
    its = config.cluster
    return [
        Machine(
            config.kinds[kind].cores * its.accepts_cores,
            config.kinds[kind].memory * its.accepts_memory,
            tuple(up[name]),
        )
        for name, kind in kinds.items()
    ]


def best(
    work: Sequence[Work], machines: Sequence[Machine], slot_ms: float, how: Literal["pool", "exact"] = "pool"
) -> Bound:
    """The most worth that any choice of machines and times could have come to."""
    from scipy.optimize import Bounds, LinearConstraint, milp
    from scipy.sparse import csr_matrix

    if not work or not machines:
        return Bound(0.0, 0.0, 0, 0)
    last = max(
        max(one.deadline for one in work), max((end for m in machines for _, end in m.up), default=0.0)
    )
    slots = int(last // slot_ms) + 1
    up = np.zeros((len(machines), slots), dtype=bool)
    for number, machine in enumerate(machines):
        for begin, end in machine.up:  # up in a part of a slot counts as up
            up[number, int(begin // slot_ms) : int(end // slot_ms) + 1] = True
    sizes = np.array([[m.cores, m.memory] for m in machines])
    groups = [np.arange(len(machines))] if how == "pool" else [np.array([n]) for n in range(len(machines))]
    capacity = np.array([(up[g].T @ sizes[g]) for g in groups])  # group, slot, resource
    worth: list[float] = []
    once: list[int] = []  # of each variable: its piece of work
    rows: list[int] = []
    columns: list[int] = []
    values: list[float] = []
    most = POOL_MOST if how == "pool" else EXACT_MOST
    for number, one in enumerate(work):
        first, until = int(one.asked_at // slot_ms), int(one.deadline // slot_ms)
        takes = max(1, int(one.length // slot_ms))  # rounded down: errs to the high side
        for group in range(len(groups)):
            for start in range(first, min(until, slots - 1) + 1):
                over = np.arange(start, min(slots, start + takes))
                if not capacity[group, over, 0].all():
                    continue  # its machine is down then
                variable = len(worth)
                worth.append(one.worth_in if start * slot_ms <= one.aim_until else one.worth_late)
                once.append(number)
                base = len(work) + (group * slots + over) * 2
                rows.extend((*base, *(base + 1)))
                columns.extend([variable] * (2 * len(over)))
                values.extend([one.cores] * len(over) + [one.memory] * len(over))
        if len(worth) > most:
            raise BoundError(
                f"{len(worth)} variables and more, at most {most}: take longer slots or a shorter day"
            )
    if not worth:
        return Bound(0.0, 0.0, slots, 0)
    rows.extend(once)
    columns.extend(range(len(worth)))
    values.extend([1.0] * len(worth))
    matrix = csr_matrix((values, (rows, columns)), shape=(len(work) + len(groups) * slots * 2, len(worth)))
    limits = np.concatenate([np.ones(len(work)), capacity.reshape(-1)])
    solved = milp(
        -np.array(worth),
        integrality=np.full(len(worth), 1 if how == "exact" else 0),
        bounds=Bounds(0, 1),
        constraints=LinearConstraint(matrix, -math.inf, limits),
        options={"time_limit": 300.0},
    )
    if solved.x is None:
        raise BoundError(f"the optimiser found nothing: {solved.message}")
    # Where time ran out, the bound that was proved holds, not the best that was found.
    proved = solved.mip_dual_bound if how == "exact" and solved.mip_dual_bound is not None else solved.fun
    return Bound(-float(proved), float(solved.x.sum()), slots, len(worth))
