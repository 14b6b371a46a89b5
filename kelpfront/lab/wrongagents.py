"""Agents that are wrong on purpose, each in one way: what judges agents must find every one of them."""

from __future__ import annotations

import dataclasses
from pathlib import Path

from kelpfront.agent.adoption import TaskAdoption
from kelpfront.agent.evidence import FolderInspection
from kelpfront.agent.runtime import Runtime
from kelpfront.agent.service import AgentService
from kelpfront.agent.state_records import StoredState, TaskEnd, TaskRecord
from kelpfront.agent.task_completion import TaskCompletion
from kelpfront.agent.task_run import TaskRun
from kelpfront.machine.effects import StartTask
from kelpfront.machine.model import Phase
from kelpfront.machine.restoration import RestoredTask


class _ForgetfulAdoption(TaskAdoption):
    def adopt_all(self, now: float, stored: StoredState) -> None:
        pass


class Forgets(AgentService):
    """Starts with an empty memory."""

    adoption_class = _ForgetfulAdoption


class _EagerAdoption(TaskAdoption):
    def adopt(self, now: float, record: TaskRecord, folder: Path, *, may_be_outdated: bool) -> None:
        super().adopt(now, record, folder, may_be_outdated=may_be_outdated)
        if record.end is None and record.request.offer.task in self.node.tasks:
            run = TaskRun(record, folder.with_name(f"{folder.name}.again"))
            self.runtime.launch(run)


class StartsAgain(AgentService):
    """Starts what it finds running, as if only the intent counted."""

    adoption_class = _EagerAdoption


class _SilentAdoption(TaskAdoption):
    def record_end(self, record: TaskRecord, folder: Path, end: TaskEnd) -> None:
        pass


class DropsExits(AgentService):
    """Does not tell of exits that came while it was away."""

    adoption_class = _SilentAdoption


class _DenyingAdoption(TaskAdoption):
    def adopt(self, now: float, record: TaskRecord, folder: Path, *, may_be_outdated: bool) -> None:
        self.record_end(record, folder, TaskEnd("failed", False, message="never ran"))


class TakesRunningForNeverRun(AgentService):
    """Says of what it finds running that it never ran."""

    adoption_class = _DenyingAdoption


class _HalfCompletion(TaskCompletion):
    def report_ended(self, run: TaskRun, inspection: FolderInspection, *, program_loaded: bool) -> None:
        exited = inspection.exit
        if exited is not None and exited.cpu_s:
            halved = dataclasses.replace(exited, cpu_s=exited.cpu_s * 0.5)
            inspection = dataclasses.replace(inspection, exit=halved)
        super().report_ended(run, inspection, program_loaded=program_loaded)


class _HalfRuntime(Runtime):
    completion_class = _HalfCompletion


class HalvesUse(AgentService):
    """Reports half of the CPU time."""

    runtime_class = _HalfRuntime


class _DeafCompletion(TaskCompletion):
    def report_ended(self, run: TaskRun, inspection: FolderInspection, *, program_loaded: bool) -> None:
        if hash_of(run.task) % 3:
            super().report_ended(run, inspection, program_loaded=program_loaded)


class _DeafRuntime(Runtime):
    completion_class = _DeafCompletion


class _DeafAdoption(TaskAdoption):
    def record_end(self, record: TaskRecord, folder: Path, end: TaskEnd) -> None:
        if end.ran and not hash_of(record.key.task) % 3:
            restored = RestoredTask(record.request, Phase.RUNNING, record.since)
            self.node.restore(record.since, restored)
        else:
            super().record_end(record, folder, end)


class MissesExits(AgentService):
    """Does not see the exits of some tasks, and after a restart shows them as running still."""

    runtime_class = _DeafRuntime
    adoption_class = _DeafAdoption


class _DoubleRuntime(Runtime):
    def start_task(self, start: StartTask) -> None:
        super().start_task(start)
        run = self.runs.get(start.offer.task)
        assert run is not None
        self.launch(TaskRun(run.record, run.folder.with_name(f"{run.folder.name}.twin")))


class StartsTwice(AgentService):
    """Makes two processes of each task."""

    runtime_class = _DoubleRuntime


class Unsynced(AgentService):
    """Does not wait for the disk: what a durable start costs is the difference."""

    def _open_state(self) -> StoredState:
        stored = super()._open_state()
        self._state.database.connection.execute("PRAGMA synchronous=OFF")
        return stored


def hash_of(text: str) -> int:
    return sum(text.encode())


WRONG: dict[str, type[AgentService]] = {
    "forgets": Forgets,
    "starts-again": StartsAgain,
    "drops-exits": DropsExits,
    "running-never-ran": TakesRunningForNeverRun,
    "halves-use": HalvesUse,
    "misses-exits": MissesExits,
    "starts-twice": StartsTwice,
    "unsynced": Unsynced,
}
