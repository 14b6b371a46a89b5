"""Periodically samples the resource use of tasks, and reports it to the node and to the tasks' placers.

`usage_sampler` takes the samples, in a thread; `usage` computes the use of each task from them.
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
        memory_unit_bytes: the size of the deployment's unit of memory, in which use is reported.
        period_ms: the time between two samples; it is extended if sampling takes too long.
        smoothing_ms: the time constant of the smoothing.
        counts_other_programs: whether resources used by other programs count as in use.
    """

    memory_unit_bytes: int
    period_ms: float
    smoothing_ms: float
    counts_other_programs: bool


class SamplingFigures(msgspec.Struct, frozen=True, rename="camel"):
    """The cost of sampling: the number of samples, the last and total duration, and the current period."""

    samples: int
    last_ms: float
    spent_ms: float
    period_ms: float


class UsageMonitor:
    """Monitors the use of one agent's tasks. `on_change` is called after the node was notified."""

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
        """Sample until cancelled; cancellation at any await leaves a consistent state."""
        while True:
            try:
                await self.sample()
            except Exception:  # a failed sample must not end the monitoring
                self._last_ms = 0.0
                log.exception("usage sampling failed")
            await asyncio.sleep(self._next_period_ms() / 1000.0)

    def _next_period_ms(self) -> float:
        return next_period_ms(self._settings.period_ms, self._last_ms)

    async def sample(self) -> None:
        """Sample all tasks once, and report what they use."""
        supervisors = {
            run.task: run.supervisor.pid for run in self._runs if run.supervisor is not None and not run.ended
        }
        roots = frozenset(supervisors.values())
        sampled = await asyncio.to_thread(self._sampler.sample_processes, roots)
        now = self._now()
        self._last_ms = sampled.duration_ms
        self._samples += 1
        self._spent_ms += sampled.duration_ms
        usage_by_task = self._smooth(now, sum_by_task(sampled.samples, supervisors))
        self._discard_ended()
        if self._settings.counts_other_programs:
            self._record_other_programs(usage_by_task)
        self._node.record_usage(now, usage_by_task)
        for task, usage in usage_by_task.items():
            self._report(task, usage)
        self._on_change()

    def _smooth(self, now: float, samples: Mapping[str, TaskSample]) -> dict[str, ResourceUsage]:
        """Return the use of the running tasks, in the deployment's units."""
        usage_by_task: dict[str, ResourceUsage] = {}
        for task, sample in samples.items():
            active = self._node.tasks.get(task)
            if active is None or active.phase is not Phase.RUNNING:
                continue
            smoother = self._smoothers.setdefault(task, UsageSmoother(self._settings.smoothing_ms))
            usage = smoother.add(now, sample)
            usage_by_task[task] = ResourceUsage(
                usage.cores, usage.memory_bytes / self._settings.memory_unit_bytes
            )
        return usage_by_task

    def _discard_ended(self) -> None:
        for task in self._smoothers.keys() - self._node.tasks.keys():
            del self._smoothers[task]
            self._reported.pop(task, None)

    def _record_other_programs(self, usage_by_task: Mapping[str, ResourceUsage]) -> None:
        """Count the use of the host that is not by tasks as use by other programs."""
        cores = sum(usage.cores for usage in usage_by_task.values())
        memory = sum(usage.memory for usage in usage_by_task.values())
        host = self._sampler.sample_host()
        previous = self._last_host
        self._last_host = host
        other_programs = self._node.other_programs
        if previous is not None and host.at_s > previous.at_s:
            busy_cores = (host.busy_s - previous.busy_s) / (host.at_s - previous.at_s)
            other_programs.cores = max(0.0, busy_cores - cores)
        other_programs.memory = max(0.0, host.memory_bytes / self._settings.memory_unit_bytes - memory)

    def _report(self, task: str, usage: ResourceUsage) -> None:
        """Report a task's use to its placer if it has changed significantly."""
        if not is_significant_change(usage, self._reported.get(task)):
            return
        self._reported[task] = usage
        attempt = self._node.tasks[task].offer.attempt
        self._node.report_status(Note(task, attempt, "cores", round(usage.cores, 4)))
        self._node.report_status(Note(task, attempt, "memory", round(usage.memory, 4)))

    def usage_of(self, task: str) -> TaskUsage | None:
        """Return the current use of a task, or None if it was not sampled."""
        smoother = self._smoothers.get(task)
        return None if smoother is None else smoother.last

    def figures(self) -> SamplingFigures:
        """Return the cost of sampling."""
        return SamplingFigures(
            self._samples, round(self._last_ms, 2), round(self._spent_ms, 1), round(self._next_period_ms(), 1)
        )
