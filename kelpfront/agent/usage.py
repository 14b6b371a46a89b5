"""Computes the use of cores and memory by task from samples of processes. Pure.

CPU time is a counter that only grows: a process's own, and that of the children that it has waited for.
Summed over the running processes of a task and what its supervisor has waited for, each process that came and
went is counted once, with the process that waited for it. Sampling is left to `usage_sampler`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

MAX_SAMPLING_SHARE = 0.02  # of the agent's time, whatever period is set: the host is there for the tasks


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """One process: CPU seconds of its own and of children that it waited for, and bytes of memory."""

    pid: int
    parent_pid: int
    cpu_s: float
    waited_cpu_s: float
    memory_bytes: float


@dataclass(frozen=True, slots=True)
class TaskSample:
    """All processes of one task: CPU seconds, bytes of memory, and their number."""

    cpu_s: float
    memory_bytes: float
    processes: int


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """Smoothed cores and bytes of memory in use, and CPU seconds in total; `at` in milliseconds."""

    cores: float
    memory_bytes: float
    cpu_s: float
    at: float


def sum_by_task(samples: Iterable[ProcessSample], supervisors: Mapping[str, int]) -> dict[str, TaskSample]:
    """Return for each task the sum over all processes below its supervisor, without the supervisor's own use.

    `supervisors` are pids by task. A task whose supervisor is not among the samples is left out.
    """
    by_pid = {sample.pid: sample for sample in samples}
    children: dict[int, list[int]] = {}
    for sample in by_pid.values():
        children.setdefault(sample.parent_pid, []).append(sample.pid)
    return {
        task: _sum_below(by_pid, children, supervisor)
        for task, supervisor in supervisors.items()
        if supervisor in by_pid
    }


def _sum_below(
    by_pid: Mapping[int, ProcessSample], children: Mapping[int, list[int]], supervisor: int
) -> TaskSample:
    cpu_s = by_pid[supervisor].waited_cpu_s
    memory_bytes = 0.0
    processes = 0
    to_visit = list(children.get(supervisor, ()))
    visited = {supervisor}
    while to_visit:
        pid = to_visit.pop()
        if pid in visited:
            continue
        visited.add(pid)
        sample = by_pid[pid]
        cpu_s += sample.cpu_s + sample.waited_cpu_s
        memory_bytes += sample.memory_bytes
        processes += 1
        to_visit += children.get(pid, ())
    return TaskSample(cpu_s, memory_bytes, processes)


class UsageSmoother:
    """Turns samples of one task into its use, by exponential smoothing with a time constant of `over_ms`."""

    def __init__(self, over_ms: float) -> None:
        self._over_ms = over_ms
        self._last: TaskUsage | None = None

    @property
    def last(self) -> TaskUsage | None:
        """The use after the last sample."""
        return self._last

    def add(self, now: float, sample: TaskSample) -> TaskUsage:
        """Return the use after a sample; `now` in milliseconds.

        CPU time that seems to decrease is of a process that ended between two samples and was not waited for
        yet; nothing is subtracted for it.
        """
        before = self._last
        if before is None:
            usage = TaskUsage(0.0, sample.memory_bytes, sample.cpu_s, now)
        elif now <= before.at:  # the clock stands or stepped back: no rate can be computed
            usage = TaskUsage(before.cores, before.memory_bytes, max(before.cpu_s, sample.cpu_s), before.at)
        else:
            usage = self._smooth(before, now, sample)
        self._last = usage
        return usage

    def _smooth(self, before: TaskUsage, now: float, sample: TaskSample) -> TaskUsage:
        elapsed_ms = now - before.at
        cpu_s = max(before.cpu_s, sample.cpu_s)
        cores = (cpu_s - before.cpu_s) * 1000.0 / elapsed_ms
        weight = 1.0 if self._over_ms <= 0 else -math.expm1(-elapsed_ms / self._over_ms)
        return TaskUsage(
            before.cores + weight * (cores - before.cores),
            before.memory_bytes + weight * (sample.memory_bytes - before.memory_bytes),
            cpu_s,
            now,
        )


def next_period_ms(set_period_ms: float, sampling_ms: float) -> float:
    """Return the time until the next sample, given what the last took.

    It is longer than the period that is set where sampling would take too large a share of the time.
    """
    return max(set_period_ms, sampling_ms / MAX_SAMPLING_SHARE)
