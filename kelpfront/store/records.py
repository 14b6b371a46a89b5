"""The log's records as bytes, and what a file of them still tells after whatever happened to it. No I/O.

A file begins with a header and goes on with records, each with its length, a CRC32C and its sequence number.
The checksum is taken with a salt that each file draws: bytes that an owner put into a job, a whole record of
another file among them, are never taken for a record of this one.

Each record also tells up to which number all were durable when it was written. Of records written together
the blocks reach the disk in any order: a whole one behind one that is not proves nothing by itself.

What comes after the last whole record is either a **torn tail**, as a crash leaves it while the last records
were written, or a **hole**: something whole follows what is damaged, so that records are missing which were
durable once. The first is cut off; the second is for people to decide: going on would forget accepted jobs.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Literal

import google_crc32c

MAGIC = b"KELPLOG\n"
FORMAT = 1
RECORD_MOST = 16 << 20  # bytes of one payload: above every body that the API takes
_HEADER = struct.Struct("<8sHxxIQ")  # magic, format, salt, first sequence number
_CHECK = struct.Struct("<I")
HEADER_BYTES = _HEADER.size + _CHECK.size
_RECORD = struct.Struct("<IIQQ")  # length of the payload, checksum, sequence number, durable up to
RECORD_BYTES = _RECORD.size


class RecordError(ValueError):
    """A file that is no log of this program, or of a newer one; the message says which."""


@dataclass(frozen=True, slots=True)
class Header:
    """How a file begins. `salt` has 32 bits."""

    salt: int
    first: int
    format: int = FORMAT

    def encode(self) -> bytes:
        raw = _HEADER.pack(MAGIC, self.format, self.salt, self.first)
        return raw + _CHECK.pack(google_crc32c.value(raw))


@dataclass(frozen=True, slots=True)
class Record:
    sequence: int
    payload: bytes
    durable: int = 0  # all records up to this one were, when this one was written


@dataclass(frozen=True, slots=True)
class Damage:
    """What is wrong from `offset` on. For a hole, `resumes` is where whole records go on, and with which."""

    kind: Literal["torn", "hole"]
    offset: int
    message: str
    resumes: int = 0
    next_sequence: int = 0


@dataclass(frozen=True, slots=True)
class Scan:
    """What a file holds. `end` is behind the last record that may be trusted."""

    header: Header | None
    records: tuple[Record, ...]
    end: int
    damage: Damage | None = None


def _checksum(salt: int, sequence: int, durable: int, payload: bytes) -> int:
    head = struct.pack("<IQQ", salt, sequence, durable)
    found: int = google_crc32c.extend(google_crc32c.value(head), payload)
    return found


def check_payload(payload: bytes) -> None:
    """ValueError for a payload that is empty or over RECORD_MOST."""
    if not 0 < len(payload) <= RECORD_MOST:
        raise ValueError(f"a payload of {len(payload)} bytes, 1 to {RECORD_MOST} are allowed")


def encode_record(salt: int, sequence: int, payload: bytes, durable: int = 0) -> bytes:
    """One record; ValueError as `check_payload`."""
    check_payload(payload)
    checksum = _checksum(salt, sequence, durable, payload)
    return _RECORD.pack(len(payload), checksum, sequence, durable) + payload


def decode_header(data: bytes) -> Header | None:
    """None where the file ends before its header does, or the header is damaged."""
    if len(data) > HEADER_BYTES and not data.startswith(MAGIC):  # shorter: it was being written
        raise RecordError("is no log of kelpfront")
    if len(data) < HEADER_BYTES or not data.startswith(MAGIC):
        return None
    raw = data[: _HEADER.size]
    _, its_format, salt, first = _HEADER.unpack(raw)
    if _CHECK.unpack_from(data, _HEADER.size)[0] != google_crc32c.value(raw):
        return None
    if its_format > FORMAT:
        raise RecordError(f"has format {its_format}, this version reads up to {FORMAT}")
    return Header(salt, first, its_format)


def scan(data: bytes) -> Scan:
    """All that may be trusted of a file, and what is wrong with the rest; RecordError for another's file."""
    header = decode_header(data)
    if header is None:
        kind: Literal["torn", "hole"] = "torn" if len(data) <= HEADER_BYTES else "hole"
        return Scan(None, (), 0, Damage(kind, 0, "the header is damaged") if data else None)
    records: list[Record] = []
    at, expected = HEADER_BYTES, header.first
    while at < len(data):
        record = _record_at(data, at, header.salt)
        if record is None or record.sequence != expected:
            return Scan(header, tuple(records), at, _judge(data, at, header.salt, expected, record))
        records.append(record)
        at += RECORD_BYTES + len(record.payload)
        expected += 1
    return Scan(header, tuple(records), at)


def _record_at(data: bytes, at: int, salt: int) -> Record | None:
    """The whole record that begins here, if one does."""
    if at + RECORD_BYTES > len(data):
        return None
    length, checksum, sequence, durable = _RECORD.unpack_from(data, at)
    if not 0 < length <= min(RECORD_MOST, len(data) - at - RECORD_BYTES):
        return None
    payload = data[at + RECORD_BYTES : at + RECORD_BYTES + length]
    whole = _checksum(salt, sequence, durable, payload) == checksum
    return Record(sequence, payload, durable) if whole else None


def _judge(data: bytes, at: int, salt: int, expected: int, found: Record | None) -> Damage:
    """A hole where what follows tells that this record was durable; a torn tail otherwise."""
    if found is not None and found.durable >= expected:
        text = f"record {found.sequence} where {expected} was expected"
        return Damage("hole", at, text, at, found.sequence)
    for start, record in _whole_after(data, at + 1, salt):
        if record.durable >= expected:
            text = f"record {expected} is damaged, and {record.sequence} follows at byte {start}"
            return Damage("hole", at, text, start, record.sequence)
    return Damage("torn", at, f"record {expected} is not whole, and nothing tells that it was durable")


def _whole_after(data: bytes, first: int, salt: int) -> Iterator[tuple[int, Record]]:
    """Whole records from a byte on, wherever they begin: lengths of what is damaged cannot be trusted."""
    for start in range(first, len(data) - RECORD_BYTES):
        record = _record_at(data, start, salt)
        if record is not None:
            yield start, record
