"""Folders on disk: this version reads what an earlier version wrote, and writes the same content.

`tests/store/test_write_ahead_log.py` and `tests/agent` test recovery after crashes and damage.
`surface_samples` explains how to rewrite the golden files.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from agents import running_agent
from surface_folders import AGENT_STATE, JOURNAL, dump_state, file_contents, write_agent_state, write_journal
from surface_golden import golden
from surface_samples import SAMPLES
from waiting import until

STATE_FILE = "state.db"  # compared as SQL, because its bytes depend on the version of SQLite
RECORD_KEYS = {
    "task": ["boot", "env", "log_bytes", "log_files", "request", "run", "since"],
    "claim": ["boot", "by", "pid", "ticks"],
    "started": ["at", "boot", "pid", "ticks"],
    "running": ["at"],
    "stop": ["cause", "grace_ms"],
    "exit": ["at", "code", "cpu_s", "ran"],
}


@pytest.mark.parametrize("name", ["journal-read.json", "agent-state-read.json", "agent-state.sql"])
def test_folders_of_an_earlier_version_are_readable(name: str) -> None:
    assert SAMPLES[name]() == golden(name)


def test_journal_is_written_byte_for_byte(tmp_path: Path) -> None:
    write_journal(tmp_path)
    assert file_contents(tmp_path) == file_contents(JOURNAL)


def test_agent_state_matches_the_golden_folder(tmp_path: Path) -> None:
    write_agent_state(tmp_path)
    written, expected = file_contents(tmp_path), file_contents(AGENT_STATE)
    assert written.pop(STATE_FILE)
    assert expected.pop(STATE_FILE)
    assert written == expected
    assert dump_state(tmp_path) == golden("agent-state.sql")


async def test_task_records_have_the_keys_that_later_agents_read(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as agent:
        await agent.offer("t1")
        assert await agent.stop("t1") in ("stopped", "stopping")
        await until(lambda: agent.record("t1", "exit"))
        records = {name: agent.record("t1", name) for name in RECORD_KEYS}
    assert {name: sorted(record or {}) for name, record in records.items()} == RECORD_KEYS
    claim, exited = records["claim"], records["exit"]
    assert claim is not None
    assert claim["by"] == "supervisor"
    assert exited is not None
    assert exited["ran"] is True
