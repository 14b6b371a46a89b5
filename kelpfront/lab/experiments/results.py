"""Results of runs, in one SQLite file that survives being killed: a run is there whole or not at all."""

from __future__ import annotations

import sqlite3
import zlib
from collections.abc import Iterator
from contextlib import closing, contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

FORMAT = 1
APPLICATION = 0x6B656C70  # "kelp": SQLite's mark of whose file it is
SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS runs (
    digest TEXT PRIMARY KEY,
    scenario TEXT NOT NULL,
    variant TEXT NOT NULL,
    seed INTEGER NOT NULL,
    error TEXT NOT NULL,
    took_s REAL NOT NULL,
    measures TEXT NOT NULL,
    series BLOB NOT NULL
);
"""


class ResultsError(RuntimeError):
    """A file that holds no results, or those of a newer format."""


@dataclass(frozen=True, slots=True)
class Result:
    """One run. `error` is what it broke off with; `measures` and `series` are empty then."""

    digest: str
    scenario: str
    variant: str
    seed: int
    error: str
    took_s: float
    measures: dict[str, float]
    series: dict[str, Any]


class Results:
    """The file. One process writes it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            self._db = sqlite3.connect(path, isolation_level=None, timeout=10.0)
            self._check_owner(path)
            self._db.execute("PRAGMA journal_mode=WAL")
            self._db.execute("PRAGMA synchronous=FULL")
            self._db.executescript(SCHEMA)
            held = self._db.execute("SELECT value FROM meta WHERE name='format'").fetchone()
        except sqlite3.DatabaseError as error:
            raise ResultsError(f"{path}: holds no results: {error}") from None
        if held is None:
            self._db.execute("INSERT INTO meta VALUES ('format', ?)", (str(FORMAT),))
        elif int(held[0]) > FORMAT:
            raise ResultsError(f"{path}: format {held[0]}, this version reads up to {FORMAT}")

    def _check_owner(self, path: Path) -> None:
        """A file of another program is left as it is."""
        mark = self._db.execute("PRAGMA application_id").fetchone()[0]
        if mark != APPLICATION:
            if self._db.execute("SELECT count(*) FROM sqlite_master").fetchone()[0]:
                self._db.close()
                raise ResultsError(f"{path}: is the database of another program")
            self._db.execute(f"PRAGMA application_id = {APPLICATION}")

    def close(self) -> None:
        self._db.close()

    def done(self) -> set[str]:
        """Digests of runs that need not be run again; those that broke off do."""
        with closing(self._db.execute("SELECT digest FROM runs WHERE error=''")) as rows:
            return {digest for (digest,) in rows}

    def add(self, result: Result) -> None:
        packed = zlib.compress(msgspec.json.encode(result.series), 6)
        self._db.execute(
            "INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?, ?, ?, ?)",
            (
                result.digest,
                result.scenario,
                result.variant,
                result.seed,
                result.error,
                result.took_s,
                msgspec.json.encode(result.measures).decode(),
                packed,
            ),
        )

    def set_meta(self, name: str, value: str) -> None:
        self._db.execute("INSERT OR REPLACE INTO meta VALUES (?, ?)", (name, value))

    def meta(self, name: str) -> str:
        row = self._db.execute("SELECT value FROM meta WHERE name=?", (name,)).fetchone()
        return "" if row is None else str(row[0])

    def all(self, digests: set[str] | None = None) -> Iterator[Result]:
        """Runs by scenario, variant and seed; only those of some digests, if given."""
        rows = self._db.execute(
            "SELECT digest, scenario, variant, seed, error, took_s, measures, series FROM runs"
            " ORDER BY scenario, variant, seed"
        )
        with closing(rows):
            for digest, scenario, variant, seed, error, took, measures, packed in rows:
                if digests is not None and digest not in digests:
                    continue
                yield Result(
                    digest,
                    scenario,
                    variant,
                    seed,
                    error,
                    took,
                    msgspec.json.decode(measures),
                    msgspec.json.decode(zlib.decompress(packed)),
                )


@contextmanager
def opened(path: Path) -> Iterator[Results]:
    results = Results(path)
    try:
        yield results
    finally:
        results.close()
