"""The agent process: creates its components in the order of a safe start, serves, and closes them in reverse.

This module contains the wiring of the components, the drain, and the periodic checks.
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import TYPE_CHECKING

import structlog

from kelpfront.agent.adoption import TaskAdoption
from kelpfront.agent.background_tasks import BackgroundTasks
from kelpfront.agent.errors import AgentError
from kelpfront.agent.evidence import OutputLimits
from kelpfront.agent.folder_lock import TASKS_FOLDER, FolderLock
from kelpfront.agent.forkserver_client import ForkServerClient
from kelpfront.agent.node_setup import (
    SEQUENCE_METADATA,
    HostFacts,
    SequenceBlock,
    local_idempotency_records,
    make_node,
    shared_idempotency_records,
)
from kelpfront.agent.notices import NoticeReceiver
from kelpfront.agent.orphans import OrphanDetector
from kelpfront.agent.runtime import Runtime
from kelpfront.agent.runtime_context import RuntimeContext
from kelpfront.agent.server import AgentHooks, AgentServer
from kelpfront.agent.state import AgentState
from kelpfront.agent.state_database import StateError
from kelpfront.agent.state_records import StoredState, TaskKey
from kelpfront.agent.status import AgentProgress, AgentStatus, AgentView, TaskView
from kelpfront.agent.usage_monitor import UsageMonitor, UsageSettings
from kelpfront.clock import CommonClock
from kelpfront.config.agent import AgentConfig
from kelpfront.http.limits import HttpLimits
from kelpfront.machine.node import Node

if TYPE_CHECKING:
    from kelpfront.machine.grpc_server import GrpcNode

log = structlog.get_logger("kelpfront.agent")

CHECK_INTERVAL_S = 1.0  # between checks for starts whose notices were lost, and for orphaned tasks
MAX_CONNECTIONS = 2_000  # enough for a few hundred placers, and for operators
MAX_BODY_BYTES = 256 << 10  # the largest body is an offer with its command and labels
ADDRESS_FILE = "agent.json"
DRAINING_METADATA = "draining"


def _ignore_checkpoint(name: str) -> None:
    """Do nothing: the default outside of tests."""


class AgentService:
    """One agent process.

    `checkpoint` is called with a name at each step of a task's lifecycle: tests kill the process there.

    Attributes:
        node: decides on offers and stops; available once `start` has returned.
        runtime: runs the node's tasks; available once `start` has returned.
        server: serves the node; available once `start` has returned.
        ready_ms: how long the start took.
    """

    server_class: type[AgentServer] = AgentServer
    runtime_class: type[Runtime] = Runtime
    adoption_class: type[TaskAdoption] = TaskAdoption

    node: Node
    runtime: Runtime
    server: AgentServer

    def __init__(
        self,
        config: AgentConfig,
        *,
        clock: CommonClock | None = None,
        host: HostFacts | None = None,
        checkpoint: Callable[[str], None] = _ignore_checkpoint,
    ) -> None:
        self.config = config
        self.clock = clock or CommonClock()
        self.host = host or HostFacts.read()
        self.folder = Path(config.agent.state)
        self.ready_ms = 0.0
        self.grpc: GrpcNode | None = None
        self._checkpoint = checkpoint
        self._start_time_s = time.monotonic()
        self._orphaned = 0
        self._orphan_detector = OrphanDetector(config.tasks.orphans)
        self._resources = AsyncExitStack()  # closed by `close`, in reverse order
        self._lock = FolderLock(self.folder)
        self._notices = NoticeReceiver(self.folder)
        self._state = AgentState(self.folder, config.agent.state_size)
        self._forkserver = ForkServerClient(self.folder)
        self._background = BackgroundTasks()

    # ---- Start ----------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Adopt running tasks, then serve. Raises AgentError if the agent cannot start."""
        self._resources.callback(self._lock.release)
        self._lock.acquire()
        try:
            await self._start_components()
        except BaseException:  # also on cancellation: the components created so far have to be closed
            await self.close()
            raise
        self._write_address()
        self._background.spawn(self._notices.run(self.runtime.on_notice))
        self._background.spawn(self._check_periodically())
        self._background.spawn(self._usage.run())
        self._on_change()
        self.ready_ms = (time.monotonic() - self._start_time_s) * 1000.0
        log.info("agent ready", url=self.url, tasks=len(self.node.tasks), ready_ms=round(self.ready_ms, 1))

    async def _start_components(self) -> None:
        """Create all components; each is registered for `close` before it may hold an open resource."""
        self._resources.callback(self._notices.close)
        self._resources.push_async_callback(self._state.close)
        self._resources.push_async_callback(self._forkserver.close)
        stored = self._open_state()
        self._notices.bind()
        block = SequenceBlock.after(stored.metadata)
        shared_records = shared_idempotency_records(self.config)
        records = shared_records or local_idempotency_records(self.config)
        self.node = make_node(self.config, self.host, block, records, self.clock.now())
        self._state.start()
        await self._record_block(block)
        self._make_runtime()
        await self._forkserver.open()
        self.adoption = self.adoption_class(self.runtime, shared_records)
        self.adoption.adopt_all(self.clock.now(), stored)
        if stored.metadata.get(DRAINING_METADATA) == "yes":
            self.node.set_draining(self.clock.now(), draining=True)
        await self._listen()

    def _open_state(self) -> StoredState:
        try:
            stored = self._state.open()
        except StateError as error:
            raise AgentError(str(error)) from error
        if stored.quarantine is not None:
            log.error(
                "agent state damaged",
                damage=stored.damage,
                quarantine=str(stored.quarantine),
                readable=len(stored.records),
            )
        return stored

    async def _record_block(self, block: SequenceBlock) -> None:
        try:
            await self._state.set_metadata(SEQUENCE_METADATA, str(block.number))
        except StateError as error:
            # Sequence numbers are reused only if the clock also steps back before the next start.
            log.error(  # noqa: TRY400 - an expected failure, logged without a traceback
                "state not writable", error=str(error)
            )

    def _make_runtime(self) -> None:
        """Create the runtime, the server, and the usage monitor."""
        tasks = self.config.tasks
        context = RuntimeContext(
            node=self.node,
            state=self._state,
            forkserver=self._forkserver,
            background=BackgroundTasks(),
            tasks_folder=self.folder / TASKS_FOLDER,
            boot_id=self.host.boot_id,
            output_limits=OutputLimits(tasks.log_size, tasks.log_files),
            max_ended_folders=tasks.kept,
            now=self.clock.now,
            on_change=self._on_change,
            checkpoint=self._checkpoint,
        )
        self.runtime = self.runtime_class(context)
        self._resources.push_async_callback(self.runtime.close)
        hooks = AgentHooks(
            on_ends_acknowledged=self._record_acknowledged,
            set_draining=self._set_draining,
            views={"/v1/agent": self.status, "/v1/tasks": self.tasks},
            output_folder=self.runtime.output_folder,
        )
        limits = HttpLimits(connections=MAX_CONNECTIONS, body_bytes=MAX_BODY_BYTES)
        self.server = self.server_class(self.node, self.runtime, self.clock.now, hooks, limits)
        self._resources.push_async_callback(self.server.close)
        settings = UsageSettings(
            memory_unit_bytes=self.config.host.memory_unit,
            period_ms=tasks.use_period,
            smoothing_ms=tasks.use_smoothing,
            counts_other_programs=self.config.host.counts_others,
        )
        self._usage = UsageMonitor(self.node, self.runtime.runs, settings, self.clock.now, self._on_change)
        self._status = AgentStatus(self.config, self.runtime, self.server, self._usage)

    async def _listen(self) -> None:
        host, _, port = self.config.agent.listen.rpartition(":")
        try:
            await self.server.start(host, int(port))
            await self._start_grpc()
        except OSError as error:
            raise AgentError(f"{self.config.agent.listen}: {error.strerror or error}") from error

    async def _start_grpc(self) -> None:
        address = self.config.agent.grpc
        if address is None:
            return
        try:
            from kelpfront.machine.grpc_server import GrpcNode
        except ImportError as error:
            raise AgentError("[agent] grpc: requires more packages: pip install 'kelpfront[grpc]'") from error
        self.grpc = GrpcNode(self.server, self.server.read_log)
        self._resources.push_async_callback(self.grpc.close)
        await self.grpc.start(address)

    def _write_address(self) -> None:
        """Write the file from which commands on this host read the agent's address."""
        partial = self.folder / "agent.part"
        partial.write_text(json.dumps({"url": self.url, "grpc": self.grpc_target, "pid": os.getpid()}))
        partial.replace(self.folder / ADDRESS_FILE)

    @property
    def url(self) -> str:
        """The HTTP URL for placers and operators."""
        return f"http://{self.config.agent.listen.rpartition(':')[0]}:{self.server.http.port}"

    @property
    def grpc_target(self) -> str:
        """The gRPC address for placers as HOST:PORT, or an empty text if gRPC is not enabled."""
        if self.grpc is None or self.config.agent.grpc is None:
            return ""
        return f"{self.config.agent.grpc.rpartition(':')[0]}:{self.grpc.port}"

    # ---- While it runs --------------------------------------------------------------------------------

    def _on_change(self) -> None:
        self.server.apply_effects()

    def _set_draining(self, *, draining: bool) -> None:
        """Begin or end a drain, which persists across restarts.

        During a drain no new tasks are accepted, and running tasks are evicted if the settings say so.
        """
        self._state.set_metadata(DRAINING_METADATA, "yes" if draining else "no")
        self.node.set_draining(self.clock.now(), draining=draining)
        log.info("drain changed", draining=draining)
        self._on_change()

    def _record_acknowledged(self, tasks: list[str]) -> None:
        keys = []
        for task in tasks:
            ended = self.node.ended_task(task)
            if ended is not None:
                keys.append(TaskKey(task, ended.report.offer.attempt))
        self._state.record_acknowledged(keys)

    async def _check_periodically(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.runtime.check_starts()
            self._stop_orphans()

    def _stop_orphans(self) -> None:
        """Stop the tasks of placers that have not reconnected within the timeout."""
        now = self.clock.now()
        owners = {active.placer for active in self.node.tasks.values()}
        for placer in self._orphan_detector.expired_placers(now, owners, self.server.connected_placers):
            count = self.node.stop_placer_tasks(now, placer, "lost")
            if count:
                self._orphaned += count
                log.warning("orphaned tasks stopped", placer=placer, tasks=count)
                self._on_change()

    # ---- Status views for operators -------------------------------------------------------------------

    def status(self) -> AgentView:
        """Return the status view of the agent."""
        progress = AgentProgress(self.ready_ms, self.adoption.found_states, self._orphaned)
        return self._status.agent(progress)

    def tasks(self) -> list[TaskView]:
        """Return the status views of the agent's tasks."""
        return self._status.tasks()

    # ---- Shutdown -------------------------------------------------------------------------------------

    async def close(self) -> None:
        """Shut the agent down; tasks keep running, and the next agent adopts them."""
        await self._background.close()
        await self._resources.aclose()
