"""The agent's state on disk: which tasks it was to start, and what it knows of them. SQLite, in WAL mode.

What is answered as recorded outlasts a power cut. One thread writes; what comes in while it waits for the
disk goes into its next transaction, so that many starts share one wait.
"""

from __future__ import annotations

import asyncio
import contextlib
import queue
import sqlite3
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from kelpfront.machine.messages import GoneCause, Offer, OfferRequest, TaskReport, decode_offer, encode

FORMAT = 1
WAITING_MOST = 10_000  # writes that wait for the disk
BATCH_MOST = 256  # writes of one transaction

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

_SELECT = "SELECT placer, incarnation, offer, boot, since, began, ended, seq, heard FROM tasks"


class StateError(Exception):
    """The state could not be written, or not be read; the text says where and why."""


class End(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a task ended."""

    cause: GoneCause
    ran: bool
    exit_code: int | None = None
    cpu_s: float | None = None
    message: str = ""


@dataclass(slots=True)
class Recorded:
    """One attempt on record. `began` is the attempt that started the copy, in whose folder it is: a later one
    may have taken it over. `seq` numbers the message that told its end; `heard`: its placer has seen it."""

    request: OfferRequest
    boot: str
    since: float
    began: int
    end: End | None = None
    seq: int = 0
    heard: bool = False

    @property
    def key(self) -> tuple[str, int]:
        return self.request.offer.task, self.request.offer.attempt

    def report(self) -> TaskReport:
        assert self.end is not None
        end, request = self.end, self.request
        return TaskReport(
            request.offer,
            request.incarnation,
            "ended",
            end.cause,
            end.exit_code,
            end.ran,
            end.cpu_s,
            end.message,
        )


@dataclass(slots=True)
class Opened:
    """What was found at start. `set_aside` is where a damaged state went, `damage` what was wrong with it."""

    records: list[Recorded] = field(default_factory=list)
    meta: dict[str, str] = field(default_factory=dict)
    set_aside: Path | None = None
    damage: str = ""


Write = Callable[[sqlite3.Connection], object]


class State:
    """The state in one folder. Open it first; all calls are from the event loop's thread."""

    def __init__(self, folder: Path, most_bytes: int = 0) -> None:
        """`most_bytes` bounds the file; 0 is no bound but the disk's."""
        self._folder, self._most_bytes = folder, most_bytes
        self._path = folder / "state.db"
        self._waiting: queue.Queue[tuple[Write, asyncio.Future[None]] | None] = queue.Queue(WAITING_MOST)
        self._thread: threading.Thread | None = None
        self._db: sqlite3.Connection | None = None
        self.writes = self.transactions = 0

    # ---- Opening --------------------------------------------------------------------------------------

    def open(self) -> Opened:
        """Reads what is there. A damaged file is moved aside whole, what is readable of it is taken over."""
        opened = Opened()
        try:
            self._db = self._connect()
            self._read(self._db, opened)
        except sqlite3.DatabaseError as error:
            if _is_trouble_of_the_disk(error):
                raise StateError(f"{self._path}: {error}") from None
            self._discard()
            opened = self._salvage(str(error))
        return opened

    def _connect(self) -> sqlite3.Connection:
        db = sqlite3.connect(self._path, check_same_thread=False, isolation_level=None, timeout=5.0)
        try:
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=FULL")
            if self._most_bytes:
                page = db.execute("PRAGMA page_size").fetchone()[0]
                db.execute(f"PRAGMA max_page_count={max(8, self._most_bytes // page)}")
            (check,) = db.execute("PRAGMA quick_check(1)").fetchone()
            if check != "ok":
                raise sqlite3.DatabaseError(check)
            db.executescript(_SCHEMA)
            found = db.execute("SELECT value FROM meta WHERE name='format'").fetchone()
            if found is not None and int(found[0]) > FORMAT:
                raise StateError(
                    f"{self._path}: written by a later version (format {found[0]}; this one knows {FORMAT})"
                )
            db.execute("INSERT OR REPLACE INTO meta VALUES ('format', ?)", (str(FORMAT),))
        except BaseException:
            db.close()
            raise
        return db

    @staticmethod
    def _read(db: sqlite3.Connection, opened: Opened) -> None:
        opened.meta |= dict(db.execute("SELECT name, value FROM meta"))
        rows = db.execute(_SELECT)
        for row in rows:
            opened.records.append(_recorded(row))

    def _discard(self) -> None:
        if self._db is not None:
            self._db.close()
            self._db = None

    def _salvage(self, damage: str) -> Opened:
        """Sets the damaged files aside and takes over what can be read, row by row."""
        aside = self._folder / "damaged"
        aside.mkdir(exist_ok=True)
        number = 1 + max((int(p.name) for p in aside.iterdir() if p.name.isdigit()), default=0)
        place = aside / str(number)
        place.mkdir()
        for suffix in ("", "-wal", "-shm"):
            path = self._path.with_name(self._path.name + suffix)
            if path.exists():
                path.replace(place / path.name)
        opened = Opened(set_aside=place, damage=damage)
        readable: dict[tuple[str, int], Recorded] = {}
        copy = place / "copy.db"  # reading would replay the log into the file that is kept as it was found
        with contextlib.suppress(sqlite3.Error, OSError):
            for suffix in ("", "-wal"):
                kept = place / (self._path.name + suffix)
                if kept.exists():
                    copy.with_name(copy.name + suffix).write_bytes(kept.read_bytes())
            old = sqlite3.connect(copy)
            try:
                with contextlib.suppress(sqlite3.Error):
                    opened.meta |= dict(old.execute("SELECT name, value FROM meta"))
                rows = old.execute(_SELECT)
                while (row := _next(rows)) is not None:
                    with contextlib.suppress(msgspec.DecodeError, TypeError, ValueError):
                        record = _recorded(row)
                        readable[record.key] = record
            finally:
                old.close()
        for path in place.glob("copy.db*"):
            path.unlink(missing_ok=True)
        opened.records = list(readable.values())
        self._db = self._connect()
        try:
            for record in opened.records:
                _insert(self._db, record)
        except sqlite3.Error as error:
            raise StateError(f"{self._path}: {error}") from None
        return opened

    # ---- Writing --------------------------------------------------------------------------------------

    def start(self) -> None:
        """Begins to take writes."""
        loop = asyncio.get_running_loop()
        self._thread = threading.Thread(target=self._write_all, args=(loop,), name="state", daemon=True)
        self._thread.start()

    async def close(self) -> None:
        if self._thread is not None:
            self._waiting.put(None)
            await asyncio.to_thread(self._thread.join)
        self._discard()

    def _submit(self, write: Write) -> asyncio.Future[None]:
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        done.add_done_callback(_read_outcome)
        try:
            self._waiting.put_nowait((write, done))
        except queue.Full:
            done.set_exception(StateError(f"{WAITING_MOST} writes wait for the disk, which is the most"))
        return done

    def intend(self, record: Recorded) -> asyncio.Future[None]:
        """Done once it outlasts a power cut; StateError where it could not be written."""
        return self._submit(lambda db: _insert(db, record))

    def taken_over(self, old: tuple[str, int], record: Recorded) -> asyncio.Future[None]:
        """A later attempt has the copy from now on."""

        def write(db: sqlite3.Connection) -> None:
            _insert(db, record)
            db.execute("DELETE FROM tasks WHERE task=? AND attempt=?", old)

        return self._submit(write)

    def ended(self, record: Recorded) -> asyncio.Future[None]:
        return self._submit(lambda db: _insert(db, record))

    def heard(self, keys: list[tuple[str, int]]) -> asyncio.Future[None]:
        """Their placer has seen that these are over."""
        return self._submit(
            lambda db: db.executemany("UPDATE tasks SET heard=1 WHERE task=? AND attempt=?", keys)
        )

    def forget(self, keys: list[tuple[str, int]]) -> asyncio.Future[None]:
        return self._submit(lambda db: db.executemany("DELETE FROM tasks WHERE task=? AND attempt=?", keys))

    def set_meta(self, name: str, value: str) -> asyncio.Future[None]:
        return self._submit(lambda db: db.execute("INSERT OR REPLACE INTO meta VALUES (?, ?)", (name, value)))

    def _write_all(self, loop: asyncio.AbstractEventLoop) -> None:
        while (first := self._waiting.get()) is not None:
            batch = [first]
            ends = False
            while len(batch) < BATCH_MOST:
                try:
                    item = self._waiting.get_nowait()
                except queue.Empty:
                    break
                if item is None:
                    ends = True
                    break
                batch.append(item)
            failure = self._transaction([write for write, _ in batch])
            if failure is not None and len(batch) > 1:  # which of them cannot be written is not known
                outcomes = [(done, self._transaction([write])) for write, done in batch]
            else:
                outcomes = [(done, failure) for _, done in batch]
            with contextlib.suppress(RuntimeError):  # the loop is closed: nobody waits any more
                loop.call_soon_threadsafe(_resolve, outcomes)
            if ends:
                return

    def _transaction(self, writes: list[Write]) -> StateError | None:
        db = self._db
        assert db is not None
        try:
            db.execute("BEGIN IMMEDIATE")
            for write in writes:
                write(db)
            db.execute("COMMIT")
        except sqlite3.Error as error:
            with contextlib.suppress(sqlite3.Error):
                db.execute("ROLLBACK")
            return StateError(f"{self._path}: {error}")
        self.writes += len(writes)
        self.transactions += 1
        return None


def _resolve(outcomes: list[tuple[asyncio.Future[None], StateError | None]]) -> None:
    for done, failure in outcomes:
        if done.done():
            continue
        if failure is None:
            done.set_result(None)
        else:
            done.set_exception(failure)


def _read_outcome(done: asyncio.Future[None]) -> None:
    """Nobody need wait for a write; asyncio is told that its failure was seen."""
    if not done.cancelled():
        done.exception()


def _next(rows: sqlite3.Cursor) -> Any:
    try:
        return rows.fetchone()
    except sqlite3.Error:
        return None


def _insert(db: sqlite3.Connection, record: Recorded) -> None:
    request = record.request
    db.execute(
        "INSERT OR REPLACE INTO tasks VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
        (
            *record.key,
            request.placer,
            request.incarnation,
            encode(request.offer),
            record.boot,
            record.since,
            record.began,
            None if record.end is None else msgspec.json.encode(record.end).decode(),
            record.seq,
            record.heard,
        ),
    )


def _recorded(row: Any) -> Recorded:
    placer, incarnation, offer, boot, since, began, ended, seq, heard = row
    decoded: Offer = decode_offer(offer)
    end = None if ended is None else msgspec.json.decode(ended, type=End)
    return Recorded(OfferRequest(placer, incarnation, decoded), boot, since, began, end, seq, bool(heard))


def _is_trouble_of_the_disk(error: sqlite3.DatabaseError) -> bool:
    """Whether trying to read it again later may work: then it is not damaged, and is left where it is."""
    code = getattr(error, "sqlite_errorcode", 0) & 0xFF
    return code in (
        sqlite3.SQLITE_BUSY,
        sqlite3.SQLITE_LOCKED,
        sqlite3.SQLITE_CANTOPEN,
        sqlite3.SQLITE_PERM,
        sqlite3.SQLITE_READONLY,
        sqlite3.SQLITE_FULL,
    )
