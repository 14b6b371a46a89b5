"""Use of cores and memory by task, from samples of processes. Pure.

CPU time is a counter that only grows: a process's own, and what it has waited for of its children. Summed
over the living processes of a task and what its supervisor has waited for, each process that came and went is
counted once, in whoever waited for it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

SAMPLING_SHARE = 0.02  # of the time that sampling may take at the most, whatever the period that is set


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """One process: CPU seconds of its own and of children that it waited for, and bytes of memory."""

    pid: int
    parent: int
    cpu_s: float
    waited_s: float
    memory: float


@dataclass(frozen=True, slots=True)
class TreeSample:
    cpu_s: float
    memory: float
    processes: int


@dataclass(frozen=True, slots=True)
class Use:
    """Cores and memory (bytes) in use now, smoothed, and CPU seconds in all."""

    cores: float
    memory: float
    cpu_s: float
    at: float  # milliseconds


def trees(samples: Iterable[ProcessSample], roots: Mapping[str, int]) -> dict[str, TreeSample]:
    """By task: the sum over all below its supervisor, whose own use is not the task's.

    `roots` are the supervisors' pids. A task whose supervisor is not among the samples is left out.
    """
    by_pid = {sample.pid: sample for sample in samples}
    children: dict[int, list[int]] = {}
    for sample in by_pid.values():
        children.setdefault(sample.parent, []).append(sample.pid)
    found = {}
    for task, root in roots.items():
        if root not in by_pid:
            continue
        cpu_s, memory, count = by_pid[root].waited_s, 0.0, 0
        todo = list(children.get(root, ()))
        seen = {root}
        while todo:
            pid = todo.pop()
            if pid in seen:
                continue
            seen.add(pid)
            sample = by_pid[pid]
            cpu_s += sample.cpu_s + sample.waited_s
            memory += sample.memory
            count += 1
            todo += children.get(pid, ())
        found[task] = TreeSample(cpu_s, memory, count)
    return found


class Smoothing:
    """Turns samples of one task into its use; a time constant of `over_ms` for both cores and memory."""

    def __init__(self, over_ms: float) -> None:
        self._over_ms = over_ms
        self._last: Use | None = None

    @property
    def last(self) -> Use | None:
        return self._last

    def take(self, now: float, sample: TreeSample) -> Use:
        """The use after a sample.

        CPU time that seems to go back is a process that ended between two looks and was not waited for yet;
        nothing is taken back for it.
        """
        before = self._last
        if before is None or now <= before.at:
            use = Use(0.0, sample.memory, sample.cpu_s, now)
            if before is not None:
                use = Use(before.cores, before.memory, max(before.cpu_s, sample.cpu_s), before.at)
        else:
            passed = now - before.at
            cpu_s = max(before.cpu_s, sample.cpu_s)
            cores = (cpu_s - before.cpu_s) * 1000.0 / passed
            weight = 1.0 if self._over_ms <= 0 else -math.expm1(-passed / self._over_ms)
            use = Use(
                before.cores + weight * (cores - before.cores),
                before.memory + weight * (sample.memory - before.memory),
                cpu_s,
                now,
            )
        self._last = use
        return use


def next_period_ms(set_ms: float, took_ms: float) -> float:
    """How long to wait until the next sample: longer than set where sampling would take too large a share."""
    return max(set_ms, took_ms / SAMPLING_SHARE)
