"""Encodes a snapshot as records: one for each part of the state, and an end marker with their number.

A snapshot file is renamed to its final name only when it is complete and durable. Damage in a file with a
final name is therefore a fault of the disk, not the result of a crash. `write_ahead_log` writes snapshots,
and `segments` determines which files a snapshot supersedes.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from kelpfront.store.errors import LogCorruptedError
from kelpfront.store.records import FileHeader, FileScan, encode_record

_END_MARKER = b"end "  # prefix of the payload of the last record, followed by the number of parts
_FIRST_SEQUENCE = 1  # the records of each snapshot are numbered separately from those of the log


def encode_snapshot(salt: int, parts: Sequence[bytes]) -> Iterator[bytes]:
    """Yield the bytes of the header, of the record of each part, and of the end marker."""
    yield FileHeader(salt, _FIRST_SEQUENCE).encode()
    for sequence, part in enumerate(parts, _FIRST_SEQUENCE):
        yield encode_record(salt, sequence, part)
    yield encode_record(salt, _FIRST_SEQUENCE + len(parts), _end_marker(len(parts)))


def decode_snapshot(name: str, scan: FileScan) -> tuple[bytes, ...]:
    """Return the parts of a snapshot file. Raises LogCorruptedError if it is incomplete or damaged."""
    if scan.damage is not None:
        raise LogCorruptedError(f"{name}: byte {scan.damage.offset}: {scan.damage.message}")
    payloads = [record.payload for record in scan.records]
    if not payloads or payloads[-1] != _end_marker(len(payloads) - 1):
        raise LogCorruptedError(f"{name}: the end marker is missing")
    return tuple(payloads[:-1])


def _end_marker(part_count: int) -> bytes:
    return _END_MARKER + str(part_count).encode()
