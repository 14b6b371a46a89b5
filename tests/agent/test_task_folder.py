"""Records of a task's folder, and the race between agent and supervisor for the claim of a start."""

from __future__ import annotations

from pathlib import Path

import pytest

from kelpfront.agent.evidence import inspect_folder, void_start
from kelpfront.agent.recovery import RecoveredState, classify
from kelpfront.agent.task_folder import EXIT, STARTED, folder_name, read_record, write_once


@pytest.mark.parametrize("uid", ["", ".", "..", "../x", "a/b", "a\0b", ".hidden", "x" * 201, "a b", "é"])
def test_uids_that_are_not_safe_file_names_are_rejected(uid: str) -> None:
    with pytest.raises(ValueError, match="not a task's uid"):
        folder_name(uid, 0)


def test_a_record_is_written_once_and_a_second_write_has_no_effect(tmp_path: Path) -> None:
    assert write_once(tmp_path, STARTED, {"pid": 1})
    assert not write_once(tmp_path, STARTED, {"pid": 2})
    assert read_record(tmp_path, STARTED) == {"pid": 1}
    assert [path.name for path in tmp_path.iterdir()] == ["started.json"]


def test_only_one_of_agent_and_supervisor_claims_a_start(tmp_path: Path) -> None:
    folder = tmp_path / "t@0"
    assert classify(inspect_folder(folder, "b", "b").evidence) is RecoveredState.UNCLAIMED
    assert void_start(folder)
    assert not write_once(folder, "claim", {"by": "supervisor", "pid": 1, "ticks": 1, "boot": "b"})
    assert classify(inspect_folder(folder, "b", "b").evidence) is RecoveredState.NOT_EXECUTED


def test_a_task_with_unreadable_records_is_treated_as_one_that_may_have_run(tmp_path: Path) -> None:
    folder = tmp_path / "t@0"
    write_once(folder.parent, "x", {})
    folder.mkdir()
    write_once(folder, "claim", {"by": "supervisor", "pid": 2**22 + 1, "ticks": 1, "boot": "b"})
    (folder / f"{EXIT}.json").write_text('{"ran": tr')
    assert classify(inspect_folder(folder, "b", "b").evidence) is RecoveredState.ENDED_UNOBSERVED
    (folder / "claim.json").write_text("[]")
    assert inspect_folder(folder, "b", "b").evidence.claim == "unreadable"
