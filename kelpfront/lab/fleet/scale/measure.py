"""What processes cost by /proc, and what a window of traffic comes to per placer."""

from __future__ import annotations

import os
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from kelpfront.lab.fleet.scale.traffic import IN, OUT, Counts, sums

TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
PEERS = ("owners", "workers", "list")
Figures = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Sample:
    """One look at a process: seconds of processor time since its start, MB (10^6 bytes), open files."""

    cpu_s: float
    rss_mb: float
    private_mb: float
    descriptors: int


def sample(pid: int) -> Sample:
    """OSError where the process has ended."""
    rolled = {}
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, size, _ = line.split()
        rolled[name.rstrip(":")] = int(size) * 1024 / 1e6
    return Sample(
        cpu_s(pid),
        round(rolled["Rss"], 1),
        round(rolled["Private_Clean"] + rolled["Private_Dirty"], 1),
        len(os.listdir(f"/proc/{pid}/fd")),
    )


def cpu_s(pid: int) -> float:
    """User and system time since the process began, in seconds."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(stat[11]) + int(stat[12])) * TICK_S


def of_placer(seen: dict[str, Counts], placer: int, seconds: float) -> Figures:
    """Bytes and messages a second of one placer; `seen` by the stand-ins, so their out is its in."""
    figures: Figures = {}
    ops: dict[str, Any] = {}
    size = messages = 0
    for peer in PEERS:
        counts = seen[peer].get(str(placer), {})
        for way, of_placer_way in ((OUT, IN), (IN, OUT)):
            its_messages, its_bytes = sums(counts, way)
            figures[f"{peer}_{of_placer_way}_s"] = round(its_bytes / seconds, 1)
            messages += its_messages
            size += its_bytes
        for name, (count, its_bytes) in counts.items():
            way, _, op = name.partition(" ")
            ops[f"{peer} {IN if way == OUT else OUT} {op}"] = {
                "messages_s": round(count / seconds, 2),
                "bytes_s": round(its_bytes / seconds, 1),
            }
    figures["bytes_s"] = round(size / seconds, 1)
    figures["messages_s"] = round(messages / seconds, 2)
    figures["ops"] = ops
    return figures


def of_workers(seen: Counts, tests: int, after: Sequence[dict[str, Any]], machines: int, s: float) -> Figures:
    """What all workers together hear and say."""
    heard = [sums(counts, IN) for counts in seen.values()]
    said = [sums(counts, OUT) for counts in seen.values()]
    connections = sum(one["connections"] for one in after)
    return {
        "tests_s": round(tests / s, 2),
        "tests_a_worker_s": round(tests / s / machines, 4),
        "messages_in_s": round(sum(count for count, _ in heard) / s, 2),
        "messages_out_s": round(sum(count for count, _ in said) / s, 2),
        "bytes_in_s": round(sum(size for _, size in heard) / s, 1),
        "bytes_out_s": round(sum(size for _, size in said) / s, 1),
        "connections": connections,
        "connections_a_worker": round(connections / machines, 2),
        "connections_most": max(one["connections_most"] for one in after),
    }


def of_list(seen: Counts, connections: int, relay: int, seconds: float) -> Figures:
    """What one region's list is asked by placers, and what goes over the link to other lists."""
    mine = [counts for placer, counts in seen.items() if int(placer) < relay]
    others = [counts for placer, counts in seen.items() if int(placer) >= relay]
    return {
        "asks_s": round(sum(sums(counts, IN)[0] for counts in mine) / seconds, 2),
        "bytes_in_s": round(sum(sums(counts, IN)[1] for counts in mine) / seconds, 1),
        "bytes_out_s": round(sum(sums(counts, OUT)[1] for counts in mine) / seconds, 1),
        "connections": connections,
        "link_bytes_s": round(sum(sums(c, IN)[1] + sums(c, OUT)[1] for c in others) / seconds, 1),
    }


def mean_of(figures: Sequence[Figures]) -> Figures:
    """The mean of every figure that is a number, `ops` each by itself."""
    if not figures:
        return {}
    numbers = [name for name, value in figures[0].items() if isinstance(value, int | float)]
    mean: Figures = {
        name: round(statistics.fmean(one[name] for one in figures if name in one), 5) for name in numbers
    }
    names = sorted({op for one in figures for op in one["ops"]})
    mean["ops"] = {
        op: {
            unit: round(sum(one["ops"].get(op, {}).get(unit, 0.0) for one in figures) / len(figures), 2)
            for unit in ("messages_s", "bytes_s")
        }
        for op in names
    }
    return mean


def spread(values: Iterable[float], digits: int = 3) -> dict[str, float | None]:
    """The middle, one in a hundred, and the most; None where there is nothing."""
    ordered = sorted(values)
    if not ordered:
        return {"p50": None, "p99": None, "most": None}
    at = [ordered[min(len(ordered) - 1, int(share * len(ordered)))] for share in (0.5, 0.99)]
    return {"p50": round(at[0], digits), "p99": round(at[1], digits), "most": round(ordered[-1], digits)}
