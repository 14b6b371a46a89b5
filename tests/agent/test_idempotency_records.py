"""Idempotency records that agents share through a directory, and records of a single machine."""

from __future__ import annotations

from pathlib import Path

from kelpfront.agent.idempotency_records import FileIdempotencyRecords, LocalIdempotencyRecords


def test_only_one_task_per_key_and_scope_holds_a_shared_record(tmp_path: Path) -> None:
    first = FileIdempotencyRecords(tmp_path)
    second = FileIdempotencyRecords(tmp_path)
    assert first.claim("hall", "k", "n1", "t1") is None
    assert first.claim("hall", "k", "n1", "t1") is None, "the claim of the same task is repeatable"
    assert second.claim("hall", "k", "n2", "t9") == ("n1", "t1") == second.holder("hall", "k")
    assert second.claim("attic", "k", "n2", "t9") is None
    second.remove("hall", "k", "n2", "t9")
    assert second.holder("hall", "k") == ("n1", "t1"), "only the holder can remove a record"
    first.remove_machine("n1", frozenset({"t1"}))
    assert second.holder("hall", "k") == ("n1", "t1")
    first.remove_machine("n1")
    assert second.holder("hall", "k") is None
    assert second.holder("attic", "k") == ("n2", "t9")


def test_a_key_whose_record_is_unreadable_counts_as_held(tmp_path: Path) -> None:
    records = FileIdempotencyRecords(tmp_path)
    records.claim("hall", "k", "n1", "t1")
    next(tmp_path.glob("*.copy")).write_text("{")
    assert records.claim("hall", "k", "n2", "t2") is not None


def test_without_a_shared_directory_only_the_machines_own_scope_can_be_claimed() -> None:
    records = LocalIdempotencyRecords("hall/rack/n1")
    assert records.claim("hall", "k", "n1", "t1") is not None
    assert records.holder("hall", "k") is not None
    assert records.claim("hall/rack/n1", "k", "n1", "t1") is None
    assert records.claim("hall/rack/n1", "k", "n1", "t2") == ("n1", "t1")
    records.remove("hall/rack/n1", "k", "n1", "t1")
    assert records.holder("hall/rack/n1", "k") is None
