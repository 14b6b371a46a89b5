"""What a recorded day comes to, in one figure a measure, and second by second. No I/O, no clock."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from kelpfront.config import Config
from kelpfront.lab.recording import Line

# Name: what it says, its unit, and whether more is better (None: neither).
MEASURES: dict[str, tuple[str, str, bool | None]] = {
    "worth": ("worth served, by the settings", "points", True),
    "placed": ("tasks placed, of those asked for", "share", True),
    "in_aim": ("tasks placed within their aim, of those asked for", "share", True),
    "refused": ("tasks refused or turned away", "share", False),
    "failed": ("tasks failed", "share", False),
    "lost": ("placed tasks whose machine lost or sent them away", "share", False),
    "answer_p50_ms": ("time to the answer, median", "ms", False),
    "answer_p99_ms": ("time to the answer, 99th percentile", "ms", False),
    "offers_a_task": ("offers made for a task that was taken", "offers", False),
    "uneven": ("spread of machines' load: standard deviation over mean", "", None),
    "violations": ("rules broken", "times", False),
}


@dataclass(frozen=True, slots=True)
class Sample:
    """What an observer saw at one second: machine's cores asked for over its own, placers' levels."""

    second: float
    load: dict[str, float]  # machines that are up
    levels: dict[str, str]  # placers that are up
    open_tasks: dict[str, int]


@dataclass(slots=True)
class _Task:
    cls: str
    asked_at: float
    answer: str = ""
    answered_at: float = 0.0
    started_at: float | None = None
    served_ms: float = 0.0


def percentile(values: Sequence[float], share: float) -> float:
    """By rank: the least value that at least this share is at or under; 0 of none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def measure(
    lines: Sequence[Line], config: Config, samples: Sequence[Sample], violations: int
) -> dict[str, float]:
    """All of MEASURES."""
    tasks, rejected, lost = _tasks(lines)
    asked = len(tasks) + rejected
    answers = Counter(task.answer for task in tasks.values())
    waits = [task.answered_at - task.asked_at for task in tasks.values() if task.answer]
    worth, in_aim = 0.0, 0
    for task in tasks.values():
        if task.answer != "Placed":
            continue
        cls = config.classes[task.cls]
        timely = task.answered_at - task.asked_at <= cls.aim
        in_aim += timely
        start_s = cls.start_worth / 1000.0 * (1.0 if timely else cls.late_worth)
        worth += cls.worth * (task.served_ms / 1000.0 + start_s)
    loads = [value for sample in samples for value in _spread(sample)]
    offers = sum(1 for line in lines if line["ev"] == "offer")

    def share(count: float) -> float:
        return count / asked if asked else 0.0

    return {
        "worth": round(worth, 3),
        "placed": share(answers["Placed"]),
        "in_aim": share(in_aim),
        "refused": share(answers["Refused"] + rejected),
        "failed": share(answers["Failed"]),
        "lost": lost / answers["Placed"] if answers["Placed"] else 0.0,
        "answer_p50_ms": percentile(waits, 0.5),
        "answer_p99_ms": percentile(waits, 0.99),
        "offers_a_task": offers / len(tasks) if tasks else 0.0,
        "uneven": sum(loads) / len(loads) if loads else 0.0,
        "violations": float(violations),
    }


def _spread(sample: Sample) -> list[float]:
    values = list(sample.load.values())
    mean = sum(values) / len(values) if values else 0.0
    if mean < 0.02:  # next to nothing runs: its spread says nothing
        return []
    return [math.sqrt(sum((value - mean) ** 2 for value in values) / len(values)) / mean]


def _tasks(lines: Sequence[Line]) -> tuple[dict[str, _Task], int, int]:
    """Tasks that were taken, how many jobs were turned away, and how many placed tasks were lost."""
    tasks: dict[str, _Task] = {}
    running: dict[str, dict[str, None]] = defaultdict(dict)
    starts: dict[str, float] = {}
    rejected = lost = 0
    last = lines[-1]["t"] if lines else 0.0
    served: defaultdict[str, float] = defaultdict(float)
    for line in lines:
        match line["ev"]:
            case "taken":
                for uid in line["tasks"]:
                    tasks[uid] = _Task(line["cls"], line["t0"])
            case "rejected":
                rejected += 1
            case "answer-seen":
                task = tasks.get(line["task"])
                if task is not None and not task.answer:
                    task.answer, task.answered_at = line["answer"], line["t"]
            case "start":
                starts[line["task"]] = line["t"]
                running[line["machine"]][line["task"]] = None
            case "end":
                if line["task"] in starts:
                    served[line["task"]] += line["t"] - starts.pop(line["task"])
                running[line["machine"]].pop(line["task"], None)
                lost += line["cause"] in ("evicted", "pushed-out", "sent-away")
            case "down":
                for uid in running.pop(line["machine"], {}):
                    if uid in starts:
                        served[uid] += line["t"] - starts.pop(uid)
                        lost += line["why"] != "closed"
    for uid, at in starts.items():
        served[uid] += last - at
    for uid, ms in served.items():
        if uid in tasks:
            tasks[uid].served_ms = float(ms)
    return tasks, rejected, lost


def series(
    lines: Sequence[Line], samples: Sequence[Sample], violations: Sequence[tuple[float, str]]
) -> dict[str, Any]:
    """Second by second, for plots. Times are seconds from the first line; violations are (ms, rule)."""
    began = lines[0]["t"] if lines else 0.0
    seconds = int((lines[-1]["t"] - began) / 1000.0) + 1 if lines else 0

    def at(t: float) -> int:
        return min(seconds - 1, max(0, int((t - began) / 1000.0)))

    counts = {name: [0] * seconds for name in ("Placed", "Refused", "Failed", "Rejected")}
    reasons: dict[str, list[int]] = defaultdict(lambda: [0] * seconds)
    waits: list[list[float]] = [[] for _ in range(seconds)]
    asked: dict[str, float] = {}
    faults = []
    for line in lines:
        match line["ev"]:
            case "taken":
                asked.update(dict.fromkeys(line["tasks"], line["t0"]))
            case "rejected":
                counts["Rejected"][at(line["t"])] += 1
                reasons[f"HTTP {line['code']}"][at(line["t"])] += 1
            case "answer-seen":
                counts[line["answer"]][at(line["t"])] += 1
                if line["answer"] != "Placed":
                    reasons[line.get("reason") or "untold"][at(line["t"])] += 1
                if line["task"] in asked:
                    waits[at(line["t"])].append(line["t"] - asked[line["task"]])
            case "fault":
                faults.append(
                    [(line["t"] - began) / 1000.0, line["for_s"], f"{line['kind']} {line['cls']}".strip()]
                )
            case "placer-killed" | "placer-stalled":
                faults.append([(line["t"] - began) / 1000.0, line.get("for_ms", 1000.0) / 1000.0, line["ev"]])
    machines = sorted({name for sample in samples for name in sample.load})
    placers = sorted({name for sample in samples for name in sample.levels})
    return {
        "seconds": seconds,
        "counts": counts,
        "reasons": dict(sorted(reasons.items())),
        "wait_p50": [percentile(values, 0.5) if values else None for values in waits],
        "wait_p99": [percentile(values, 0.99) if values else None for values in waits],
        "machines": machines,
        "load": [[sample.load.get(name) for name in machines] for sample in samples],
        "load_at": [round(sample.second, 3) for sample in samples],
        "placers": placers,
        "levels": [[sample.levels.get(name) for name in placers] for sample in samples],
        "open": [sum(sample.open_tasks.values()) for sample in samples],
        "faults": faults,
        "violations": [[(t - began) / 1000.0, rule] for t, rule in violations],
    }
