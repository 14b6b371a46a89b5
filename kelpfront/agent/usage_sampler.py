"""Samples the processes of this host and the host itself, with psutil.

`usage` and `usage_monitor` evaluate the samples.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Mapping
from dataclasses import dataclass

import psutil

from kelpfront.agent.usage import ProcessSample

CPU_TIMES_WITHOUT_GUESTS = 8  # fields after these are guest times, which the earlier ones include, proc(5)


@dataclass(frozen=True, slots=True)
class HostSample:
    """CPU seconds in which the host's cores were busy, bytes not available, and the time of the sample."""

    busy_s: float
    memory_bytes: float
    at_s: float


@dataclass(frozen=True, slots=True)
class HostSize:
    """The number of cores and bytes of memory of a host."""

    cores: int
    memory_bytes: int


@dataclass(frozen=True, slots=True)
class ProcessSamples:
    """Samples of processes, and how many milliseconds taking them took."""

    samples: list[ProcessSample]
    duration_ms: float


class UsageSampler:
    """Samples processes and their descendants. Use it from one thread at a time, which may be any thread."""

    def __init__(self) -> None:
        self._processes: dict[int, psutil.Process] = {}

    def sample_processes(self, roots: frozenset[int]) -> ProcessSamples:
        """Sample the processes `roots` and all of their descendants.

        This reads the parent of every process of the host, which is the only way to find all descendants.
        """
        start_s = time.perf_counter()
        parents = self._read_parents()
        children: dict[int, list[int]] = {}
        for pid, parent in parents.items():
            children.setdefault(parent, []).append(pid)
        samples = []
        to_visit = [pid for pid in roots if pid in self._processes]
        known = set(to_visit)
        while to_visit:
            pid = to_visit.pop()
            with contextlib.suppress(psutil.Error):  # the process has ended in the meantime
                samples.append(self._sample(pid, parents))
            for child in children.get(pid, ()):
                if child not in known:
                    known.add(child)
                    to_visit.append(child)
        return ProcessSamples(samples, (time.perf_counter() - start_s) * 1000.0)

    def _read_parents(self) -> dict[int, int]:
        """Return the parent of each process of the host, and cache the processes for the next sample."""
        parents: dict[int, int] = {}
        processes: dict[int, psutil.Process] = {}
        for pid in psutil.pids():
            with contextlib.suppress(psutil.Error):
                process = self._processes.get(pid) or psutil.Process(pid)
                try:
                    parents[pid] = process.ppid()
                except psutil.NoSuchProcess:  # the pid was reused by another process
                    process = psutil.Process(pid)
                    parents[pid] = process.ppid()
                processes[pid] = process
        self._processes = processes
        return parents

    def _sample(self, pid: int, parents: Mapping[int, int]) -> ProcessSample:
        process = self._processes[pid]
        with process.oneshot():
            times = process.cpu_times()
            memory = process.memory_info()
        waited_cpu_s = times.children_user + times.children_system
        return ProcessSample(pid, parents[pid], times.user + times.system, waited_cpu_s, float(memory.rss))

    @staticmethod
    def sample_host() -> HostSample:
        """Sample the host."""
        times = psutil.cpu_times()
        idle_s = times.idle + getattr(times, "iowait", 0.0)
        memory = psutil.virtual_memory()
        if len(times) >= CPU_TIMES_WITHOUT_GUESTS:
            total_s = sum(times[:CPU_TIMES_WITHOUT_GUESTS])
        else:
            total_s = sum(times)
        return HostSample(total_s - idle_s, float(memory.total - memory.available), time.monotonic())

    @staticmethod
    def host_size() -> HostSize:
        """Return the size of this host."""
        return HostSize(psutil.cpu_count() or 1, int(psutil.virtual_memory().total))
