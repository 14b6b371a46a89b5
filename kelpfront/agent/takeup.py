"""Takes up what an earlier agent left: from its records, and from folders that have none."""

from __future__ import annotations

import shutil
from collections import Counter
from pathlib import Path
from typing import Any

import structlog

from kelpfront.agent import folders
from kelpfront.agent.copies import FileCopies
from kelpfront.agent.evidence import Found, look, request_of, void_start
from kelpfront.agent.folders import UnreadableError
from kelpfront.agent.recovery import Fate, cause_of, judge
from kelpfront.agent.runtime import UNSEEN, Runtime
from kelpfront.agent.state import End, Opened, Recorded, State
from kelpfront.machine.model import Phase
from kelpfront.machine.node import Node
from kelpfront.machine.restoration import RestoredTask

log = structlog.get_logger("kelpfront.agent")


class TakeUp:
    """Once, before the agent serves. `found` counts tasks by fate."""

    def __init__(
        self,
        node: Node,
        state: State,
        runtime: Runtime,
        tasks: Path,
        boot: str,
        copies: FileCopies | None,
    ) -> None:
        self.node, self._state, self._runtime = node, state, runtime
        self._tasks, self._boot, self._copies = tasks, boot, copies
        self.found: Counter[str] = Counter()

    def run(self, now: float, opened: Opened) -> None:
        shutil.rmtree(folders.trash(self._tasks), ignore_errors=True)
        open_records: list[tuple[Recorded, Path]] = []
        recorded = set()
        for record in sorted(opened.records, key=lambda record: record.since):
            try:
                folder = self._tasks / folders.folder_name(record.key[0], record.began)
            except ValueError as error:  # only a damaged state has such
                log.error("a record names no task and is passed over", error=str(error))
                continue
            recorded.add(folder.name)
            if record.end is not None:
                self._take_ended(record, folder)
            else:
                open_records.append((record, folder))
        for folder in sorted(path for path in self._tasks.iterdir() if path.is_dir()):
            if folder.name not in recorded and (lost := self._unrecorded(folder)) is not None:
                open_records.append((lost, folder))
        if self._copies is not None:
            held = frozenset(record.request.offer.task for record, _ in open_records)
            self._copies.remove_machine(self.node.settings.name, held)
        for record, folder in open_records:
            # A record out of a damaged state may be older than the removal of its folder.
            doubtful = opened.set_aside is not None and not folder.exists()
            self.take_up(now, record, folder, doubtful)

    def _take_ended(self, record: Recorded, folder: Path) -> None:
        self.node.restore_ended(record.request.placer, record.report(), record.seq)
        if record.heard:
            self.node.acknowledge_task(record.request.offer.task)
        self._runtime.keep(record.key, folder)

    def _unrecorded(self, folder: Path) -> Recorded | None:
        """A folder that the state does not know: the state was lost, or damaged where this was."""
        try:
            task = folders.read(folder, folders.TASK)
            if task is None:
                return None  # made by an agent that died in that instant: nothing can have come of it
            request = request_of(task)
            offer = request.offer
            if folders.folder_name(offer.task, offer.attempt) != folder.name:
                raise UnreadableError(f"{folder}: is of another task")
            return Recorded(request, str(task["boot"]), float(task["since"]), offer.attempt)
        except (UnreadableError, KeyError, ValueError) as error:
            log.error("a task's folder cannot be read and is left as it is", error=str(error))
            return None

    def take_up(self, now: float, record: Recorded, folder: Path, doubtful: bool) -> None:
        """One task that was not over when its agent went. `doubtful`: its missing folder proves nothing."""
        found = look(folder, self._boot, record.boot)
        fate = Fate.ENDED_UNSEEN if doubtful else judge(found.evidence)
        if fate is Fate.UNCLAIMED:
            try:
                void_start(folder)
                found = look(folder, self._boot, record.boot)
                fate = judge(found.evidence)
            except OSError as error:  # taken up as one that starts, and voided when it can be
                log.error("start not voided", folder=str(folder), error=str(error))
        self.found[fate.value] += 1
        log.info("task taken up", task=record.key[0], attempt=record.key[1], fate=fate.value)
        self._state.intend(record)
        stopped_for = None if found.stop is None else found.stop.get("cause", "stopped")
        match fate:
            case Fate.NEVER_RAN:
                why = str((found.exit or {}).get("error") or "its agent went down before it was started")
                self.end(record, folder, End("failed", False, message=why))
            case Fate.ENDED | Fate.ENDED_UNSEEN:
                self._take_exit(record, folder, found, stopped_for)
            case _:
                runs = fate in (Fate.RUNNING, Fate.UNWATCHED)
                phase = Phase.STOPPING if stopped_for else Phase.RUNNING if runs else Phase.STARTING
                cause: Any = stopped_for or "ended"
                self.node.restore(now, RestoredTask(record.request, phase, record.since, cause))
                self._runtime.resume(record, folder, fate, found)

    def _take_exit(self, record: Recorded, folder: Path, found: Found, stopped_for: str | None) -> None:
        its_exit = found.exit or {"error": UNSEEN}
        cause: Any = cause_of(stopped_for, record.boot == self._boot, found.exit is not None)
        code, cpu_s = its_exit.get("code"), its_exit.get("cpu_s")
        self.end(record, folder, End(cause, True, code, cpu_s, str(its_exit.get("error", ""))))

    def end(self, record: Recorded, folder: Path, end: End) -> None:
        """It was over before this agent started: told of in the next snapshot."""
        record.end = end
        record.seq = self.node.incarnation.first_seq - 1  # the number of this agent's first snapshots
        self.node.restore_ended(record.request.placer, record.report(), record.seq)
        self._state.ended(record)
        self._runtime.keep(record.key, folder)
