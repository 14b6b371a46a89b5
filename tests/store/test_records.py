"""Log records: damaged bytes are never read as records, and gaps are distinguished from torn tails."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.store.errors import LogFormatError
from kelpfront.store.records import (
    FORMAT_VERSION,
    HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
    RECORD_PREFIX_BYTES,
    Damage,
    DamageKind,
    FileHeader,
    FileScan,
    encode_record,
    scan_file,
)

SALT = 7
FIRST_SEQUENCE = 100

payload_lists = st.lists(st.binary(min_size=1, max_size=60), max_size=8)


def file_of(payloads: list[bytes], salt: int = SALT, first_sequence: int = FIRST_SEQUENCE) -> bytes:
    """Return a file in which each record was written after the previous one was durable."""
    data = FileHeader(salt, first_sequence).encode()
    for sequence, payload in enumerate(payloads, first_sequence):
        data += encode_record(salt, sequence, payload, sequence - 1)
    return data


def record_ends(payloads: list[bytes]) -> list[int]:
    """Return the offsets after the header and after each record."""
    ends = [HEADER_BYTES]
    for payload in payloads:
        ends.append(ends[-1] + RECORD_PREFIX_BYTES + len(payload))
    return ends


def payloads_of(scan: FileScan) -> list[bytes]:
    return [record.payload for record in scan.records]


def damage_of(data: bytes) -> Damage:
    damage = scan_file(data).damage
    assert damage is not None
    return damage


@given(payload_lists, st.integers(0, 2**32 - 1), st.integers(1, 2**63))
def test_records_are_read_as_they_were_written(payloads: list[bytes], salt: int, first_sequence: int) -> None:
    data = file_of(payloads, salt, first_sequence)
    scan = scan_file(data)
    assert payloads_of(scan) == payloads
    sequences = [record.sequence for record in scan.records]
    assert sequences == list(range(first_sequence, first_sequence + len(payloads)))
    assert (scan.trusted_bytes, scan.damage) == (len(data), None)


@settings(max_examples=40)
@given(payload_lists)
def test_a_file_truncated_at_any_byte_keeps_its_complete_records_and_has_a_torn_tail(
    payloads: list[bytes],
) -> None:
    data, ends = file_of(payloads), record_ends(payloads)
    for length in range(len(data)):
        scan = scan_file(data[:length])
        complete = sum(end <= length for end in ends[1:]) if length >= HEADER_BYTES else 0
        assert payloads_of(scan) == payloads[:complete]
        if length in (0, *ends):
            assert scan.damage is None
        else:
            assert scan.damage is not None
            assert scan.damage.kind is DamageKind.TORN_TAIL
            assert scan.trusted_bytes == (ends[complete] if length >= HEADER_BYTES else 0)


@settings(max_examples=60)
@given(
    st.lists(st.binary(min_size=1, max_size=40), min_size=2, max_size=5), st.randoms(use_true_random=False)
)
def test_a_flipped_bit_is_never_read_and_is_a_gap_unless_in_the_last_record(
    payloads: list[bytes], rng: random.Random
) -> None:
    data, ends = file_of(payloads), record_ends(payloads)
    for _ in range(20):
        offset = rng.randrange(HEADER_BYTES, len(data))
        damaged = bytearray(data)
        damaged[offset] ^= 1 << rng.randrange(8)
        scan = scan_file(bytes(damaged))
        intact_count = sum(end <= offset for end in ends[1:])
        assert payloads_of(scan) == payloads[:intact_count]
        assert scan.damage is not None
        assert scan.trusted_bytes == ends[intact_count]
        is_last = intact_count == len(payloads) - 1
        assert scan.damage.kind is (DamageKind.TORN_TAIL if is_last else DamageKind.GAP)
        if not is_last:
            resumes = (scan.damage.resume_offset, scan.damage.resume_sequence)
            assert resumes == (ends[intact_count + 1], FIRST_SEQUENCE + 1 + intact_count)


@settings(max_examples=60)
@given(
    st.lists(st.binary(min_size=1, max_size=40), min_size=1, max_size=5), st.binary(min_size=1, max_size=80)
)
def test_random_bytes_after_the_records_are_a_torn_tail(payloads: list[bytes], rest: bytes) -> None:
    scan = scan_file(file_of(payloads) + rest)
    assert payloads_of(scan) == payloads
    assert scan.damage is not None
    assert scan.damage.kind is DamageKind.TORN_TAIL


def test_zeros_after_the_records_are_a_torn_tail() -> None:
    """Some file systems extend a file before they write its blocks."""
    scan = scan_file(file_of([b"a", b"b"]) + bytes(4096))
    assert len(scan.records) == 2
    assert scan.damage is not None
    assert scan.damage.kind is DamageKind.TORN_TAIL


def test_a_payload_that_contains_a_record_of_another_file_is_not_read_as_a_record() -> None:
    other_salt = SALT + 1
    forged = encode_record(other_salt, 105, b"forged", 104)
    torn = file_of([b"a", b"x" + forged + b"y"])[:-1]
    scan = scan_file(torn)
    assert payloads_of(scan) == [b"a"]
    assert scan.damage is not None
    assert scan.damage.kind is DamageKind.TORN_TAIL
    # With the same salt it is indistinguishable from a later record of the file, hence the salt per file.
    same_salt = file_of([b"a", b"x" + encode_record(SALT, 105, b"forged", 104) + b"y"])[:-1]
    assert damage_of(same_salt).kind is DamageKind.GAP


def test_a_missing_record_is_a_gap() -> None:
    header = FileHeader(SALT, 100).encode()
    damage = damage_of(header + encode_record(SALT, 100, b"a") + encode_record(SALT, 102, b"c", 101))
    assert (damage.kind, damage.resume_sequence) == (DamageKind.GAP, 102)
    assert damage.message == "record 102 where 101 was expected"


def test_a_damaged_header_followed_by_records_is_a_gap() -> None:
    data = bytearray(file_of([b"a"]))
    data[12] ^= 1
    scan = scan_file(bytes(data))
    assert scan.records == ()
    assert scan.damage is not None
    assert scan.damage.kind is DamageKind.GAP


def test_a_file_of_another_program_or_a_newer_version_is_rejected() -> None:
    with pytest.raises(LogFormatError, match="is not a kelpfront log"):
        scan_file(b"SQLite format 3\0" + bytes(100))
    newer = FORMAT_VERSION + 1
    with pytest.raises(
        LogFormatError, match=f"format {newer}, but this version reads only up to {FORMAT_VERSION}"
    ):
        scan_file(FileHeader(1, 1, newer).encode())


@pytest.mark.parametrize("size", [0, MAX_PAYLOAD_BYTES + 1])
def test_a_payload_of_an_invalid_size_is_rejected(size: int) -> None:
    with pytest.raises(ValueError, match=r"payload has \d+ bytes, expected 1 to"):
        encode_record(1, 1, bytes(size))


def test_records_of_one_commit_may_reach_the_disk_in_any_order() -> None:
    """The first of three records of one write is damaged, so none of the three was durable."""
    durable = FileHeader(SALT, 100).encode() + encode_record(SALT, 100, b"a", 99)
    together = [encode_record(SALT, 101 + n, b"b" * 20, 100) for n in range(3)]
    first_damaged = durable + bytes(len(together[0])) + together[1] + together[2]
    scan = scan_file(first_damaged)
    assert payloads_of(scan) == [b"a"]
    assert scan.damage is not None
    assert scan.damage.kind is DamageKind.TORN_TAIL
    later = encode_record(SALT, 104, b"c", 103)  # states that the three were durable
    assert damage_of(first_damaged + later).kind is DamageKind.GAP
