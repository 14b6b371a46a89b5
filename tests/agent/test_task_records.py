"""Stored forms of a task folder's records, including those written by older agents and their supervisors."""

from __future__ import annotations

from typing import Any

import pytest

from kelpfront.agent.process import ProcessIdentity
from kelpfront.agent.task_records import (
    MAX_GRACE_S,
    CommandRecord,
    ExitRecord,
    StopRecord,
    TaskSpec,
    agent_claim,
    is_void_claim,
    supervisor_claim,
)


@pytest.mark.parametrize(
    "stored",
    [
        {"ran": True, "at": 1.5, "code": 3, "cpu_s": 0.25},
        {"ran": True, "at": 1.5, "code": None, "cpu_s": None, "error": "its exit status is not known"},
        {"ran": False, "at": 1.5, "error": "command x: No such file or directory"},
    ],
)
def test_an_exit_record_is_encoded_as_it_was_decoded(stored: dict[str, Any]) -> None:
    record = ExitRecord.from_record(stored).to_record()
    assert record == stored
    assert list(record) == list(stored)


def test_a_stop_record_is_encoded_as_it_was_decoded() -> None:
    stored = {"cause": "evicted", "grace_ms": 2500.0}
    assert StopRecord.from_record(stored).to_record() == stored


def test_an_identity_is_encoded_as_it_was_decoded() -> None:
    stored = {"pid": 70, "ticks": 1000, "boot": "b1"}
    assert ProcessIdentity.from_record(stored).to_record() == stored
    with pytest.raises(KeyError):
        ProcessIdentity.from_record({"pid": 70})


def test_only_the_claim_of_an_agent_voids_a_start() -> None:
    assert is_void_claim(agent_claim())
    assert not is_void_claim(supervisor_claim(ProcessIdentity(70, 1000, "b1")))


def test_missing_fields_of_a_task_record_have_defaults() -> None:
    assert TaskSpec.from_record({}) == TaskSpec(None, 10.0, 1 << 20, 1)


def test_the_grace_period_of_a_task_record_is_limited() -> None:
    run = {"argv": ["true"], "workdir": "/srv", "grace_ms": 1e9}
    spec = TaskSpec.from_record({"run": run, "env": {"A": "b"}, "log_bytes": 4096, "log_files": 2})
    assert spec == TaskSpec(CommandRecord(["true"], "/srv", {"A": "b"}), MAX_GRACE_S, 4096, 2)
