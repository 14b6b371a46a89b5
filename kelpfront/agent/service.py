"""The agent as it runs: its state, its node, its processes and its server, from start to end."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import json
import math
import os
import socket
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import structlog

from kelpfront.agent.copies import FileCopies, NoCopies
from kelpfront.agent.orphans import Orphans
from kelpfront.agent.process import boot_id, uptime_s
from kelpfront.agent.runtime import RunLimits, Runtime
from kelpfront.agent.sampler import Sampler
from kelpfront.agent.server import AgentServer
from kelpfront.agent.spawner import Spawner
from kelpfront.agent.state import Opened, State, StateError
from kelpfront.agent.supervisor import NOTICES
from kelpfront.agent.takeup import TakeUp
from kelpfront.agent.useloop import UseLoop
from kelpfront.clock import CommonClock
from kelpfront.config.agent import AgentConfig
from kelpfront.http.limits import HttpLimits
from kelpfront.machine.admission import Capacity
from kelpfront.machine.idempotency_records import IdempotencyRecords
from kelpfront.machine.model import Incarnation, NodeSettings
from kelpfront.machine.node import Node
from kelpfront.machine.slow_start import SlowStart

if TYPE_CHECKING:
    from kelpfront.machine.grpc_server import GrpcNode

log = structlog.get_logger("kelpfront.agent")

LOOK_S = 1.0  # between looks for what notices may have missed, and for orphans
SEQ_SHIFT = 20  # message numbers of one agent process: a million; those of the next are above
CONNECTIONS = 2_000
BODY_BYTES = 256 << 10  # an offer with its command and labels
NOTICE_BYTES = 4096


class AgentError(Exception):
    """Why an agent cannot start; the text is for its operator."""


@dataclass(frozen=True, slots=True)
class HostFacts:
    """What the agent goes by of its host; tests give their own."""

    boot: str
    uptime_ms: float

    @classmethod
    def read(cls) -> HostFacts:
        return cls(boot_id(), uptime_s() * 1000.0)


class AgentService:
    """One agent process. `at` is called at each named point of a task's life: tests end the process there."""

    server_class: type[AgentServer] = AgentServer
    runtime_class: type[Runtime] = Runtime
    takeup_class: type[TakeUp] = TakeUp

    def __init__(
        self,
        config: AgentConfig,
        *,
        clock: CommonClock | None = None,
        facts: HostFacts | None = None,
        at: Callable[[str], None] = lambda point: None,
    ) -> None:
        self.config = config
        self.clock = clock or CommonClock()
        self.facts = facts or HostFacts.read()
        self.folder = Path(config.agent.state)
        self.ready_ms = 0.0
        self._at = at
        self._began = time.monotonic()
        self._lock: int | None = None
        self._notices: socket.socket | None = None
        self._jobs: set[asyncio.Task[None]] = set()
        self._state = State(self.folder, config.agent.state_size)
        self._spawner = Spawner(self.folder)
        self._orphans = Orphans(config.tasks.orphans)
        self.orphaned = 0
        self.grpc: GrpcNode | None = None
        self._started = False  # there are a server and a runtime to close

    # ---- Start ----------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Finds what runs, then serves. AgentError where it cannot."""
        self._take_folder()
        try:
            opened = self._open_state()
            self._bind_notices()
            seq = self._first_seq(opened)
            self.node = self._make_node(seq)
            self._state.start()
            await self._keep_seq(seq)
            self.runtime = self.runtime_class(
                self.node,
                self._state,
                self._spawner,
                self.folder / "tasks",
                self.facts.boot,
                self.clock.now,
                self._changed,
                RunLimits(self.config.tasks.log_size, self.config.tasks.log_files, self.config.tasks.kept),
                self._at,
            )
            self.server = self.server_class(
                self.node,
                self.runtime,
                self.clock.now,
                heard=self._heard,
                drain=self.drain,
                views={"/v1/agent": self.status, "/v1/tasks": self.tasks},
                folder_of=self.runtime.folder_of,
                limits=HttpLimits(connections=CONNECTIONS, body_bytes=BODY_BYTES),
            )
            self._started = True
            await self._spawner.open()
            self.takeup = self.takeup_class(
                self.node, self._state, self.runtime, self.folder / "tasks", self.facts.boot, self._copies
            )
            self.takeup.run(self.clock.now(), opened)
            if opened.meta.get("draining") == "yes":
                self.node.set_draining(self.clock.now(), draining=True)
            host, _, port = self.config.agent.listen.rpartition(":")
            try:
                await self.server.start(host, int(port))
                await self._start_grpc()
            except OSError as error:
                raise AgentError(f"{self.config.agent.listen}: {error.strerror or error}") from None
        except BaseException:
            await self.close()
            raise
        self._write_address()
        self.use = UseLoop(self.node, self.runtime, self.server, self.config, Sampler(), self.clock.now)
        self._spawn(self._read_notices())
        self._spawn(self._look_after())
        self._spawn(self.use.run())
        self._changed()
        self.ready_ms = (time.monotonic() - self._began) * 1000.0
        log.info("agent ready", url=self.url, tasks=len(self.node.tasks), ready_ms=round(self.ready_ms, 1))

    async def _start_grpc(self) -> None:
        if self.config.agent.grpc is None:
            return
        try:
            from kelpfront.machine.grpc_server import GrpcNode
        except ImportError:
            raise AgentError("[agent] grpc: needs more packages: pip install 'kelpfront[grpc]'") from None
        self.grpc = GrpcNode(self.server, self.server.read_log)
        await self.grpc.start(self.config.agent.grpc)

    @property
    def grpc_target(self) -> str:
        """HOST:PORT where placers reach it by gRPC; empty where they do not."""
        if self.grpc is None or self.config.agent.grpc is None:
            return ""
        return f"{self.config.agent.grpc.rpartition(':')[0]}:{self.grpc.port}"

    @property
    def url(self) -> str:
        return f"http://{self.config.agent.listen.rpartition(':')[0]}:{self.server.http.port}"

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._jobs.add(task)
        task.add_done_callback(self._job_done)

    def _job_done(self, task: asyncio.Task[None]) -> None:
        self._jobs.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a job of the agent failed", exc_info=task.exception())

    def _take_folder(self) -> None:
        """One agent a state folder: the lock goes with its process, however it ends."""
        try:
            (self.folder / "tasks").mkdir(parents=True, exist_ok=True)
            self._lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise AgentError(f"{self.folder}: {error.strerror}") from None
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock)
            self._lock = None
            if error.errno in (errno.EWOULDBLOCK, errno.EACCES):
                raise AgentError(f"{self.folder}: another agent has this state folder") from None
            raise AgentError(f"{self.folder}/lock: {error.strerror}") from None

    def _open_state(self) -> Opened:
        try:
            opened = self._state.open()
        except StateError as error:
            raise AgentError(str(error)) from None
        if opened.set_aside is not None:
            log.error(
                "the agent's state was damaged; it is set aside, and what runs is found by the supervisors",
                damage=opened.damage,
                set_aside=str(opened.set_aside),
                readable=len(opened.records),
            )
        return opened

    def _bind_notices(self) -> None:
        """Before folders are read: what happens after that is told here."""
        notices = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        notices.setblocking(False)
        (self.folder / NOTICES).unlink(missing_ok=True)
        # The path of a socket may have 107 bytes; through its folder's descriptor any folder will do.
        fd = os.open(self.folder, os.O_PATH | os.O_DIRECTORY)
        try:
            notices.bind(f"/proc/self/fd/{fd}/{NOTICES}")
        except OSError as error:
            notices.close()
            raise AgentError(f"{self.folder}/{NOTICES}: {error.strerror}") from None
        finally:
            os.close(fd)
        self._notices = notices

    def _first_seq(self, opened: Opened) -> int:
        """Above all numbers given before, even where the record of them is lost: by the time of day then."""
        text = opened.meta.get("seq", "")
        last = (
            int(text) if text.isascii() and text.isdigit() else 0
        )  # out of a damaged state it may be anything
        return max(last + 1, int(time.time())) << SEQ_SHIFT

    async def _keep_seq(self, seq: int) -> None:
        try:
            await self._state.set_meta("seq", str(seq >> SEQ_SHIFT))
        except StateError as error:
            # Numbers may come again only if the clock also steps back before the next start.
            log.error("state cannot be written", error=str(error))

    def _make_node(self, first_seq: int) -> Node:
        its, host, starts = self.config.agent, self.config.host, self.config.starts
        cores, memory = Sampler.size()
        settings = NodeSettings(
            name=its.name,
            kind=its.kind,
            rack=its.rack,
            zone=its.room,
            capacity=Capacity(
                host.cores if host.cores is not None else float(cores),
                host.memory if host.memory is not None else memory / host.memory_unit,
                host.accepts_cores,
                host.accepts_memory,
            ),
            max_pending_offers=starts.line,
            max_tasks=self.config.tasks.most,
            max_parallel_starts=starts.parallel,
            answer_mode=starts.answer,
            preempts=starts.pushes_out,
            drain_mode=self.config.drain.evicts,
            drain_interval_ms=self.config.drain.pace,
            max_cached_programs=0,
            heartbeat_ms=its.heartbeat,
            slow_start=SlowStart(host.cold_from, host.cold_for),
            starts_per_ms=None if starts.rate is None else starts.rate / 1000.0,
        )
        boot, age_ms = self.facts.boot, self.facts.uptime_ms
        if host.warm_from == "agent":  # each of its starts is a new life in the placers' eyes
            boot, age_ms = f"{boot}/{first_seq >> SEQ_SHIFT}", 0.0
        copies: IdempotencyRecords
        if its.copies is not None:
            self._copies: FileCopies | None = FileCopies(Path(its.copies))
            copies = self._copies
        else:
            self._copies = None
            copies = NoCopies(f"{its.room}/{its.rack}/{its.name}")
        now = self.clock.now()
        incarnation = Incarnation(boot, now - age_ms, first_seq)
        return Node(settings, incarnation, lambda: starts.weigh, copies)

    # ---- While it runs --------------------------------------------------------------------------------

    def _changed(self) -> None:
        self.server.changed()

    def drain(self, on: bool) -> None:
        """Take nothing new, and send tasks away as set; also after a restart, until it is taken back."""
        self._state.set_meta("draining", "yes" if on else "no")
        self.node.set_draining(self.clock.now(), draining=on)
        log.info("drain", on=on)
        self._changed()

    def _heard(self, tasks: list[str]) -> None:
        keys = []
        for task in tasks:
            ended = self.node.ended(task)
            if ended is not None:
                keys.append((task, ended.report.offer.attempt))
        self._state.heard(keys)

    async def _read_notices(self) -> None:
        loop = asyncio.get_running_loop()
        assert self._notices is not None
        while True:
            event, _, folder = (await loop.sock_recv(self._notices, NOTICE_BYTES)).decode().partition(" ")
            self.runtime.noticed(event, folder)

    async def _look_after(self) -> None:
        while True:
            await asyncio.sleep(LOOK_S)
            self.runtime.look_at_starts()
            now = self.clock.now()
            owners = {held.placer for held in self.node.tasks.values()}
            for placer in self._orphans.left(now, owners, self.server.connected):
                count = self.node.stop_tasks_of(now, placer, "lost")
                if count:
                    self.orphaned += count
                    log.warning("placer is away for good; its tasks are stopped", placer=placer, tasks=count)
                    self._changed()

    # ---- What operators see ---------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        phases: dict[str, int] = {}
        for held in self.node.tasks.values():
            phases[held.phase.value] = phases.get(held.phase.value, 0) + 1
        node, its = self.node, self.config.agent
        age_ms = self.clock.now() - node.started_at
        orphans = self.config.tasks.orphans
        return {
            "name": its.name,
            "kind": its.kind,
            "rack": its.rack,
            "room": its.room,
            "pid": os.getpid(),
            "boot": node.boot,
            "state": "draining" if node.draining else "ready",
            "warm": round(node.settings.slow_start.share_at(age_ms), 3),
            "tasks": phases,
            "load": node.load(),
            "placers": sorted(self.server.connected),
            "readyMs": round(self.ready_ms, 1),
            "found": dict(self.takeup.found),
            "starts": self._spawner.starts,
            "orphaned": self.orphaned,
            "orphansAfterMs": None if math.isinf(orphans) else orphans,
            "stateWrites": self._state.writes,
            "stateTransactions": self._state.transactions,
            "sampling": self.use.figures(),
        }

    def tasks(self) -> list[dict[str, Any]]:
        shown = []
        for task, held in self.node.tasks.items():
            offer, use = held.offer, self.use.of(task)
            run = self.runtime.runs.get(task)
            shown.append(
                {
                    "task": task,
                    "attempt": offer.attempt,
                    "job": f"{offer.job.namespace}/{offer.job.name}",
                    "index": offer.job.index,
                    "placer": held.placer,
                    "phase": held.phase.value,
                    "since": held.since,
                    "cores": None if use is None else round(use.cores, 3),
                    "memoryBytes": None if use is None else round(use.memory),
                    "cpuSeconds": None if use is None else round(use.cpu_s, 3),
                    "supervisor": None if run is None or run.supervisor is None else run.supervisor.pid,
                }
            )
        return shown

    # ---- End ------------------------------------------------------------------------------------------

    def _write_address(self) -> None:
        """Where commands on this host find the agent."""
        part = self.folder / "agent.part"
        part.write_text(json.dumps({"url": self.url, "grpc": self.grpc_target, "pid": os.getpid()}))
        part.replace(self.folder / "agent.json")

    async def close(self) -> None:
        """Ends the agent; tasks run on and are found by the next."""
        for task in list(self._jobs):
            task.cancel()
        await asyncio.gather(*self._jobs, return_exceptions=True)
        if self.grpc is not None:
            await self.grpc.close()
        if self._started:
            await self.server.close()
            await self.runtime.close()
        await self._spawner.close()
        await self._state.close()
        if self._notices is not None:
            self._notices.close()
        if self._lock is not None:
            with contextlib.suppress(OSError):
                os.close(self._lock)
            self._lock = None
