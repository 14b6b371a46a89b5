"""Samples of this host's processes and of the host itself, by psutil."""

from __future__ import annotations

import contextlib
import time
from dataclasses import dataclass

import psutil

from kelpfront.agent.usage import ProcessSample


@dataclass(frozen=True, slots=True)
class HostSample:
    """`busy_s`: CPU seconds that all of the host's cores were not idle; `memory`: bytes not available."""

    busy_s: float
    memory: float
    at_s: float


class Sampler:
    """Looks at processes below some roots. Used from one thread at a time, which need not be the loop's."""

    def __init__(self) -> None:
        self._known: dict[int, psutil.Process] = {}

    def processes(self, roots: frozenset[int]) -> tuple[list[ProcessSample], float]:
        """Samples of the roots and all below them, and the milliseconds that it took.

        Parents are read of all the host's processes: it is the one way to see children of children.
        """
        began = time.perf_counter()
        parents: dict[int, int] = {}
        seen: dict[int, psutil.Process] = {}
        for pid in psutil.pids():
            process = self._known.get(pid)
            try:
                if process is None:
                    process = psutil.Process(pid)
                try:
                    parents[pid] = process.ppid()
                except psutil.NoSuchProcess:  # its pid was given out again
                    process = psutil.Process(pid)
                    parents[pid] = process.ppid()
            except psutil.Error:
                continue
            seen[pid] = process
        self._known = seen
        children: dict[int, list[int]] = {}
        for pid, parent in parents.items():
            children.setdefault(parent, []).append(pid)
        samples = []
        todo = [pid for pid in roots if pid in seen]
        wanted = set(todo)
        while todo:
            pid = todo.pop()
            with contextlib.suppress(psutil.Error):
                process = seen[pid]
                with process.oneshot():
                    times, memory = process.cpu_times(), process.memory_info()
                waited = times.children_user + times.children_system
                samples.append(
                    ProcessSample(pid, parents[pid], times.user + times.system, waited, float(memory.rss))
                )
            for child in children.get(pid, ()):
                if child not in wanted:
                    wanted.add(child)
                    todo.append(child)
        return samples, (time.perf_counter() - began) * 1000.0

    @staticmethod
    def host() -> HostSample:
        times = psutil.cpu_times()
        idle = times.idle + getattr(times, "iowait", 0.0)
        memory = psutil.virtual_memory()
        busy = sum(times[:8]) - idle if len(times) >= 8 else sum(times) - idle
        return HostSample(busy, float(memory.total - memory.available), time.monotonic())

    @staticmethod
    def size() -> tuple[int, int]:
        """Cores and bytes of memory of this host."""
        return psutil.cpu_count() or 1, int(psutil.virtual_memory().total)
