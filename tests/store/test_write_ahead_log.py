"""The write-ahead log with a crash at every operation: committed records survive, no false ones appear."""

from __future__ import annotations

import contextlib
import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.lab.faultyfiles import CrashError, FaultyFiles
from kelpfront.lab.storecost import measure_store
from kelpfront.store.errors import LogCorruptedError, LogFailedError, LogLockedError
from kelpfront.store.log_directory import HostDirectory
from kelpfront.store.segments import classify_files, segment_name, snapshot_name
from kelpfront.store.write_ahead_log import WriteAheadLog

APPEND, COMMIT, SNAPSHOT = "append", "commit", "snapshot"
Operation = str  # APPEND, COMMIT or SNAPSHOT
OPERATIONS = st.lists(st.sampled_from([APPEND, APPEND, APPEND, COMMIT, COMMIT, SNAPSHOT]), max_size=14)


class LogModel:
    """A log, and the list of payloads that it should contain. A snapshot has one part for each payload."""

    def __init__(self, directory: FaultyFiles, seed: int = 0, max_segment_bytes: int = 200) -> None:
        self.rng = random.Random(seed)
        self.directory = directory
        self.appended: list[bytes] = []
        self.committed_count = 0
        self.log = WriteAheadLog(directory, lambda: self.rng.getrandbits(32), max_segment_bytes)

    def open(self) -> list[bytes]:
        recovered = self.log.open()
        state = [*(recovered.snapshot or ()), *(record.payload for record in recovered.records)]
        self.appended = list(state)
        self.committed_count = len(state)
        assert self.log.next_sequence == len(state) + 1
        return state

    def apply(self, operations: list[Operation]) -> None:
        for operation in operations:
            if operation == APPEND:
                payload = f"{len(self.appended)}/{self.rng.getrandbits(64):x}".encode()
                self.appended.append(payload)
                self.log.append(payload)
            elif operation == COMMIT:
                self.log.commit()
                self.committed_count = len(self.appended)
            else:
                self.log.snapshot(list(self.appended))
                self.committed_count = len(self.appended)


def open_model(directory: FaultyFiles, max_segment_bytes: int = 200) -> LogModel:
    model = LogModel(directory, max_segment_bytes=max_segment_bytes)
    model.open()
    return model


def crash_and_check(model: LogModel, seed: int) -> tuple[FaultyFiles, list[bytes]]:
    """Crash, and check that recovery returns all committed records and a prefix of the appended ones."""
    directory = model.directory.crashed(random.Random(seed))
    state = LogModel(directory, seed + 1).open()
    assert state[: model.committed_count] == model.appended[: model.committed_count]
    assert state == model.appended[: len(state)]
    return directory, state


@settings(max_examples=60)
@given(OPERATIONS, st.integers(0, 1000))
def test_a_crash_at_any_operation_loses_no_committed_record(operations: list[Operation], seed: int) -> None:
    uninterrupted = open_model(FaultyFiles())
    uninterrupted.apply(operations)
    for crash_at in range(1, uninterrupted.directory.operations + 1):
        model = LogModel(FaultyFiles(crash_at))
        with pytest.raises(CrashError):  # noqa: PT012 - the crash may happen during the recovery or after it
            model.open()
            model.apply(operations)
        crash_and_check(model, seed)


@settings(max_examples=40)
@given(OPERATIONS, OPERATIONS, st.integers(0, 1000))
def test_repeated_crashes_during_recovery_do_not_change_the_recovered_state(
    first: list[Operation], second: list[Operation], seed: int
) -> None:
    model = open_model(FaultyFiles())
    model.apply(first)
    directory, state = crash_and_check(model, seed)
    for crash_at in range(1, 12):
        crashing = directory.crashed(random.Random(seed + crash_at))
        crashing.crash_at = crash_at
        with contextlib.suppress(CrashError):
            assert LogModel(crashing, seed).open() == state
        directory = crashing.crashed(random.Random(seed * 31 + crash_at))
    recovered = LogModel(directory, seed + 5)
    assert recovered.open() == state
    recovered.apply(second)
    crash_and_check(recovered, seed + 9)


def test_after_one_failed_sync_the_log_accepts_no_more_records() -> None:
    directory = FaultyFiles(fails={6: OSError(5, "Input/output error")})
    log = open_model(directory).log
    log.append(b"a")
    with pytest.raises(LogFailedError, match="Input/output error"):  # noqa: PT012 - raised by one of the commits
        for _ in range(6):
            log.commit()
            log.append(b"b")
    with pytest.raises(LogFailedError):
        log.append(b"c")
    with pytest.raises(LogFailedError):
        log.commit()
    after_crash = LogModel(directory.crashed(random.Random(1)))
    assert set(after_crash.open()) <= {b"a", b"b"}


def test_a_full_disk_raises_an_error_and_keeps_durable_records() -> None:
    model = open_model(FaultyFiles())
    model.apply([APPEND, COMMIT])
    directory = model.directory
    directory.fails = {directory.operations + 1: OSError(28, "No space left on device")}
    model.log.append(b"more")
    with pytest.raises(LogFailedError, match="No space left"):
        model.log.commit()
    crash_and_check(model, 3)


def populated_directory() -> FaultyFiles:
    model = open_model(FaultyFiles())
    model.apply([APPEND] * 5 + [COMMIT, SNAPSHOT] + [APPEND, COMMIT] * 6)
    return model.directory


def populated_directory_with_flipped_bit(name: str, offset: int) -> FaultyFiles:
    damaged = populated_directory()
    damaged._names[name].data[offset] ^= 1 << (offset % 8)
    for file in damaged._names.values():
        file.synced = len(file.data)
    return damaged


def contents(directory: FaultyFiles) -> dict[str, bytes]:
    return {name: directory.read(name) for name in directory.names()}


def open_or_error(directory: FaultyFiles) -> list[bytes] | LogCorruptedError:
    try:
        return LogModel(directory).open()
    except LogCorruptedError as error:
        return error


def test_a_flipped_bit_in_durable_data_never_yields_a_false_record() -> None:
    directory = populated_directory()
    expected = LogModel(directory.crashed(random.Random(0))).open()
    rejected = truncated = 0
    for name in directory.names():
        for offset in range(len(directory.read(name))):
            damaged = populated_directory_with_flipped_bit(name, offset)
            before = contents(damaged)
            result = open_or_error(damaged)
            if isinstance(result, LogCorruptedError):
                assert name in str(result) or "log-" in str(result)
                assert contents(damaged) == before, "a rejected recovery leaves the directory unchanged"
                rejected += 1
            else:
                assert result == expected[: len(result)]
                truncated += len(result) < len(expected)
    assert rejected > 100
    # Damage to the last record of the last file is indistinguishable from an interrupted write.
    assert 0 < truncated < 60


def test_a_missing_segment_is_a_gap() -> None:
    directory = FaultyFiles()
    model = open_model(directory, max_segment_bytes=60)
    model.apply([APPEND, COMMIT] * 5)
    segments = classify_files(directory.names()).segments
    assert len(segments) > 3
    directory.remove(segment_name(segments[1]))
    with pytest.raises(LogCorruptedError, match="was expected"):
        LogModel(directory).open()


def test_a_snapshot_without_its_end_marker_is_rejected() -> None:
    directory = populated_directory()
    name = snapshot_name(classify_files(directory.names()).snapshots[-1])
    del directory._names[name].data[-10:]
    with pytest.raises(LogCorruptedError, match=name):
        LogModel(directory).open()


def test_a_snapshot_removes_the_files_that_it_supersedes() -> None:
    directory = FaultyFiles()
    model = open_model(directory, max_segment_bytes=60)
    for _ in range(20):
        model.apply([APPEND] * 5 + [COMMIT, SNAPSHOT])
        assert len(directory.names()) <= 3


class WithoutFileSync(FaultyFiles):
    """A faulty directory in which the sync of a file has no effect."""

    def sync(self, handle: int) -> None:  # noqa: ARG002 - an argument of the interface
        self._step()


class WithoutDirectorySync(FaultyFiles):
    """A faulty directory in which the sync of the directory has no effect."""

    def sync_directory(self) -> None:
        self._step()


@pytest.mark.parametrize("directory_class", [WithoutFileSync, WithoutDirectorySync])
def test_the_crash_checks_detect_missing_syncs(directory_class: type[FaultyFiles]) -> None:
    detected = 0
    for seed in range(20):
        model = open_model(directory_class())
        model.apply([APPEND, COMMIT, APPEND, COMMIT, SNAPSHOT, APPEND, COMMIT])
        try:
            crash_and_check(model, seed)
        except (AssertionError, LogCorruptedError):
            detected += 1
    assert detected > 3


def test_a_host_directory_is_locked_for_one_process_and_keeps_committed_records(tmp_path: Path) -> None:
    directory = HostDirectory(tmp_path / "store")
    with pytest.raises(LogLockedError, match="another process has this log open"):
        HostDirectory(tmp_path / "store")
    log = WriteAheadLog(directory, lambda: 5)
    assert log.open().records == ()
    for n in range(100):
        log.append(f"r{n}".encode())
    assert log.commit() == 100
    log.snapshot([b"state"])
    log.append(b"later")
    log.commit()
    log.close()
    directory.release()
    reopened = HostDirectory(tmp_path / "store")
    recovered = WriteAheadLog(reopened, lambda: 6).open()
    assert recovered.snapshot == (b"state",)
    assert [record.payload for record in recovered.records] == [b"later"]
    reopened.release()


def test_the_cost_of_durability_is_measured_for_each_storage_engine(tmp_path: Path) -> None:
    rows = measure_store((1, 5), 4, 2, tmp_path, lambda _: None)
    assert [(row["way"], row["group"]) for row in rows] == [
        (way, group) for group in (1, 5) for way in ("log", "sqlite", "lmdb")
    ]
    assert all(row["records_per_s"] > 0 and row["commit_ms"]["p50"] > 0 for row in rows)
    assert list(tmp_path.iterdir()) == []


def test_a_snapshot_with_an_invalid_part_is_rejected_before_any_file_changes() -> None:
    model = open_model(FaultyFiles())
    model.apply([APPEND, COMMIT])
    before = model.directory.names()
    with pytest.raises(ValueError, match="payload has 0 bytes, expected 1 to"):
        model.log.snapshot([b"valid", b""])
    assert model.directory.names() == before
    model.apply([SNAPSHOT, APPEND, COMMIT])
    crash_and_check(model, 1)


def test_uncommitted_bytes_are_bounded_by_an_automatic_commit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("kelpfront.store.write_ahead_log.MAX_UNCOMMITTED_BYTES", 100)
    model = open_model(FaultyFiles())
    before = model.directory.operations
    model.apply([APPEND] * 20)
    assert model.directory.operations > before
