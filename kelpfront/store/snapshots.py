"""The records of a snapshot file: one for each part of the state, and an end marker that counts them.

A snapshot gets its name only when it is complete and durable, so any damage in a named one is the disk's.
When a snapshot is written and which files it supersedes is decided in `write_ahead_log` and `segments`.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from kelpfront.store.errors import LogCorruptedError
from kelpfront.store.records import FileHeader, FileScan, encode_record

_END_MARKER = b"end "  # starts the last record's payload; the number of parts follows
_FIRST_SEQUENCE = 1  # a snapshot numbers its own records


def encode_snapshot(salt: int, parts: Sequence[bytes]) -> Iterator[bytes]:
    """Yield the header, the record of each part and the end marker."""
    yield FileHeader(salt, _FIRST_SEQUENCE).encode()
    for sequence, part in enumerate(parts, _FIRST_SEQUENCE):
        yield encode_record(salt, sequence, part)
    yield encode_record(salt, _FIRST_SEQUENCE + len(parts), _end_marker(len(parts)))


def decode_snapshot(name: str, scan: FileScan) -> tuple[bytes, ...]:
    """Return the parts of the snapshot file `name`. Raises LogCorruptedError where it is not complete."""
    if scan.damage is not None:
        raise LogCorruptedError(f"{name}: byte {scan.damage.offset}: {scan.damage.message}")
    payloads = [record.payload for record in scan.records]
    if not payloads or payloads[-1] != _end_marker(len(payloads) - 1):
        raise LogCorruptedError(f"{name}: its end is missing")
    return tuple(payloads[:-1])


def _end_marker(part_count: int) -> bytes:
    return _END_MARKER + str(part_count).encode()
