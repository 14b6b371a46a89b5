"""The byte format of log files, and the detection of damage in them. No I/O.

A file starts with a header. Records follow, each with its length, a CRC32C checksum and its sequence number.
`segments` decides which files form a log, and `write_ahead_log` reads and writes the files.

The checksum includes a random salt, which differs between files. Bytes that a client put into a job, even a
copy of a record of another file, are therefore never mistaken for a record of this file.

Each record also contains the sequence number up to which records were durable when it was written. The disk
may write the blocks of one write in any order, so an intact record after a damaged one does not prove that
the damaged one was ever durable.

Damage after the last intact record is either a **torn tail**, which a crash during a write leaves and
recovery drops, or a **gap**, in which durable records are missing. A gap is an error that an operator must
resolve, because continuing would lose accepted jobs.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto
from typing import NamedTuple

import google_crc32c

from kelpfront.store.errors import LogFormatError

MAGIC = b"KELPLOG\n"
FORMAT_VERSION = 1
MAX_PAYLOAD_BYTES = 16 << 20  # exceeds the largest request body that the API accepts
_HEADER = struct.Struct("<8sHxxIQ")  # magic, format version, salt, first sequence number
_HEADER_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _HEADER.size + _HEADER_CHECKSUM.size
_RECORD_PREFIX = struct.Struct("<IIQQ")  # payload length, checksum, sequence number, durable sequence number
_CHECKSUM_PREFIX = struct.Struct("<IQQ")  # salt, sequence number, durable sequence number
RECORD_PREFIX_BYTES = _RECORD_PREFIX.size


@dataclass(frozen=True, slots=True)
class FileHeader:
    """The header of a log file. `salt` is a random 32-bit number."""

    salt: int
    first_sequence: int
    format_version: int = FORMAT_VERSION

    def encode(self) -> bytes:
        """Return the bytes of the header, including its checksum."""
        raw = _HEADER.pack(MAGIC, self.format_version, self.salt, self.first_sequence)
        return raw + _HEADER_CHECKSUM.pack(google_crc32c.value(raw))


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a log. All records up to `durable_sequence` were durable when it was written."""

    sequence: int
    payload: bytes
    durable_sequence: int = 0


class DamageKind(Enum):
    """The kinds of damage: an interrupted write (TORN_TAIL), or missing durable records (GAP)."""

    TORN_TAIL = auto()
    GAP = auto()


@dataclass(frozen=True, slots=True)
class Damage:
    """The damage that starts at byte `offset`.

    For a gap, intact records continue at byte `resume_offset` with the sequence number `resume_sequence`.
    """

    kind: DamageKind
    offset: int
    message: str
    resume_offset: int = 0
    resume_sequence: int = 0


@dataclass(frozen=True, slots=True)
class FileScan:
    """The intact content of a file. `trusted_bytes` is the offset just after the last trusted record."""

    header: FileHeader | None
    records: tuple[LogRecord, ...]
    trusted_bytes: int
    damage: Damage | None = None


class _LocatedRecord(NamedTuple):
    offset: int
    record: LogRecord


def _checksum(salt: int, sequence: int, durable_sequence: int, payload: bytes) -> int:
    prefix = _CHECKSUM_PREFIX.pack(salt, sequence, durable_sequence)
    checksum: int = google_crc32c.extend(google_crc32c.value(prefix), payload)
    return checksum


def check_payload(payload: bytes) -> None:
    """Raise ValueError for a payload that is empty or over MAX_PAYLOAD_BYTES."""
    if not 0 < len(payload) <= MAX_PAYLOAD_BYTES:
        raise ValueError(f"payload has {len(payload)} bytes, expected 1 to {MAX_PAYLOAD_BYTES}")


def encode_record(salt: int, sequence: int, payload: bytes, durable_sequence: int = 0) -> bytes:
    """Return the bytes of a record. Raises ValueError if `check_payload` does."""
    check_payload(payload)
    checksum = _checksum(salt, sequence, durable_sequence, payload)
    return _RECORD_PREFIX.pack(len(payload), checksum, sequence, durable_sequence) + payload


def decode_header(data: bytes) -> FileHeader | None:
    """Return the header of a file, or None if it is incomplete or damaged.

    Raises LogFormatError for a file of another program or of a newer version.
    """
    has_magic = data.startswith(MAGIC)
    # In a file that is no longer than a header, a crash may have interrupted the writing of the header.
    if len(data) > HEADER_BYTES and not has_magic:
        raise LogFormatError("is not a kelpfront log")
    if len(data) < HEADER_BYTES or not has_magic:
        return None
    raw = data[: _HEADER.size]
    _, format_version, salt, first_sequence = _HEADER.unpack(raw)
    (checksum,) = _HEADER_CHECKSUM.unpack_from(data, _HEADER.size)
    if checksum != google_crc32c.value(raw):
        return None
    if format_version > FORMAT_VERSION:
        raise LogFormatError(
            f"has format {format_version}, but this version reads only up to {FORMAT_VERSION}"
        )
    return FileHeader(salt, first_sequence, format_version)


def scan_file(data: bytes) -> FileScan:
    """Return the trusted records of a file, and the damage after them, if any.

    Raises LogFormatError if `decode_header` does.
    """
    header = decode_header(data)
    if header is None:
        return FileScan(None, (), 0, _header_damage(data))
    records: list[LogRecord] = []
    offset = HEADER_BYTES
    expected_sequence = header.first_sequence
    while offset < len(data):
        record = _record_at(data, offset, header.salt)
        if record is None or record.sequence != expected_sequence:
            damage = _classify_damage(data, offset, header.salt, expected_sequence, record)
            return FileScan(header, tuple(records), offset, damage)
        records.append(record)
        offset += RECORD_PREFIX_BYTES + len(record.payload)
        expected_sequence += 1
    return FileScan(header, tuple(records), offset)


def _header_damage(data: bytes) -> Damage | None:
    if not data:
        return None
    kind = DamageKind.TORN_TAIL if len(data) <= HEADER_BYTES else DamageKind.GAP
    return Damage(kind, 0, "the header is damaged")


def _record_at(data: bytes, offset: int, salt: int) -> LogRecord | None:
    """Return the intact record that starts at `offset`, or None if there is none."""
    payload_offset = offset + RECORD_PREFIX_BYTES
    if payload_offset > len(data):
        return None
    length, checksum, sequence, durable_sequence = _RECORD_PREFIX.unpack_from(data, offset)
    if not 0 < length <= min(MAX_PAYLOAD_BYTES, len(data) - payload_offset):
        return None
    payload = data[payload_offset : payload_offset + length]
    if _checksum(salt, sequence, durable_sequence, payload) != checksum:
        return None
    return LogRecord(sequence, payload, durable_sequence)


def _classify_damage(
    data: bytes, offset: int, salt: int, expected_sequence: int, found: LogRecord | None
) -> Damage:
    """Return a gap if a later record proves that the expected one was durable, otherwise a torn tail."""
    if found is not None and found.durable_sequence >= expected_sequence:
        message = f"record {found.sequence} where {expected_sequence} was expected"
        return Damage(DamageKind.GAP, offset, message, offset, found.sequence)
    for later_offset, later in _intact_records_from(data, offset + 1, salt):
        if later.durable_sequence >= expected_sequence:
            message = (
                f"record {expected_sequence} is damaged, and {later.sequence} follows at byte {later_offset}"
            )
            return Damage(DamageKind.GAP, offset, message, later_offset, later.sequence)
    message = f"record {expected_sequence} is not whole, and nothing tells that it was durable"
    return Damage(DamageKind.TORN_TAIL, offset, message)


def _intact_records_from(data: bytes, start: int, salt: int) -> Iterator[_LocatedRecord]:
    """Yield the intact records at any offset from `start`.

    Every offset is tried, because the length field of a damaged record cannot be trusted.
    """
    for offset in range(start, len(data) - RECORD_PREFIX_BYTES):
        record = _record_at(data, offset, salt)
        if record is not None:
            yield _LocatedRecord(offset, record)
