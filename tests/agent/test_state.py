"""The agent's durable state: batched writes, failed writes, and damaged files."""

from __future__ import annotations

import asyncio
import sqlite3
from pathlib import Path

from machines import offer

from kelpfront.agent.state import AgentState
from kelpfront.agent.state_database import StateDatabase, StateError, write_record
from kelpfront.agent.state_records import TaskEnd, TaskKey, TaskRecord
from kelpfront.machine.messages import OfferRequest, TaskReport


def make_record(task: str, **changes: object) -> TaskRecord:
    return TaskRecord(OfferRequest("p0", "life", offer(task)), "boot", 1.0, 0, **changes)  # type: ignore[arg-type]


async def test_written_records_are_read_back_and_writes_share_transactions(tmp_path: Path) -> None:
    state = AgentState(tmp_path)
    assert state.open().records == []
    state.start()
    await asyncio.gather(*(state.record_intent(make_record(f"t{n}")) for n in range(200)))
    ended = make_record("t0", end=TaskEnd("ended", ran=True, exit_code=7, cpu_s=1.5), end_seq=9)
    await state.record_end(ended)
    await state.record_acknowledged([TaskKey("t0", 0)])
    await state.delete([TaskKey("t1", 0)])
    await state.set_metadata("seq", "5")
    assert state.writes == 204
    assert state.transactions < 60
    await state.close()
    stored = AgentState(tmp_path).open()
    by_task = {record.key.task: record for record in stored.records}
    assert len(by_task) == 199
    assert stored.metadata["seq"] == "5"
    ended.end_acknowledged = True
    assert by_task["t0"] == ended
    report = by_task["t0"].report()
    assert isinstance(report, TaskReport)
    assert (report.exit_code, report.cpu_s) == (7, 1.5)


async def test_a_failed_write_raises_and_the_other_writes_of_its_batch_are_kept(tmp_path: Path) -> None:
    state = AgentState(tmp_path, 64 << 10)
    state.open()
    state.start()
    writes = [state.record_intent(make_record(f"t{n}")) for n in range(2000)]
    outcomes = await asyncio.gather(*writes, return_exceptions=True)
    failed = [outcome for outcome in outcomes if isinstance(outcome, StateError)]
    assert failed
    assert "full" in str(failed[0])
    kept = {f"t{n}" for n, outcome in enumerate(outcomes) if outcome is None}
    await state.close()
    assert {record.key.task for record in AgentState(tmp_path).open().records} == kept
    assert kept


def test_readable_rows_are_recovered_from_a_damaged_state(tmp_path: Path) -> None:
    db = sqlite3.connect(tmp_path / "state.db")
    database = StateDatabase(tmp_path)
    database.open()
    database.close()
    db.close()
    db = sqlite3.connect(tmp_path / "state.db")
    for number in range(2000):
        write_record(db, make_record(f"t{number:04}"))
    db.commit()
    db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    db.close()
    path = tmp_path / "state.db"
    data = bytearray(path.read_bytes())
    offset = len(data) * 9 // 10 // 4096 * 4096
    data[offset : offset + 4096] = bytes(4096)
    path.write_bytes(data)
    opened = AgentState(tmp_path).open()
    assert opened.quarantine is not None
    assert opened.damage
    assert 100 < len(opened.records) < 2000
    assert (opened.quarantine / "state.db").read_bytes() == bytes(data)
