"""Folders on disk: those that an earlier version wrote are read, and the same is written today.

`tests/store/test_write_ahead_log.py` and `tests/agent/test_agent.py` hold what becomes of folders after
crashes and damage.
Golden files are rewritten as `surface_samples` says.
"""

from __future__ import annotations

from pathlib import Path

import pytest
from agents import running_agent
from surface_folders import AGENT_STATE, JOURNAL, dump_state, files_of, write_agent_state, write_journal
from surface_golden import golden
from surface_samples import SAMPLES
from waiting import until

STATE_FILE = "state.db"  # its bytes depend on the library's version; its content is compared
RECORD_KEYS = {
    "task": ["boot", "env", "log_bytes", "log_files", "request", "run", "since"],
    "claim": ["boot", "by", "pid", "ticks"],
    "started": ["at", "boot", "pid", "ticks"],
    "running": ["at"],
    "stop": ["cause", "grace_ms"],
    "exit": ["at", "code", "cpu_s", "ran"],
}


@pytest.mark.parametrize("name", ["journal-read.json", "agent-state-read.json", "agent-state.sql"])
def test_what_an_earlier_version_wrote_is_read(name: str) -> None:
    assert SAMPLES[name]() == golden(name)


def test_a_journal_is_written_byte_for_byte(tmp_path: Path) -> None:
    write_journal(tmp_path)
    assert files_of(tmp_path) == files_of(JOURNAL)


def test_an_agents_state_is_written_as_it_was(tmp_path: Path) -> None:
    write_agent_state(tmp_path)
    written, kept = files_of(tmp_path), files_of(AGENT_STATE)
    assert written.pop(STATE_FILE)
    assert kept.pop(STATE_FILE)
    assert written == kept
    assert dump_state(tmp_path) == golden("agent-state.sql")


async def test_the_records_of_a_task_have_the_keys_that_later_agents_look_for(tmp_path: Path) -> None:
    async with running_agent(tmp_path) as its:
        await its.offer("t1")
        assert await its.stop("t1") in ("stopped", "stopping")
        await until(lambda: its.record("t1", "exit"))
        records = {name: its.record("t1", name) for name in RECORD_KEYS}
    assert {name: sorted(record or {}) for name, record in records.items()} == RECORD_KEYS
    claim, ended = records["claim"], records["exit"]
    assert claim is not None
    assert claim["by"] == "supervisor"
    assert ended is not None
    assert ended["ran"] is True
