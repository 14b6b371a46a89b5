"""Idempotency records that agents share through a directory."""

from __future__ import annotations

from pathlib import Path

from kelpfront.agent.idempotency_records import FileIdempotencyRecords, LocalIdempotencyRecords


def test_one_task_of_a_key_runs_among_agents(tmp_path: Path) -> None:
    one = FileIdempotencyRecords(tmp_path)
    two = FileIdempotencyRecords(tmp_path)
    assert one.claim("hall", "k", "n1", "t1") is None
    assert one.claim("hall", "k", "n1", "t1") is None, "its own"
    assert two.claim("hall", "k", "n2", "t9") == ("n1", "t1") == two.holder("hall", "k")
    assert two.claim("attic", "k", "n2", "t9") is None
    two.remove("hall", "k", "n2", "t9")
    assert two.holder("hall", "k") == ("n1", "t1"), "not its own to remove"
    one.remove_machine("n1", frozenset({"t1"}))
    assert two.holder("hall", "k") == ("n1", "t1")
    one.remove_machine("n1")
    assert two.holder("hall", "k") is None
    assert two.holder("attic", "k") == ("n2", "t9")


def test_a_key_whose_record_is_unreadable_counts_as_held(tmp_path: Path) -> None:
    records = FileIdempotencyRecords(tmp_path)
    records.claim("hall", "k", "n1", "t1")
    next(tmp_path.glob("*.copy")).write_text("{")
    assert records.claim("hall", "k", "n2", "t2") is not None


def test_without_a_shared_directory_only_the_machine_itself_is_a_scope() -> None:
    records = LocalIdempotencyRecords("hall/rack/n1")
    assert records.claim("hall", "k", "n1", "t1") is not None
    assert records.holder("hall", "k") is not None
    assert records.claim("hall/rack/n1", "k", "n1", "t1") is None
    assert records.claim("hall/rack/n1", "k", "n1", "t2") == ("n1", "t1")
    records.remove("hall/rack/n1", "k", "n1", "t1")
    assert records.holder("hall/rack/n1", "k") is None
