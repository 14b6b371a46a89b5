"""Agents that are wrong on purpose, each in one way: what judges agents must find every one of them."""

from __future__ import annotations

from pathlib import Path

from kelpfront.agent.evidence import Found
from kelpfront.agent.runtime import Run, Runtime
from kelpfront.agent.service import AgentService
from kelpfront.agent.state import End, Opened, Recorded
from kelpfront.agent.takeup import TakeUp
from kelpfront.machine.effects import StartTask
from kelpfront.machine.model import Phase
from kelpfront.machine.restoration import RestoredTask


class _ForgetfulTakeUp(TakeUp):
    def run(self, now: float, opened: Opened) -> None:
        pass


class Forgets(AgentService):
    """Starts with an empty memory."""

    takeup_class = _ForgetfulTakeUp


class _EagerTakeUp(TakeUp):
    def take_up(self, now: float, record: Recorded, folder: Path, doubtful: bool) -> None:
        super().take_up(now, record, folder, doubtful)
        if record.end is None and record.request.offer.task in self.node.tasks:
            run = Run(record, folder.with_name(f"{folder.name}.again"))
            self._runtime._spawn(self._runtime._start(run))


class StartsAgain(AgentService):
    """Starts what it finds running, as if only the intent counted."""

    takeup_class = _EagerTakeUp


class _SilentTakeUp(TakeUp):
    def end(self, record: Recorded, folder: Path, end: End) -> None:
        pass


class DropsExits(AgentService):
    """Does not tell of exits that came while it was away."""

    takeup_class = _SilentTakeUp


class _DenyingTakeUp(TakeUp):
    def take_up(self, now: float, record: Recorded, folder: Path, doubtful: bool) -> None:
        self.end(record, folder, End("failed", False, message="never ran"))


class TakesRunningForNeverRun(AgentService):
    """Says of what it finds running that it never ran."""

    takeup_class = _DenyingTakeUp


class _HalfRuntime(Runtime):
    def _over(self, run: Run, found: Found, seen: bool) -> None:
        if found.exit is not None and found.exit.get("cpu_s"):
            found.exit["cpu_s"] *= 0.5
        super()._over(run, found, seen)


class HalvesUse(AgentService):
    """Reports half of the CPU time."""

    runtime_class = _HalfRuntime


class _DeafRuntime(Runtime):
    def _over(self, run: Run, found: Found, seen: bool) -> None:
        if hash_of(run.task) % 3:
            super()._over(run, found, seen)


class _DeafTakeUp(TakeUp):
    def end(self, record: Recorded, folder: Path, end: End) -> None:
        if end.ran and not hash_of(record.key[0]) % 3:
            restored = RestoredTask(record.request, Phase.RUNNING, record.since)
            self.node.restore(record.since, restored)
        else:
            super().end(record, folder, end)


class MissesExits(AgentService):
    """Does not see the exits of some tasks, and after a restart shows them as running still."""

    runtime_class = _DeafRuntime
    takeup_class = _DeafTakeUp


class _DoubleRuntime(Runtime):
    def start_task(self, start: StartTask) -> None:
        super().start_task(start)
        run = self.runs[start.offer.task]
        twin = Run(run.record, run.folder.with_name(f"{run.folder.name}.twin"))
        self._spawn(self._start(twin))


class StartsTwice(AgentService):
    """Makes two processes of each task."""

    runtime_class = _DoubleRuntime


class Unsynced(AgentService):
    """Does not wait for the disk: what a durable start costs is the difference."""

    def _open_state(self) -> Opened:
        opened = super()._open_state()
        assert self._state._db is not None
        self._state._db.execute("PRAGMA synchronous=OFF")
        return opened


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
