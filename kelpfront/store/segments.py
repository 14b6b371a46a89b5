"""Which files a log consists of, in which order they are read, and which may go. No I/O.

A log is files `log-N`, N being the sequence number of the first record in it, and `snapshot-S`, which holds
what all records up to S led to. What is being written has the ending `.part` and is nothing until renamed.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from kelpfront.store.records import Record, Scan

DIGITS = 20
PART = ".part"
_NAME = re.compile(rf"(log|snapshot)-([0-9]{{{DIGITS}}})")


class StoreDamagedError(RuntimeError):
    """The log cannot be gone on with without forgetting what was durable; the message names file and byte."""


def log_name(first: int) -> str:
    return f"log-{first:0{DIGITS}}"


def snapshot_name(last: int) -> str:
    return f"snapshot-{last:0{DIGITS}}"


@dataclass(frozen=True, slots=True)
class Files:
    """What a folder holds. `unfinished` are writes that a crash broke off; `others` are not the log's."""

    snapshots: tuple[int, ...]
    logs: tuple[int, ...]
    unfinished: tuple[str, ...]
    others: tuple[str, ...]

    @property
    def snapshot(self) -> int | None:
        """The latest."""
        return self.snapshots[-1] if self.snapshots else None

    def needed(self) -> tuple[int, ...]:
        """Logs that may hold a record behind the snapshot: from the last that begins at or before it on."""
        after = 0 if self.snapshot is None else self.snapshot + 1
        before = [first for first in self.logs if first <= after]
        begin = before[-1] if before else -1
        return tuple(first for first in self.logs if first >= begin)

    def removable(self) -> tuple[str, ...]:
        """What the latest snapshot has made needless, and what crashes left."""
        if self.snapshot is None:
            return self.unfinished
        kept = self.needed()
        old = [log_name(first) for first in self.logs if first not in kept]
        return (*self.unfinished, *(snapshot_name(last) for last in self.snapshots[:-1]), *old)


def sort_files(names: Iterable[str]) -> Files:
    snapshots: list[int] = []
    logs: list[int] = []
    unfinished: list[str] = []
    others: list[str] = []
    for name in sorted(names):
        match = _NAME.fullmatch(name)
        if match is not None:
            (logs if match[1] == "log" else snapshots).append(int(match[2]))
        elif name.endswith(PART) and _NAME.fullmatch(name.removesuffix(PART)):
            unfinished.append(name)
        else:
            others.append(name)
    return Files(tuple(snapshots), tuple(logs), tuple(unfinished), tuple(others))


@dataclass(frozen=True, slots=True)
class Recovery:
    """Records behind the snapshot, the number of the next one, and what was cut off at the end."""

    records: tuple[Record, ...]
    next_sequence: int
    torn: tuple[str, ...]  # messages
    useless: tuple[str, ...]  # logs without a whole record, whose names are needed again


def join(scans: Sequence[tuple[int, Scan]], snapshot: int | None) -> Recovery:
    """Logs in their order, put together; StoreDamagedError where durable records are missing.

    A torn tail is one only where nothing follows: in the last log, or in one whose successor begins with just
    the record that is torn here (a recovery went on there).
    """
    after = 0 if snapshot is None else snapshot
    expected = after + 1
    records: list[Record] = []
    torn: list[str] = []
    useless: list[str] = []
    for position, (first, found) in enumerate(scans):
        name = log_name(first)
        last = position == len(scans) - 1
        if found.damage is not None:
            place = f"{name}: byte {found.damage.offset}: {found.damage.message}"
            if found.damage.kind == "hole":
                raise StoreDamagedError(place)
            torn.append(place)
        if found.header is None:
            if not last:
                raise StoreDamagedError(
                    f"{name}: its header is missing, and {log_name(scans[position + 1][0])} follows"
                )
            useless.append(name)
            continue
        if found.header.first != first:
            raise StoreDamagedError(f"{name}: begins with record {found.header.first}")
        if first > expected:
            raise StoreDamagedError(f"{name}: begins with record {first} where {expected} was expected")
        for record in found.records:
            if record.sequence < expected:
                if record.sequence > after:
                    raise StoreDamagedError(f"{name}: record {record.sequence} is there twice")
                continue
            records.append(record)
            expected = record.sequence + 1
        if last and not found.records and first == expected:
            useless.append(name)
    return Recovery(tuple(records), expected, tuple(torn), tuple(useless))
