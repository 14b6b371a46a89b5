"""Samples of the folders on disk: the store's write-ahead log and an agent's state."""

from __future__ import annotations

import asyncio
import shutil
import sqlite3
import tempfile
from collections.abc import Callable
from pathlib import Path

from surface_golden import BOOT, GOLDEN, SEED, as_json
from surface_machines import OFFER, PLAIN_OFFER

from kelpfront.agent import evidence, task_folder
from kelpfront.agent.evidence import FolderInspection, OutputLimits
from kelpfront.agent.state import AgentState
from kelpfront.agent.state_records import TaskEnd, TaskRecord
from kelpfront.machine import messages as machine
from kelpfront.store.log_directory import HostDirectory
from kelpfront.store.write_ahead_log import WriteAheadLog

JOURNAL, AGENT_STATE = GOLDEN / "journal", GOLDEN / "agent-state"


def write_journal(folder: Path) -> None:
    """Write a store's folder: a snapshot and the records appended after it."""
    directory = HostDirectory(folder)
    log = WriteAheadLog(directory, lambda: SEED)
    log.open()
    for number in range(3):
        log.append(f"record {number}".encode())
    log.snapshot([b"part 1", b"part 2"])
    for number in range(3, 5):
        log.append(f"record {number}".encode())
        log.commit()
    log.close()
    directory.release()
    (folder / "lock").unlink()


def read_journal(folder: Path) -> bytes:
    directory = HostDirectory(folder)
    log = WriteAheadLog(directory, lambda: SEED)
    recovered = log.open()
    log.close()
    directory.release()
    records = [
        [record.sequence, record.durable_sequence, record.payload.decode()] for record in recovered.records
    ]
    snapshot = [part.decode() for part in recovered.snapshot or ()]
    return as_json([snapshot, records, recovered.torn_tails])


def write_agent_state(folder: Path) -> None:
    """Write an agent's folder: its state with a running and an ended task, and the folders of both tasks."""
    asyncio.run(_write_state(folder))
    for name in ("uid-a-2@1", "uid-b-0@0"):
        (folder / "tasks" / name).mkdir(parents=True)
    ended, running = folder / "tasks" / "uid-a-2@1", folder / "tasks" / "uid-b-0@0"
    identity = {"pid": 4_000_001, "ticks": 77, "boot": BOOT}
    request = machine.OfferRequest("p0", "life-1", OFFER)
    record = evidence.encode_task_record(request, BOOT, 1e9, {"PATH": "/bin"}, OutputLimits(4096, 1))
    task_folder.write_once(ended, task_folder.TASK, record)
    task_folder.write_once(ended, task_folder.CLAIM, {"by": "supervisor", **identity})
    task_folder.write_once(ended, task_folder.STARTED, {**identity, "at": 1e9})
    task_folder.write_once(ended, task_folder.RUNNING, {"at": 1e9})
    task_folder.write_once(ended, task_folder.replacement_name(1), identity)
    task_folder.write_once(ended, task_folder.STOP, {"cause": "evicted", "grace_ms": 2500.0})
    task_folder.write_once(ended, task_folder.EXIT, {"ran": True, "at": 1e9, "code": 3, "cpu_s": 0.25})
    evidence.void_start(running)


async def _write_state(folder: Path) -> None:
    state = AgentState(folder)
    state.open()
    state.start()
    ended = TaskRecord(machine.OfferRequest("p0", "life-1", OFFER), BOOT, 1e9, 1)
    await state.record_intent(ended)
    ended.end = TaskEnd("failed", True, 3, 0.25, "exit status 3")
    ended.end_seq = 13
    await state.record_end(ended)
    await state.record_acknowledged([ended.key])
    await state.record_intent(TaskRecord(machine.OfferRequest("p1", "life-2", PLAIN_OFFER), BOOT, 2e9, 0))
    await state.set_metadata("unschedulable", "1")
    await state.close()


def dump_state(folder: Path) -> bytes:
    """Return the state file as SQL, because its bytes depend on the version of SQLite."""
    db = sqlite3.connect(f"file:{folder / 'state.db'}?mode=ro", uri=True)
    try:
        return "\n".join([*db.iterdump(), ""]).encode()
    finally:
        db.close()


def read_agent_state(folder: Path) -> bytes:
    """Return everything that a starting agent reads from its folder.

    Reading changes the folder, so callers pass a copy.
    """
    state = AgentState(folder)
    stored = state.open()
    asyncio.run(state.close())
    paths = sorted((folder / "tasks").iterdir())
    inspections = [_stored_forms(evidence.inspect_folder(path, "boot-2", BOOT)) for path in paths]
    task = task_folder.read_record(folder / "tasks" / "uid-a-2@1", task_folder.TASK)
    assert task is not None
    return as_json([stored, inspections, evidence.decode_task_request(task)])


def _stored_forms(inspection: FolderInspection) -> list[object]:
    """Return an inspection with its stop and exit records in their stored form, with every key."""
    stop, exited = inspection.stop, inspection.exit
    return [
        inspection.evidence,
        inspection.supervisor,
        inspection.process,
        None if stop is None else stop.to_record(),
        None if exited is None else exited.to_record(),
    ]


def journal_read() -> bytes:
    return _read_copy(JOURNAL, read_journal)


def agent_state_read() -> bytes:
    return _read_copy(AGENT_STATE, read_agent_state)


def agent_state_dump() -> bytes:
    return _read_copy(AGENT_STATE, dump_state)


def _read_copy(folder: Path, read: Callable[[Path], bytes]) -> bytes:
    with tempfile.TemporaryDirectory() as temporary_folder:
        return read(Path(shutil.copytree(folder, Path(temporary_folder) / "copy")))


def file_contents(folder: Path) -> dict[str, bytes]:
    paths = sorted(path for path in folder.rglob("*") if path.is_file())
    return {str(path.relative_to(folder)): path.read_bytes() for path in paths}
