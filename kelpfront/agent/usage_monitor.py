"""Samples what tasks use, periodically, and reports it to the node and to the tasks' placers.

Sampling is done by `usage_sampler`, in a thread; what the samples amount to is computed by `usage`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec
import structlog

from kelpfront.agent.task_run import RunTable
from kelpfront.agent.usage import TaskSample, TaskUsage, UsageSmoother, next_period_ms, sum_by_task
from kelpfront.agent.usage_sampler import HostSample, UsageSampler
from kelpfront.machine.messages import Note
from kelpfront.machine.model import Phase, ResourceUsage
from kelpfront.machine.node import Node
from kelpfront.machine.usage_reporting import is_significant_change

log = structlog.get_logger("kelpfront.agent")


@dataclass(frozen=True, slots=True)
class UsageSettings:
    """How use is sampled.

    Attributes:
        memory_unit_bytes: the deployment's unit of memory, in which it is reported.
        period_ms: between two samples, unless sampling costs too much.
        smoothing_ms: the time constant of the smoothing.
        counts_other_programs: whether what other programs use counts as in use.
    """

    memory_unit_bytes: int
    period_ms: float
    smoothing_ms: float
    counts_other_programs: bool


class SamplingFigures(msgspec.Struct, frozen=True, rename="camel"):
    """What the sampling costs: the number of samples, and milliseconds."""

    samples: int
    last_ms: float
    spent_ms: float
    period_ms: float


class UsageMonitor:
    """Of one agent. `on_change` is called after the node was told something."""

    def __init__(
        self,
        node: Node,
        runs: RunTable,
        settings: UsageSettings,
        now: Callable[[], float],
        on_change: Callable[[], None],
    ) -> None:
        self._node = node
        self._runs = runs
        self._settings = settings
        self._now = now
        self._on_change = on_change
        self._sampler = UsageSampler()
        self._smoothers: dict[str, UsageSmoother] = {}
        self._reported: dict[str, ResourceUsage] = {}
        self._last_host: HostSample | None = None
        self._last_ms = 0.0
        self._samples = 0
        self._spent_ms = 0.0

    async def run(self) -> None:
        """Sample until cancelled, which may be at any wait: nothing is left half changed."""
        while True:
            try:
                await self.sample()
            except Exception:  # a sample that fails is no reason to end the agent
                self._last_ms = 0.0
                log.exception("usage sampling failed")
            await asyncio.sleep(self._next_period_ms() / 1000.0)

    def _next_period_ms(self) -> float:
        return next_period_ms(self._settings.period_ms, self._last_ms)

    async def sample(self) -> None:
        """Sample all tasks once, and report what they use."""
        supervisors = {
            run.task: run.supervisor.pid for run in self._runs if run.supervisor is not None and not run.over
        }
        roots = frozenset(supervisors.values())
        sampled = await asyncio.to_thread(self._sampler.sample_processes, roots)
        now = self._now()
        self._last_ms = sampled.duration_ms
        self._samples += 1
        self._spent_ms += sampled.duration_ms
        used = self._smooth(now, sum_by_task(sampled.samples, supervisors))
        self._forget_ended()
        if self._settings.counts_other_programs:
            self._record_other_programs(used)
        self._node.record_usage(now, used)
        for task, usage in used.items():
            self._report(task, usage)
        self._on_change()

    def _smooth(self, now: float, samples: Mapping[str, TaskSample]) -> dict[str, ResourceUsage]:
        """Return the use of the running tasks, in the deployment's units."""
        used: dict[str, ResourceUsage] = {}
        for task, sample in samples.items():
            active = self._node.tasks.get(task)
            if active is None or active.phase is not Phase.RUNNING:
                continue
            smoother = self._smoothers.setdefault(task, UsageSmoother(self._settings.smoothing_ms))
            usage = smoother.add(now, sample)
            used[task] = ResourceUsage(usage.cores, usage.memory_bytes / self._settings.memory_unit_bytes)
        return used

    def _forget_ended(self) -> None:
        for task in self._smoothers.keys() - self._node.tasks.keys():
            del self._smoothers[task]
            self._reported.pop(task, None)

    def _record_other_programs(self, used: Mapping[str, ResourceUsage]) -> None:
        """Count what is in use on the host, and not by tasks, as other programs'."""
        cores = sum(usage.cores for usage in used.values())
        memory = sum(usage.memory for usage in used.values())
        host = self._sampler.sample_host()
        before = self._last_host
        self._last_host = host
        others = self._node.other_programs
        if before is not None and host.at_s > before.at_s:
            busy_cores = (host.busy_s - before.busy_s) / (host.at_s - before.at_s)
            others.cores = max(0.0, busy_cores - cores)
        others.memory = max(0.0, host.memory_bytes / self._settings.memory_unit_bytes - memory)

    def _report(self, task: str, usage: ResourceUsage) -> None:
        """Report a task's use to its placer where it has changed enough."""
        if not is_significant_change(usage, self._reported.get(task)):
            return
        self._reported[task] = usage
        attempt = self._node.tasks[task].offer.attempt
        self._node.report_status(Note(task, attempt, "cores", round(usage.cores, 4)))
        self._node.report_status(Note(task, attempt, "memory", round(usage.memory, 4)))

    def usage_of(self, task: str) -> TaskUsage | None:
        """Return what a task uses; None where it was not sampled."""
        smoother = self._smoothers.get(task)
        return None if smoother is None else smoother.last

    def figures(self) -> SamplingFigures:
        """Return what the sampling costs."""
        return SamplingFigures(
            self._samples, round(self._last_ms, 2), round(self._spent_ms, 1), round(self._next_period_ms(), 1)
        )
