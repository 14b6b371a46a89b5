"""Collects evidence about a task from its folder and the host's processes, and encodes its task record.

`recovery` interprets the evidence.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import cast

import msgspec

from kelpfront.agent import task_folder
from kelpfront.agent.process import ProcessIdentity, is_running
from kelpfront.agent.recovery import ClaimState, Evidence
from kelpfront.agent.task_folder import Record, UnreadableRecordError
from kelpfront.agent.task_records import ExitRecord, StopRecord, agent_claim, is_void_claim
from kelpfront.machine.messages import GoneCause, OfferRequest


@dataclass(frozen=True, slots=True)
class FolderInspection:
    """The content of one task folder, and whether the processes that it names run.

    Attributes:
        evidence: the input of `recovery.classify`.
        supervisor: the last supervisor, if a claim or a replacement record names one.
        process: the task's first process, if it is recorded.
        stop: the stop record, if the task was requested to stop.
        exit: the exit record, if there is one.
    """

    evidence: Evidence
    supervisor: ProcessIdentity | None = None
    process: ProcessIdentity | None = None
    stop: StopRecord | None = None
    exit: ExitRecord | None = None

    @property
    def stop_cause(self) -> GoneCause | None:
        """The cause of the requested stop, or None; agents write only causes of the machine protocol."""
        return None if self.stop is None else cast("GoneCause", self.stop.cause)


@dataclass(frozen=True, slots=True)
class OutputLimits:
    """Limits of a task's output: bytes per file, and the number of older files kept after rotation."""

    file_bytes: int
    older_files: int


class _FolderReader:
    """Reads records of one folder; `damaged` is set once one of them cannot be read."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.damaged = False

    def read(self, name: str) -> Record | None:
        """Return a record, or None if it does not exist or is damaged."""
        try:
            return task_folder.read_record(self._folder, name)
        except UnreadableRecordError:
            self.damaged = True
            return None

    def read_last_replacement(self) -> Record | None:
        """Return the record of the last replacement supervisor, or None if there is none."""
        try:
            return task_folder.last_replacement(self._folder).record
        except UnreadableRecordError:
            self.damaged = True
            return None


def inspect_folder(folder: Path, boot_id: str, intent_boot_id: str) -> FolderInspection:
    """Read a task's folder, and check which of its processes run.

    `boot_id` is the host's current boot, `intent_boot_id` the boot in which the start was recorded.
    """
    reader = _FolderReader(folder)
    exit_record = reader.read(task_folder.EXIT)
    claim_state, claim = _read_claim(folder)
    started = reader.read(task_folder.STARTED)
    replacement = reader.read_last_replacement()
    supervisor = _identity(replacement) or _identity(claim)
    process = _identity(started)
    running = reader.read(task_folder.RUNNING)
    decoded_exit = None if exit_record is None else ExitRecord.from_record(exit_record)
    evidence = Evidence(
        same_boot=intent_boot_id == boot_id,
        claim=claim_state,
        started=started is not None,
        running=running is not None,
        exit_ran=None if decoded_exit is None else decoded_exit.ran,
        supervisor_runs=supervisor is not None and is_running(supervisor, boot_id),
        process_runs=process is not None and is_running(process, boot_id),
        damaged=reader.damaged,
    )
    # Read after `damaged` was evaluated: a damaged stop record does not affect whether the task ran.
    stop_record = reader.read(task_folder.STOP)
    stop = None if stop_record is None else StopRecord.from_record(stop_record)
    return FolderInspection(evidence, supervisor, process, stop, decoded_exit)


def _read_claim(folder: Path) -> tuple[ClaimState, Record | None]:
    try:
        claim = task_folder.read_record(folder, task_folder.CLAIM)
    except UnreadableRecordError:
        return "unreadable", None
    if claim is None:
        return "none", None
    return ("void" if is_void_claim(claim) else "supervisor"), claim


def _identity(record: Record | None) -> ProcessIdentity | None:
    if record is None:
        return None
    try:
        return ProcessIdentity.from_record(record)
    except KeyError:
        return None


def void_start(folder: Path) -> bool:
    """Claim a start so that no supervisor can claim it; return False if it was already claimed.

    Raises OSError.
    """
    folder.mkdir(parents=True, exist_ok=True)
    return task_folder.write_once(folder, task_folder.CLAIM, agent_claim())


def encode_task_record(
    request: OfferRequest, boot_id: str, since: float, env: dict[str, str], output: OutputLimits
) -> Record:
    """Return a task's record, for its supervisor and for a later agent that has lost its state.

    `since` is when the start was recorded as intended, in milliseconds of the cluster's clock.
    """
    command = request.offer.run
    assert command is not None
    return {
        "request": msgspec.to_builtins(request),
        "boot": boot_id,
        "since": since,
        "run": {"argv": list(command.argv), "workdir": command.workdir, "grace_ms": command.grace_ms},
        "env": env,
        "log_bytes": output.file_bytes,
        "log_files": output.older_files,
    }


def decode_task_request(record: Record) -> OfferRequest:
    """Return the offer from a task's record. Raises UnreadableRecordError."""
    try:
        return msgspec.convert(record["request"], OfferRequest)
    except (KeyError, msgspec.ValidationError) as error:
        raise UnreadableRecordError(f"task record: {error}") from error
