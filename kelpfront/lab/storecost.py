"""What durability costs: the same records to a log of our own, to SQLite and to LMDB, side by side.

Each way commits groups of records with one fsync. The ways take turns, several rounds of each, on one folder,
since a disk's speed varies more than they do. LMDB is left out where it is not installed.
"""

from __future__ import annotations

import importlib.util
import random
import sqlite3
import statistics
import tempfile
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

from kelpfront.lab.figures import latencies
from kelpfront.store.log_directory import HostDirectory
from kelpfront.store.write_ahead_log import WriteAheadLog

PAYLOAD = 600  # bytes: a job of one task, as the API shows it
MAP_BYTES = 1 << 30


class _Way(Protocol):
    def commit(self, records: Sequence[bytes]) -> None: ...
    def close(self) -> None: ...


class _Log:
    def __init__(self, folder: Path) -> None:
        self._directory = HostDirectory(folder)
        self._log = WriteAheadLog(self._directory, lambda: 7)
        self._log.open()

    def commit(self, records: Sequence[bytes]) -> None:
        for record in records:
            self._log.append(record)
        self._log.commit()

    def close(self) -> None:
        self._log.close()
        self._directory.release()


class _Sqlite:
    def __init__(self, folder: Path) -> None:
        self._db = sqlite3.connect(folder / "store.sqlite", isolation_level=None)
        self._db.execute("PRAGMA journal_mode=WAL")
        self._db.execute("PRAGMA synchronous=FULL")
        self._db.execute("CREATE TABLE records (number INTEGER PRIMARY KEY, payload BLOB NOT NULL)")

    def commit(self, records: Sequence[bytes]) -> None:
        self._db.execute("BEGIN")
        self._db.executemany("INSERT INTO records (payload) VALUES (?)", [(record,) for record in records])
        self._db.execute("COMMIT")

    def close(self) -> None:
        self._db.close()


class _Lmdb:
    def __init__(self, folder: Path) -> None:
        import lmdb

        self._env = lmdb.open(str(folder / "store.lmdb"), map_size=MAP_BYTES)
        self._next = 0

    def commit(self, records: Sequence[bytes]) -> None:
        with self._env.begin(write=True) as transaction:
            for record in records:
                self._next += 1
                transaction.put(self._next.to_bytes(8, "big"), record, append=True)

    def close(self) -> None:
        self._env.close()


WAYS: dict[str, Callable[[Path], _Way]] = {"log": _Log, "sqlite": _Sqlite, "lmdb": _Lmdb}


def measure_store(
    groups: Sequence[int], commits: int, rounds: int, folder: Path | None, say: Callable[[str], None]
) -> list[dict[str, Any]]:
    """A row for each way and size of a group: records a second (median round), and milliseconds a commit."""
    names = [name for name in WAYS if name != "lmdb" or importlib.util.find_spec("lmdb") is not None]
    rng = random.Random(1)
    records = [rng.randbytes(PAYLOAD) for _ in range(max(groups))]
    rates: dict[tuple[str, int], list[float]] = {}
    took: dict[tuple[str, int], list[float]] = {}
    for round_ in range(rounds):
        for group in groups:
            for name in names:
                say(f"{name}, {group} at a time, round {round_ + 1}")
                with tempfile.TemporaryDirectory(prefix="kelpfront-store-", dir=folder) as its:
                    way = WAYS[name](Path(its))
                    began = time.perf_counter()
                    for _ in range(commits):
                        at = time.perf_counter()
                        way.commit(records[:group])
                        took.setdefault((name, group), []).append((time.perf_counter() - at) * 1000.0)
                    rates.setdefault((name, group), []).append(
                        group * commits / (time.perf_counter() - began)
                    )
                    way.close()
    return [
        {
            "way": name,
            "group": group,
            "records_per_s": round(statistics.median(rates[name, group])),
            "commit_ms": latencies(took[name, group]),
        }
        for group in groups
        for name in names
    ]
