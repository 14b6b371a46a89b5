"""What a task's folder and the host say of it: the evidence that `recovery` judges."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from kelpfront.agent import folders
from kelpfront.agent.folders import Record, UnreadableError
from kelpfront.agent.process import Identity, alive
from kelpfront.agent.recovery import Claim, Evidence
from kelpfront.machine.messages import OfferRequest


@dataclass(frozen=True, slots=True)
class Found:
    """One folder, read. `supervisor` is who looks after it, if anybody was to; `stop` why it is to stop."""

    evidence: Evidence
    supervisor: Identity | None = None
    process: Identity | None = None
    stop: Record | None = None
    exit: Record | None = None


def look(folder: Path, boot: str, intent_boot: str) -> Found:
    """Reads a folder; `intent_boot` is the boot of the host in which the start was intended."""
    damaged = False

    def get(name: str) -> Record | None:
        nonlocal damaged
        try:
            return folders.read(folder, name)
        except UnreadableError:
            damaged = True
            return None

    its_exit = get(folders.EXIT)
    claim: Claim = "none"
    try:
        claimed = folders.read(folder, folders.CLAIM)
        if claimed is not None:
            claim = "void" if claimed.get("by") == "agent" else "supervisor"
    except UnreadableError:
        claimed, claim = None, "unreadable"
    started = get(folders.STARTED)
    try:
        _, watch = folders.last_watch(folder)
    except UnreadableError:
        watch, damaged = None, True
    supervisor = _identity(watch) or _identity(claimed)
    process = _identity(started)
    evidence = Evidence(
        same_boot=intent_boot == boot,
        claim=claim,
        started=started is not None,
        running=get(folders.RUNNING) is not None,
        exit_ran=None if its_exit is None else bool(its_exit.get("ran", True)),
        supervisor_alive=supervisor is not None and alive(supervisor, boot),
        process_alive=process is not None and alive(process, boot),
        damaged=damaged,
    )
    return Found(evidence, supervisor, process, get(folders.STOP), its_exit)


def _identity(record: Record | None) -> Identity | None:
    try:
        return None if record is None else Identity(record["pid"], record["ticks"], record["boot"])
    except KeyError:
        return None


def void_start(folder: Path) -> bool:
    """Claims a start so that no supervisor can; False where one has."""
    folder.mkdir(parents=True, exist_ok=True)
    return folders.write_once(folder, folders.CLAIM, {"by": "agent"})


def task_record(request: OfferRequest, boot: str, since: float, env: dict[str, str], log: Any) -> Record:
    """What a supervisor needs of a task, and a later agent that has lost its state."""
    run = request.offer.run
    assert run is not None
    return {
        "request": msgspec.to_builtins(request),
        "boot": boot,
        "since": since,
        "run": {"argv": list(run.argv), "workdir": run.workdir, "grace_ms": run.grace_ms},
        "env": env,
        **log,
    }


def request_of(record: Record) -> OfferRequest:
    """The offer that a task was started for; UnreadableError where it is not to be had."""
    try:
        return msgspec.convert(record["request"], OfferRequest)
    except (KeyError, msgspec.ValidationError) as error:
        raise UnreadableError(f"task record: {error}") from None
