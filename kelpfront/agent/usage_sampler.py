"""Samples this host's processes and the host itself, by psutil.

What the samples mean is left to `usage` and `usage_monitor`.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Mapping
from dataclasses import dataclass

import psutil

from kelpfront.agent.usage import ProcessSample

CPU_TIMES_WITHOUT_GUESTS = 8  # Linux counts the later fields, guests' times, in the earlier ones too, proc(5)


@dataclass(frozen=True, slots=True)
class HostSample:
    """CPU seconds in which the host's cores were busy, bytes not available, and the sample's time."""

    busy_s: float
    memory_bytes: float
    at_s: float


@dataclass(frozen=True, slots=True)
class HostSize:
    """Cores and bytes of memory of a host."""

    cores: int
    memory_bytes: int


@dataclass(frozen=True, slots=True)
class ProcessSamples:
    """Samples of processes, and the milliseconds that it took to make them."""

    samples: list[ProcessSample]
    duration_ms: float


class UsageSampler:
    """Samples processes below given ones. Used from one thread at a time, which need not be the loop's."""

    def __init__(self) -> None:
        self._processes: dict[int, psutil.Process] = {}

    def sample_processes(self, roots: frozenset[int]) -> ProcessSamples:
        """Sample the processes `roots` and all below them.

        The parents of all the host's processes are read: it is the one way to find children of children.
        """
        began_s = time.perf_counter()
        parents = self._read_parents()
        children: dict[int, list[int]] = {}
        for pid, parent in parents.items():
            children.setdefault(parent, []).append(pid)
        samples = []
        to_visit = [pid for pid in roots if pid in self._processes]
        known = set(to_visit)
        while to_visit:
            pid = to_visit.pop()
            with contextlib.suppress(psutil.Error):  # it has ended meanwhile
                samples.append(self._sample(pid, parents))
            for child in children.get(pid, ()):
                if child not in known:
                    known.add(child)
                    to_visit.append(child)
        return ProcessSamples(samples, (time.perf_counter() - began_s) * 1000.0)

    def _read_parents(self) -> dict[int, int]:
        """Return the parent of each process of the host, and remember the processes for the next sample."""
        parents: dict[int, int] = {}
        processes: dict[int, psutil.Process] = {}
        for pid in psutil.pids():
            with contextlib.suppress(psutil.Error):
                process = self._processes.get(pid) or psutil.Process(pid)
                try:
                    parents[pid] = process.ppid()
                except psutil.NoSuchProcess:  # its pid was reused
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
