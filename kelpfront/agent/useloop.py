"""Looks at what tasks use, now and then, and tells the node and the tasks' placers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import structlog

from kelpfront.agent.runtime import Runtime
from kelpfront.agent.sampler import HostSample, Sampler
from kelpfront.agent.server import AgentServer
from kelpfront.agent.usage import Smoothing, Use, next_period_ms, trees
from kelpfront.config.agent import AgentConfig
from kelpfront.machine.messages import Note
from kelpfront.machine.model import Phase, ResourceUsage
from kelpfront.machine.node import Node
from kelpfront.machine.usage_reporting import is_significant_change

log = structlog.get_logger("kelpfront.agent")


class UseLoop:
    """Of one agent. Figures are in cores and in the deployment's unit of memory where they leave it."""

    def __init__(
        self,
        node: Node,
        runtime: Runtime,
        server: AgentServer,
        config: AgentConfig,
        sampler: Sampler,
        now: Callable[[], float],
    ) -> None:
        self._node, self._runtime, self._server, self._sampler = node, runtime, server, sampler
        self._now = now
        self._unit = config.host.memory_unit
        self._period_ms = config.tasks.use_period
        self._over_ms = config.tasks.use_smoothing
        self._counts_others = config.host.counts_others
        self._smoothing: dict[str, Smoothing] = {}
        self._told: dict[str, ResourceUsage] = {}
        self._host: HostSample | None = None
        self._took_ms, self._samples, self._spent_ms = 0.0, 0, 0.0

    async def run(self) -> None:
        while True:
            try:
                await self.look()
            except Exception as error:  # a look that fails is not worth the agent
                self._took_ms = 0.0
                log.error("use not sampled", exc_info=error)
            await asyncio.sleep(next_period_ms(self._period_ms, self._took_ms) / 1000.0)

    async def look(self) -> None:
        """One sample of all tasks."""
        roots = {
            task: run.supervisor.pid
            for task, run in self._runtime.runs.items()
            if run.supervisor is not None and not run.over
        }
        samples, took_ms = await asyncio.to_thread(self._sampler.processes, frozenset(roots.values()))
        now = self._now()
        self._took_ms, self._samples = took_ms, self._samples + 1
        self._spent_ms += took_ms
        used: dict[str, ResourceUsage] = {}
        cpu_s = 0.0
        for task, tree in trees(samples, roots).items():
            held = self._node.tasks.get(task)
            if held is None or held.phase is not Phase.RUNNING:
                continue
            use = self._smoothing.setdefault(task, Smoothing(self._over_ms)).take(now, tree)
            used[task] = ResourceUsage(use.cores, use.memory / self._unit)
            cpu_s += use.cores
        for gone in self._smoothing.keys() - self._node.tasks.keys():
            del self._smoothing[gone]
            self._told.pop(gone, None)
        if self._counts_others:
            self._take_host(cpu_s, sum(memory for _, memory in used.values()))
        self._node.record_usage(now, used)
        for task, usage in used.items():
            self._tell(task, usage)
        self._server.changed()

    def _take_host(self, cores: float, memory: float) -> None:
        """What is in use and not by tasks is others'."""
        host, before = self._sampler.host(), self._host
        self._host = host
        if before is not None and host.at_s > before.at_s:
            busy = (host.busy_s - before.busy_s) / (host.at_s - before.at_s)
            self._node.other_programs.cores = max(0.0, busy - cores)
        self._node.other_programs.memory = max(0.0, host.memory / self._unit - memory)

    def _tell(self, task: str, usage: ResourceUsage) -> None:
        held, before = self._node.tasks[task], self._told.get(task)
        if not is_significant_change(usage, before):
            return
        self._told[task] = usage
        self._node.report_status(Note(task, held.offer.attempt, "cores", round(usage.cores, 4)))
        self._node.report_status(Note(task, held.offer.attempt, "memory", round(usage.memory, 4)))

    def of(self, task: str) -> Use | None:
        smoothing = self._smoothing.get(task)
        return None if smoothing is None else smoothing.last

    def figures(self) -> dict[str, Any]:
        """What the looking costs."""
        return {
            "samples": self._samples,
            "lastMs": round(self._took_ms, 2),
            "spentMs": round(self._spent_ms, 1),
            "periodMs": round(next_period_ms(self._period_ms, self._took_ms), 1),
        }
