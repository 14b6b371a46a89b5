"""The status views of an agent and its tasks, which the agent's HTTP API returns to operators."""

from __future__ import annotations

import math
import os
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from kelpfront.agent.runtime import Runtime
from kelpfront.agent.usage_monitor import SamplingFigures, UsageMonitor
from kelpfront.config.agent import AgentConfig
from kelpfront.machine.model import ActiveTask
from kelpfront.machine.server import MachineServer


class AgentView(msgspec.Struct, frozen=True, rename="camel"):
    """The view of one agent: the answer to GET /v1/agent, with the fields' names in camel case."""

    name: str
    kind: str
    rack: str
    zone: str = msgspec.field(name="room")
    pid: int
    boot: str
    state: str
    warm: float
    tasks: dict[str, int]
    load: Any
    placers: list[str]
    ready_ms: float
    found: dict[str, int]
    starts: int
    orphaned: int
    orphans_after_ms: float | None
    state_writes: int
    state_transactions: int
    sampling: SamplingFigures


class TaskView(msgspec.Struct, frozen=True, rename="camel"):
    """The view of one task that has not ended: an entry of GET /v1/tasks, with field names in camel case."""

    task: str
    attempt: int
    job: str
    index: int
    placer: str
    phase: str
    since: float
    cores: float | None
    memory_bytes: int | None
    cpu_seconds: float | None
    supervisor: int | None


@dataclass(frozen=True, slots=True)
class AgentProgress:
    """Figures of the service: its startup time, adopted tasks by recovered state, and orphaned tasks."""

    ready_ms: float
    found_states: Mapping[str, int]
    orphaned: int


class AgentStatus:
    """Creates the status views of one agent."""

    def __init__(
        self, config: AgentConfig, runtime: Runtime, server: MachineServer, usage: UsageMonitor
    ) -> None:
        self._config = config
        self._runtime = runtime
        self._context = runtime.context
        self._node = runtime.context.node
        self._server = server
        self._usage = usage

    def agent(self, progress: AgentProgress) -> AgentView:
        """Return the view of the agent."""
        node = self._node
        agent = self._config.agent
        state = self._context.state
        age_ms = self._context.now() - node.started_at
        orphans_after_ms = self._config.tasks.orphans
        phases = Counter(task.phase.value for task in node.tasks.values())
        return AgentView(
            name=agent.name,
            kind=agent.kind,
            rack=agent.rack,
            zone=agent.room,
            pid=os.getpid(),
            boot=node.boot,
            state="draining" if node.draining else "ready",
            warm=round(node.settings.slow_start.share_at(age_ms), 3),
            tasks=dict(phases),
            load=node.load(),
            placers=sorted(self._server.connected_placers),
            ready_ms=round(progress.ready_ms, 1),
            found=dict(progress.found_states),
            starts=self._context.forkserver.forked_count,
            orphaned=progress.orphaned,
            orphans_after_ms=None if math.isinf(orphans_after_ms) else orphans_after_ms,
            state_writes=state.writes,
            state_transactions=state.transactions,
            sampling=self._usage.figures(),
        )

    def tasks(self) -> list[TaskView]:
        """Return the views of all tasks that have not ended."""
        return [self._task(uid, active) for uid, active in self._node.tasks.items()]

    def _task(self, uid: str, active: ActiveTask) -> TaskView:
        offer = active.offer
        usage = self._usage.usage_of(uid)
        run = self._runtime.runs.get(uid)
        return TaskView(
            task=uid,
            attempt=offer.attempt,
            job=f"{offer.job.namespace}/{offer.job.name}",
            index=offer.job.index,
            placer=active.placer,
            phase=active.phase.value,
            since=active.since,
            cores=None if usage is None else round(usage.cores, 3),
            memory_bytes=None if usage is None else round(usage.memory_bytes),
            cpu_seconds=None if usage is None else round(usage.cpu_s, 3),
            supervisor=None if run is None or run.supervisor is None else run.supervisor.pid,
        )
