"""The SQLite file of the agent's state: its schema, opening and reading it, and recovery of a damaged file.

A damaged file is moved to a quarantine folder unchanged, and its readable rows are copied into a new file.
`state_writer` batches the writes.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from kelpfront.agent.state_records import StoredState, TaskKey, TaskRecord, decode_row, encode_row

FORMAT = 1
FILE_NAME = "state.db"
QUARANTINE_FOLDER = "damaged"
COPY_NAME = "copy.db"
LOCK_TIMEOUT_S = (
    5.0  # waits for a reader of the file, such as a backup; the folder's lock excludes other agents
)
MIN_PAGES = 8  # more than an empty state with its tables needs

_SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS tasks (
    task TEXT NOT NULL,
    attempt INTEGER NOT NULL,
    placer TEXT NOT NULL,
    incarnation TEXT NOT NULL,
    offer BLOB NOT NULL,
    boot TEXT NOT NULL,
    since REAL NOT NULL,
    began INTEGER NOT NULL,
    ended TEXT,
    seq INTEGER NOT NULL DEFAULT 0,
    heard INTEGER NOT NULL DEFAULT 0,
    PRIMARY KEY (task, attempt)
) WITHOUT ROWID;
"""

SELECT_TASKS = "SELECT placer, incarnation, offer, boot, since, began, ended, seq, heard FROM tasks"
SELECT_METADATA = "SELECT name, value FROM meta"

TRANSIENT_ERRORS = frozenset(
    {
        sqlite3.SQLITE_BUSY,
        sqlite3.SQLITE_LOCKED,
        sqlite3.SQLITE_CANTOPEN,
        sqlite3.SQLITE_PERM,
        sqlite3.SQLITE_READONLY,
        sqlite3.SQLITE_FULL,
    }
)
"""Errors after which the file may be readable later: it is not damaged, and stays in place."""

PRIMARY_CODE_MASK = 0xFF  # the low byte of an extended result code, https://www.sqlite.org/rescode.html


class StateError(Exception):
    """The state could not be written or read; the text names the file and the cause."""


class StateDatabase:
    """The state file in one folder."""

    def __init__(self, folder: Path, max_bytes: int = 0) -> None:
        """Use the file in `folder`; `max_bytes` limits its size, 0 means no limit."""
        self.path = folder / FILE_NAME
        self._folder = folder
        self._max_bytes = max_bytes
        self._connection: sqlite3.Connection | None = None

    @property
    def connection(self) -> sqlite3.Connection:
        """The open connection."""
        assert self._connection is not None
        return self._connection

    def open(self) -> StoredState:
        """Open and read the file, and recover it if it is damaged.

        Raises StateError if it cannot be opened, or was written by a later version.
        """
        stored = StoredState()
        try:
            self._connection = self._connect()
            stored.metadata |= dict(self._connection.execute(SELECT_METADATA))
            stored.records += [decode_row(row) for row in self._connection.execute(SELECT_TASKS)]
        except sqlite3.DatabaseError as error:
            if _is_transient(error):
                raise StateError(f"{self.path}: {error}") from error
            self.close()
            return self._recover(str(error))
        return stored

    def close(self) -> None:
        """Close the file."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _connect(self) -> sqlite3.Connection:
        connection = sqlite3.connect(
            self.path, check_same_thread=False, isolation_level=None, timeout=LOCK_TIMEOUT_S
        )
        try:
            self._prepare(connection)
        except BaseException:
            connection.close()
            raise
        return connection

    def _prepare(self, connection: sqlite3.Connection) -> None:
        """Configure durable writes, check the file's integrity, and create its tables."""
        connection.execute("PRAGMA journal_mode=WAL")
        connection.execute("PRAGMA synchronous=FULL")
        if self._max_bytes:
            page_bytes = connection.execute("PRAGMA page_size").fetchone()[0]
            max_pages = max(MIN_PAGES, self._max_bytes // page_bytes)
            connection.execute(f"PRAGMA max_page_count={max_pages}")
        (check,) = connection.execute("PRAGMA quick_check(1)").fetchone()
        if check != "ok":
            raise sqlite3.DatabaseError(check)
        connection.executescript(_SCHEMA)
        format_row = connection.execute("SELECT value FROM meta WHERE name='format'").fetchone()
        if format_row is not None and int(format_row[0]) > FORMAT:
            raise StateError(
                f"{self.path}: written by a later version (format {format_row[0]}, supported up to {FORMAT})"
            )
        connection.execute("INSERT OR REPLACE INTO meta VALUES ('format', ?)", (str(FORMAT),))

    # ---- Recovery of a damaged file -------------------------------------------------------------------

    def _recover(self, damage: str) -> StoredState:
        """Move the damaged file to quarantine, and copy its readable rows into a new file."""
        quarantine = self._quarantine()
        stored = StoredState(quarantine=quarantine, damage=damage)
        # A copy is read: reading replays the write-ahead log into the file, and the original stays unchanged.
        copy = quarantine / COPY_NAME
        with contextlib.suppress(sqlite3.Error, OSError):
            self._copy_quarantined(quarantine, copy)
            _read_damaged(copy, stored)
        for path in quarantine.glob(f"{COPY_NAME}*"):
            path.unlink(missing_ok=True)
        self._connection = self._connect()
        try:
            for record in stored.records:
                write_record(self._connection, record)
        except sqlite3.Error as error:
            raise StateError(f"{self.path}: {error}") from error
        return stored

    def _quarantine(self) -> Path:
        """Move the file with its log and shared-memory files into a new numbered folder, and return it."""
        parent = self._folder / QUARANTINE_FOLDER
        parent.mkdir(exist_ok=True)
        numbers = [int(path.name) for path in parent.iterdir() if path.name.isdigit()]
        quarantine = parent / str(1 + max(numbers, default=0))
        quarantine.mkdir()
        for suffix in ("", "-wal", "-shm"):
            path = self.path.with_name(self.path.name + suffix)
            if path.exists():
                path.replace(quarantine / path.name)
        return quarantine

    def _copy_quarantined(self, quarantine: Path, copy: Path) -> None:
        for suffix in ("", "-wal"):
            damaged = quarantine / (self.path.name + suffix)
            if damaged.exists():
                copy.with_name(copy.name + suffix).write_bytes(damaged.read_bytes())


def _read_damaged(path: Path, stored: StoredState) -> None:
    """Read the metadata and the readable records of a damaged file into `stored`."""
    readable: dict[TaskKey, TaskRecord] = {}
    connection = sqlite3.connect(path)
    try:
        with contextlib.suppress(sqlite3.Error):
            stored.metadata |= dict(connection.execute(SELECT_METADATA))
        for row in _readable_rows(connection.execute(SELECT_TASKS)):
            with contextlib.suppress(msgspec.DecodeError, TypeError, ValueError):
                record = decode_row(row)
                readable[record.key] = record
    finally:
        connection.close()
        stored.records = list(readable.values())


def _readable_rows(cursor: sqlite3.Cursor) -> Iterator[Any]:
    """Yield rows up to the first unreadable one."""
    with contextlib.suppress(sqlite3.Error):
        yield from cursor


def write_record(connection: sqlite3.Connection, record: TaskRecord) -> None:
    """Insert a record, or replace the earlier record of the same attempt."""
    connection.execute(
        "INSERT OR REPLACE INTO tasks VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)", encode_row(record)
    )


def _is_transient(error: sqlite3.DatabaseError) -> bool:
    code = getattr(error, "sqlite_errorcode", 0) & PRIMARY_CODE_MASK
    return code in TRANSIENT_ERRORS
