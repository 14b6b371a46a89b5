"""Computes each task's use of cores and memory from samples of processes. Pure: no I/O.

A process has two monotonic CPU time counters: its own time, and that of the children that it has reaped. The
CPU time of a task is the sum of both over its running processes, plus the time of the children that its
supervisor has reaped. So each ended process is counted exactly once, in the counter of the process that
reaped it. `usage_sampler` takes the samples.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

MAX_SAMPLING_SHARE = 0.02  # of the agent's time, also if a shorter period is set: saves the host for tasks


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """A sample of one process: its own CPU seconds, those of reaped children, and bytes of memory."""

    pid: int
    parent_pid: int
    cpu_s: float
    waited_cpu_s: float
    memory_bytes: float


@dataclass(frozen=True, slots=True)
class TaskSample:
    """The sum over all processes of one task: CPU seconds, bytes of memory, and the number of processes."""

    cpu_s: float
    memory_bytes: float
    processes: int


@dataclass(frozen=True, slots=True)
class TaskUsage:
    """Smoothed cores and bytes of memory in use, and total CPU seconds; `at` is in milliseconds."""

    cores: float
    memory_bytes: float
    cpu_s: float
    at: float


def sum_by_task(samples: Iterable[ProcessSample], supervisors: Mapping[str, int]) -> dict[str, TaskSample]:
    """Return for each task the sum over all descendants of its supervisor, without the supervisor itself.

    `supervisors` maps tasks to pids. A task whose supervisor is not among the samples is omitted.
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
    """Computes the smoothed use of one task from its samples, by exponential smoothing."""

    def __init__(self, time_constant_ms: float) -> None:
        self._time_constant_ms = time_constant_ms
        self._last: TaskUsage | None = None

    @property
    def last(self) -> TaskUsage | None:
        """The use after the last sample, or None before the first."""
        return self._last

    def add(self, now: float, sample: TaskSample) -> TaskUsage:
        """Return the use after a sample; `now` is in milliseconds.

        The sampled CPU time may decrease when a process has ended and was not reaped yet; the total CPU time
        and the cores never count a negative difference.
        """
        previous = self._last
        if previous is None:
            usage = TaskUsage(0.0, sample.memory_bytes, sample.cpu_s, now)
        elif now <= previous.at:  # the clock did not advance, or stepped back: no rate can be computed
            usage = TaskUsage(
                previous.cores, previous.memory_bytes, max(previous.cpu_s, sample.cpu_s), previous.at
            )
        else:
            usage = self._smooth(previous, now, sample)
        self._last = usage
        return usage

    def _smooth(self, previous: TaskUsage, now: float, sample: TaskSample) -> TaskUsage:
        elapsed_ms = now - previous.at
        cpu_s = max(previous.cpu_s, sample.cpu_s)
        cores = (cpu_s - previous.cpu_s) * 1000.0 / elapsed_ms
        weight = 1.0 if self._time_constant_ms <= 0 else -math.expm1(-elapsed_ms / self._time_constant_ms)
        return TaskUsage(
            previous.cores + weight * (cores - previous.cores),
            previous.memory_bytes + weight * (sample.memory_bytes - previous.memory_bytes),
            cpu_s,
            now,
        )


def next_period_ms(configured_period_ms: float, sampling_ms: float) -> float:
    """Return the time until the next sample, where `sampling_ms` is how long the last sample took.

    It is longer than the configured period if sampling would exceed `MAX_SAMPLING_SHARE`.
    """
    return max(configured_period_ms, sampling_ms / MAX_SAMPLING_SHARE)
