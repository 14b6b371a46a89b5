"""Runs a node's tasks as processes: intents on record first, then supervisors, then what becomes of them.

The order of a start is what makes it safe: the intent outlasts a power cut before anything is made; the
folder is there before a supervisor is asked for; a supervisor claims the start before it forks; the process
is written down before it may run. An agent that dies anywhere in between leaves one of these, and `recovery`
knows which.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
from collections import OrderedDict
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import structlog

from kelpfront.agent import folders
from kelpfront.agent.evidence import Found, look, task_record, void_start
from kelpfront.agent.process import Identity, open_pidfd
from kelpfront.agent.recovery import Fate, judge
from kelpfront.agent.spawner import Spawned, Spawner, SpawnError
from kelpfront.agent.state import End, Recorded, State, StateError
from kelpfront.agent.supervisor import request_stop
from kelpfront.machine.effects import StartTask, StopTask, SupersedeAttempt
from kelpfront.machine.messages import GoneCause, Offer, OfferRequest
from kelpfront.machine.node import Node

log = structlog.get_logger("kelpfront.agent")

PATH = "/usr/local/bin:/usr/bin:/bin"  # of tasks whose job names none
AGAIN_S = 0.5  # between tries of what a full disk or a lack of processes prevents
UNSEEN = "its exit status is not known: its supervisor had died"


@dataclass(slots=True, eq=False)
class Run:
    """One task on its way through its processes. `record` is its entry in the state."""

    record: Recorded
    folder: Path
    stop: GoneCause | None = None
    made: bool = False  # its folder is there
    running: bool = False
    over: bool = False
    supervisor: Identity | None = None
    pidfd: int = -1
    taken_over: int = 0  # times that its supervisor died

    @property
    def task(self) -> str:
        return self.record.request.offer.task


@dataclass(frozen=True, slots=True)
class RunLimits:
    """Bounds on what tasks leave behind. `kept` counts folders of ended tasks."""

    log_bytes: int = 1 << 20
    log_files: int = 2
    kept: int = 1_000


class Runtime:
    """Of one node. `changed` is called after the node was told something; `at` at each named point."""

    def __init__(
        self,
        node: Node,
        state: State,
        spawner: Spawner,
        folder: Path,
        boot: str,
        now: Callable[[], float],
        changed: Callable[[], None],
        limits: RunLimits,
        at: Callable[[str], None] = lambda point: None,
    ) -> None:
        self.node, self._state, self._spawner = node, state, spawner
        self._folder, self._boot, self._now, self._changed = folder, boot, now, changed
        self._limits, self._at = limits, at
        self.runs: dict[str, Run] = {}
        self._by_folder: dict[str, Run] = {}
        self._ended: OrderedDict[tuple[str, int], Path] = OrderedDict()  # folders that are kept
        self._jobs: set[asyncio.Task[None]] = set()
        self._closed = False

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._jobs.add(task)
        task.add_done_callback(self._job_done)

    def _job_done(self, task: asyncio.Task[None]) -> None:
        self._jobs.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a job of the agent failed", exc_info=task.exception())

    async def close(self) -> None:
        """Lets go of everything; tasks run on."""
        self._closed = True
        for run in self.runs.values():
            self._unwatch(run)
        for task in list(self._jobs):
            task.cancel()
        await asyncio.gather(*self._jobs, return_exceptions=True)

    # ---- What the node wants --------------------------------------------------------------------------

    def start_task(self, start: StartTask) -> None:
        offer = start.offer
        held = self.node.tasks[offer.task]
        request = OfferRequest(held.placer, held.incarnation, offer)
        record = Recorded(request, self._boot, self._now(), offer.attempt)
        run = Run(record, self._folder / folders.folder_name(offer.task, offer.attempt))
        self.runs[offer.task] = self._by_folder[run.folder.name] = run
        self._spawn(self._start(run))

    def stop_task(self, stop: StopTask) -> None:
        """Written down before this returns: whoever asked may rely on it from then on."""
        run = self.runs.get(stop.task)
        if run is None or run.stop is not None:
            return
        run.stop = stop.cause
        self._at("stop")
        if run.made:
            self._write_stop(run)

    def supersede_attempt(self, superseding: SupersedeAttempt) -> None:
        self._spawn(self._supersede_attempt(superseding))

    async def _supersede_attempt(self, superseding: SupersedeAttempt) -> None:
        offer = superseding.offer
        run = self.runs.get(offer.task)
        if run is not None and not run.over:
            old = run.record
            request = OfferRequest(superseding.placer, superseding.incarnation, offer)
            run.record = Recorded(request, old.boot, old.since, old.began)
            try:
                await self._state.taken_over(old.key, run.record)
            except StateError as error:  # it runs, whatever the disk says; a restart would tell of `old`
                log.error("a copy that was taken over is not on record", task=run.task, error=str(error))
        self.node.attempt_superseded(self._now(), offer.task, offer.attempt)
        self._changed()

    # ---- Starts ---------------------------------------------------------------------------------------

    async def _start(self, run: Run) -> None:
        self._at("intent")
        try:
            await self._state.intend(run.record)
        except StateError as error:
            self._never_ran(run, f"not started: {error}", recorded=False)
            return
        self._at("intent-durable")
        if run.stop is not None:
            self._never_ran(run, "stopped before it started")
            return
        try:
            run.folder.mkdir(parents=True)
            folders.write_once(run.folder, folders.TASK, self._task_record(run))
            run.made = True
            self._at("folder")
            if run.stop is not None:
                self._write_stop(run)
        except OSError as error:
            self._never_ran(run, f"{run.folder}: {error.strerror}")
            return
        try:
            spawned = await self._spawner.start(run.folder)
        except SpawnError as error:
            log.warning("start not confirmed", task=run.task, error=str(error))
            await self._settle(run)
            return
        self._at("spawned")
        await self._watch(run, spawned)

    def _task_record(self, run: Run) -> folders.Record:
        request = run.record.request
        offer, command = request.offer, request.offer.run
        assert command is not None
        env = {
            "PATH": PATH,
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            **command.env,
            "KELPFRONT_TASK": offer.task,
            "KELPFRONT_ATTEMPT": str(offer.attempt),
            "KELPFRONT_JOB": f"{offer.job.namespace}/{offer.job.name}",
            "KELPFRONT_INDEX": str(offer.job.index),
            "KELPFRONT_MACHINE": self.node.settings.name,
        }
        limits = {"log_bytes": self._limits.log_bytes, "log_files": self._limits.log_files}
        return task_record(request, run.record.boot, run.record.since, env, limits)

    async def _watch(self, run: Run, spawned: Spawned) -> None:
        await self._watch_identity(run, Identity(spawned.pid, spawned.ticks, self._boot))

    async def _watch_identity(self, run: Run, supervisor: Identity) -> None:
        """Follows a supervisor; its end is seen at once, by its descriptor."""
        run.supervisor = supervisor
        fd = open_pidfd(supervisor, self._boot)
        if fd is None:
            await self._settle(run)
            return
        run.pidfd = fd
        asyncio.get_running_loop().add_reader(fd, self._supervisor_gone, run)
        if run.stop is not None and not request_stop(fd):
            self._supervisor_gone(run)
        else:
            self.look_at(run)

    def _unwatch(self, run: Run) -> None:
        if run.pidfd >= 0:
            asyncio.get_running_loop().remove_reader(run.pidfd)
            os.close(run.pidfd)
            run.pidfd = -1

    # ---- Stops ----------------------------------------------------------------------------------------

    def _write_stop(self, run: Run) -> None:
        offer = run.record.request.offer
        grace_ms = 0.0 if offer.run is None else offer.run.grace_ms
        try:
            folders.write_once(run.folder, folders.STOP, {"cause": run.stop, "grace_ms": grace_ms})
        except OSError as error:
            log.error("stop not written down, trying again", task=run.task, error=str(error))
            self._spawn(self._stop_later(run))
            return
        self._at("stop-written")
        if run.pidfd >= 0:
            request_stop(run.pidfd)
            self._at("stop-asked")

    async def _stop_later(self, run: Run) -> None:
        await asyncio.sleep(AGAIN_S)
        if not run.over:
            self._write_stop(run)

    # ---- What becomes of them -------------------------------------------------------------------------

    def noticed(self, event: str, folder: str) -> None:
        """A supervisor's notice."""
        run = self._by_folder.get(folder)
        if run is not None and event == "running":
            self._at("started")
            self._runs(run)
        elif run is not None:
            self.look_at(run)

    def look_at(self, run: Run) -> None:
        """Reads a task's folder: notices may be lost."""
        if run.over or run.running:
            return
        found = look(run.folder, self._boot, run.record.boot)
        if found.evidence.running:
            self._runs(run)

    def look_at_starts(self) -> None:
        for run in list(self.runs.values()):
            if run.made and not run.running:
                self.look_at(run)

    def _runs(self, run: Run) -> None:
        if run.running or run.over:
            return
        run.running = True
        self.node.started(self._now(), run.task)
        self._at("answer")
        self._changed()

    def _supervisor_gone(self, run: Run) -> None:
        self._unwatch(run)
        self._at("exit-seen")
        self._spawn(self._settle(run))

    async def _settle(self, run: Run) -> None:
        """Finds out what became of a task whose supervisor is not there, and goes on from that."""
        while not (run.over or self._closed):
            found = look(run.folder, self._boot, run.record.boot)
            match judge(found.evidence):
                case Fate.UNCLAIMED:
                    try:
                        void_start(run.folder)
                        continue  # whoever has the claim now decides
                    except OSError as error:
                        log.error("start not voided, trying again", task=run.task, error=str(error))
                case Fate.NEVER_RAN:
                    why = (found.exit or {}).get("error") or "its start was not begun"
                    self._never_ran(run, str(why))
                    return
                case Fate.ENDED | Fate.ENDED_UNSEEN as fate:
                    self._over(run, found, seen=fate is Fate.ENDED or found.evidence.running)
                    return
                case Fate.STARTING | Fate.RUNNING:
                    assert found.supervisor is not None
                    if found.evidence.running:
                        self._runs(run)
                    if run.pidfd < 0:
                        await self._watch_identity(run, found.supervisor)
                    return
                case Fate.UNWATCHED:
                    self._runs(run)
                    log.warning("supervisor died; another takes over", task=run.task)
                    if run.taken_over:
                        await asyncio.sleep(AGAIN_S)  # whatever ends them must not be a loop without a pause
                    run.taken_over += 1
                    try:
                        spawned = await self._spawner.take_over(run.folder)
                    except SpawnError as error:
                        log.error("no supervisor to take over, trying again", task=run.task, error=str(error))
                    else:
                        await self._watch(run, spawned)
                        return
            await asyncio.sleep(AGAIN_S)

    def _never_ran(self, run: Run, why: str, *, recorded: bool = True) -> None:
        if run.over:
            return
        run.over = True
        self._unwatch(run)
        self.node.start_failed(self._now(), run.task, why)
        log.info("task not started", task=run.task, why=why)
        self._closed_books(run, End("failed", False, message=why), recorded)

    def _over(self, run: Run, found: Found, seen: bool) -> None:
        """`seen`: that its program was loaded. Else its offer is answered with an error: it may have run."""
        if run.over:
            return
        run.over = True
        self._unwatch(run)
        now, exited = self._now(), found.exit or {"error": UNSEEN}
        if seen and not run.running:  # it ended before the notice that it runs
            self.node.started(now, run.task)
        code, cpu_s, message = exited.get("code"), exited.get("cpu_s"), str(exited.get("error", ""))
        self.node.exited(now, run.task, code, cpu_s, message)
        self._at("exit-told")
        ended = self.node.ended(run.task)
        cause: GoneCause = (ended.report.cause if ended is not None else None) or "ended"
        log.info("task over", task=run.task, cause=cause, exit_code=code)
        self._closed_books(run, End(cause, True, code, cpu_s, message), True)

    def _closed_books(self, run: Run, end: End, recorded: bool) -> None:
        """The end goes on record and out to its placer; its folder is kept for a while."""
        self.runs.pop(run.task, None)
        self._by_folder.pop(run.folder.name, None)
        ended = self.node.ended(run.task)
        run.record.end, run.record.seq = end, 0 if ended is None else ended.seq
        if recorded:
            self._state.ended(run.record)
            self.keep(run.record.key, run.folder)
        self._at("exit-recorded")
        self._changed()

    # ---- What ended tasks leave -----------------------------------------------------------------------

    def keep(self, key: tuple[str, int], folder: Path) -> None:
        """Keeps an ended task's folder, and lets the oldest ones go."""
        self._ended[key] = folder
        gone: list[tuple[tuple[str, int], Path]] = []
        while len(self._ended) > self._limits.kept:
            gone.append(self._ended.popitem(last=False))
        if gone:
            self._spawn(self._remove(gone))

    async def _remove(self, gone: list[tuple[tuple[str, int], Path]]) -> None:
        """Off the record first: a record without a folder would be taken for a start that never began."""
        try:
            await self._state.forget([key for key, _ in gone])
        except StateError as error:
            log.error("ended tasks stay on record", error=str(error))
            return
        trash = folders.trash(self._folder)
        trash.mkdir(exist_ok=True)
        for _, folder in gone:
            with contextlib.suppress(OSError):  # it may be gone already
                folder.rename(trash / folder.name)
        await asyncio.to_thread(shutil.rmtree, trash, True)

    def folder_of(self, task: str, attempt: int | None) -> Path | None:
        """Where a task's output is; of its last attempt here where none is named."""
        run = self.runs.get(task)
        if run is not None and attempt in (None, run.record.request.offer.attempt):
            return run.folder
        if attempt is not None:
            return self._ended.get((task, attempt))
        return next((folder for key, folder in reversed(self._ended.items()) if key[0] == task), None)

    # ---- What an earlier agent left -------------------------------------------------------------------

    def resume(self, record: Recorded, folder: Path, fate: Fate, found: Found) -> None:
        """Takes up a task that is on the host already; the node has been told of it."""
        run = Run(record, folder, made=folder.exists(), running=fate in (Fate.RUNNING, Fate.UNWATCHED))
        if found.stop is not None:
            run.stop = found.stop.get("cause", "stopped")
        self.runs[run.task] = self._by_folder[folder.name] = run
        self._spawn(self._settle(run))


def fits(offer: Offer) -> str:
    """Why an offer cannot be run as a process here; empty where it can."""
    if offer.run is None:
        return "the job names no command, and this machine runs nothing else"
    if not offer.run.argv or not offer.run.argv[0]:
        return "the command is empty"
    try:
        folders.folder_name(offer.task, offer.attempt)
    except ValueError as error:
        return str(error)
    return ""
