"""Writes to the agent's state in batches, from one thread.

Writes that are submitted while the thread waits for the disk go into its next transaction, so that many task
starts share one disk sync. `state` defines the individual writes.
"""

from __future__ import annotations

import asyncio
import contextlib
import queue
import sqlite3
import threading
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from kelpfront.agent.state_database import StateDatabase, StateError

MAX_WAITING_WRITES = 10_000  # bounds memory while the disk hangs; further writes fail immediately
MAX_BATCH_WRITES = 256  # bounds the writes that are retried one by one when a batch fails

Write = Callable[[sqlite3.Connection], object]


@dataclass(frozen=True, slots=True)
class _PendingWrite:
    """A queued write; `done` resolves once the write is durable."""

    write: Write
    done: asyncio.Future[None]


class _Outcome(NamedTuple):
    """The result of a write; `failure` is None if the write is durable."""

    done: asyncio.Future[None]
    failure: StateError | None


class StateWriter:
    """The writing thread of one database. All public methods must be called from the event loop's thread.

    Attributes:
        writes: the number of durable writes.
        transactions: the number of transactions that contained them.
    """

    def __init__(self, database: StateDatabase) -> None:
        self._database = database
        self._waiting: queue.Queue[_PendingWrite | None] = queue.Queue(MAX_WAITING_WRITES)
        self._thread: threading.Thread | None = None
        self.writes = 0
        self.transactions = 0

    def start(self) -> None:
        """Start the thread."""
        loop = asyncio.get_running_loop()
        self._thread = threading.Thread(target=self._write_all, args=(loop,), name="state", daemon=True)
        self._thread.start()

    async def close(self) -> None:
        """Complete the queued writes, then end the thread."""
        if self._thread is not None:
            self._waiting.put(None)
            await asyncio.to_thread(self._thread.join)

    def submit(self, write: Write) -> asyncio.Future[None]:
        """Queue a write, and return a future that resolves once the write survives a power failure.

        The future fails with StateError if the write cannot be made. Awaiting it is optional.
        """
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        done.add_done_callback(_mark_retrieved)
        try:
            self._waiting.put_nowait(_PendingWrite(write, done))
        except queue.Full:
            failure = StateError(f"{MAX_WAITING_WRITES} writes wait for the disk, which is the most")
            done.set_exception(failure)
        return done

    # ---- In the thread --------------------------------------------------------------------------------

    def _write_all(self, loop: asyncio.AbstractEventLoop) -> None:
        is_last = False
        while not is_last:
            first = self._waiting.get()
            if first is None:
                return
            batch = [first]
            is_last = self._fill(batch)
            outcomes = self._write_batch(batch)
            with contextlib.suppress(RuntimeError):  # the loop is closed, so no future is awaited any more
                loop.call_soon_threadsafe(_resolve, outcomes)

    def _fill(self, batch: list[_PendingWrite]) -> bool:
        """Add queued writes to a batch; return whether the thread must end after this batch."""
        while len(batch) < MAX_BATCH_WRITES:
            try:
                pending = self._waiting.get_nowait()
            except queue.Empty:
                return False
            if pending is None:
                return True
            batch.append(pending)
        return False

    def _write_batch(self, batch: list[_PendingWrite]) -> list[_Outcome]:
        """Write a batch in one transaction; if that fails, write each in a separate transaction.

        The separate transactions show which writes of the batch fail.
        """
        failure = self._transact([pending.write for pending in batch])
        if failure is None or len(batch) == 1:
            return [_Outcome(pending.done, failure) for pending in batch]
        return [_Outcome(pending.done, self._transact([pending.write])) for pending in batch]

    def _transact(self, writes: list[Write]) -> StateError | None:
        connection = self._database.connection
        try:
            connection.execute("BEGIN IMMEDIATE")
            for write in writes:
                write(connection)
            connection.execute("COMMIT")
        except sqlite3.Error as error:
            with contextlib.suppress(sqlite3.Error):
                connection.execute("ROLLBACK")
            return StateError(f"{self._database.path}: {error}")
        self.writes += len(writes)
        self.transactions += 1
        return None


def _resolve(outcomes: list[_Outcome]) -> None:
    for done, failure in outcomes:
        if done.done():
            continue
        if failure is None:
            done.set_result(None)
        else:
            done.set_exception(failure)


def _mark_retrieved(done: asyncio.Future[None]) -> None:
    """Mark a failure as retrieved, so that asyncio does not log it for a future that is not awaited."""
    if not done.cancelled():
        done.exception()
