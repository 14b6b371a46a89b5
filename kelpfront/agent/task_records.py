"""The records of a task folder as typed values, and their JSON forms. Standard library only.

Records of older agents, and of their supervisors that still run, must stay readable: keys never change, and a
missing field has a default. `task_folder` reads and writes the files.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from kelpfront.agent.process import ProcessIdentity
from kelpfront.agent.task_folder import Record

MAX_GRACE_S = 3_600.0  # bounds how long a stopping task holds its machine's capacity
DEFAULT_GRACE_MS = 10_000.0
DEFAULT_OUTPUT_BYTES = 1 << 20
DEFAULT_OUTPUT_FILES = 1
BY_AGENT = "agent"
BY_SUPERVISOR = "supervisor"
DEFAULT_STOP_CAUSE = "stopped"
EXIT_STATUS_UNKNOWN = "its exit status is not known: its supervisor had died"


def supervisor_claim(supervisor: ProcessIdentity) -> Record:
    """Return the claim record of a supervisor that is about to start the process."""
    return {"by": BY_SUPERVISOR, **supervisor.to_record()}


def agent_claim() -> Record:
    """Return the claim record with which an agent voids a start."""
    return {"by": BY_AGENT}


def is_void_claim(claim: Record) -> bool:
    """Return whether a claim voids the start."""
    return claim.get("by") == BY_AGENT


@dataclass(frozen=True, slots=True)
class CommandRecord:
    """The command of a task; an empty `workdir` means a work folder inside the task's folder."""

    argv: list[str]
    workdir: str
    env: dict[str, str]


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """The part of a task's record that its supervisor uses; `command` is None if the record has none."""

    command: CommandRecord | None
    grace_s: float
    output_bytes: int
    output_files: int

    @classmethod
    def from_record(cls, record: Record) -> TaskSpec:
        """Decode a task's record, which may be empty."""
        run: dict[str, Any] = record.get("run") or {}
        command = None
        if "argv" in run and "env" in record:
            command = CommandRecord(run["argv"], run.get("workdir") or "", record["env"])
        return cls(
            command,
            limit_grace_s(run.get("grace_ms", DEFAULT_GRACE_MS)),
            record.get("log_bytes", DEFAULT_OUTPUT_BYTES),
            record.get("log_files", DEFAULT_OUTPUT_FILES),
        )


@dataclass(frozen=True, slots=True)
class StopRecord:
    """The cause of a requested stop, and the grace period from SIGTERM to SIGKILL in milliseconds."""

    cause: str
    grace_ms: float | None

    def to_record(self) -> Record:
        """Return the stored form."""
        return {"cause": self.cause, "grace_ms": self.grace_ms}

    @classmethod
    def from_record(cls, record: Record) -> StopRecord:
        """Decode the stored form."""
        return cls(record.get("cause", DEFAULT_STOP_CAUSE), record.get("grace_ms"))


@dataclass(frozen=True, slots=True)
class ExitRecord:
    """How a task ended; `ran` is False if its program was never loaded, `at` is a Unix time in seconds.

    The exit code and the CPU time are None if they are not known.
    """

    ran: bool
    at: float | None
    code: int | None = None
    cpu_s: float | None = None
    error: str = ""

    def to_record(self) -> Record:
        """Return the stored form."""
        record: Record = {"ran": self.ran, "at": self.at}
        if self.ran:
            record["code"] = self.code
            record["cpu_s"] = self.cpu_s
        if self.error or not self.ran:
            record["error"] = self.error
        return record

    @classmethod
    def from_record(cls, record: Record) -> ExitRecord:
        """Decode the stored form."""
        return cls(
            bool(record.get("ran", True)),
            record.get("at"),
            record.get("code"),
            record.get("cpu_s"),
            str(record.get("error", "")),
        )


def limit_grace_s(grace_ms: float) -> float:
    """Return a grace period in seconds, at most `MAX_GRACE_S`."""
    return min(MAX_GRACE_S, grace_ms / 1000.0)
