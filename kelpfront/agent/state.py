"""The agent's durable state: which tasks it was to start, and what it knows of them.

What is answered as recorded survives a power failure. The file is `state_database`'s, and the thread that
writes it `state_writer`'s.
"""

from __future__ import annotations

import asyncio
import sqlite3
from pathlib import Path

from kelpfront.agent.state_database import StateDatabase, write_record
from kelpfront.agent.state_records import StoredState, TaskKey, TaskRecord
from kelpfront.agent.state_writer import StateWriter


class AgentState:
    """The state in one folder. Open it first; all calls are from the event loop's thread.

    Each write returns a future that is done once it survives a power failure, and that raises StateError
    where it could not be written. Nobody need await it.
    """

    def __init__(self, folder: Path, max_bytes: int = 0) -> None:
        """Take the state in `folder`; `max_bytes` bounds its file, 0 is no bound but the disk's."""
        self.database = StateDatabase(folder, max_bytes)
        self._writer = StateWriter(self.database)

    @property
    def writes(self) -> int:
        """The number of writes that are durable."""
        return self._writer.writes

    @property
    def transactions(self) -> int:
        """The number of transactions that they took."""
        return self._writer.transactions

    def open(self) -> StoredState:
        """Read what is there, as far as it is readable. Raises StateError."""
        return self.database.open()

    def start(self) -> None:
        """Begin to make writes."""
        self._writer.start()

    async def close(self) -> None:
        """Make the writes that wait, then close the file."""
        await self._writer.close()
        self.database.close()

    def record_intent(self, record: TaskRecord) -> asyncio.Future[None]:
        """Record that a task is to be started."""
        return self._writer.submit(lambda connection: write_record(connection, record))

    def record_superseded(self, old: TaskKey, record: TaskRecord) -> asyncio.Future[None]:
        """Record that a later attempt has the process from now on."""

        def write(connection: sqlite3.Connection) -> None:
            write_record(connection, record)
            connection.execute("DELETE FROM tasks WHERE task=? AND attempt=?", old)

        return self._writer.submit(write)

    def record_end(self, record: TaskRecord) -> asyncio.Future[None]:
        """Record how a task ended."""
        return self._writer.submit(lambda connection: write_record(connection, record))

    def record_acknowledged(self, keys: list[TaskKey]) -> asyncio.Future[None]:
        """Record that placers have received the ends of tasks."""
        statement = "UPDATE tasks SET heard=1 WHERE task=? AND attempt=?"
        return self._writer.submit(lambda connection: connection.executemany(statement, keys))

    def delete(self, keys: list[TaskKey]) -> asyncio.Future[None]:
        """Delete records of ended tasks."""
        statement = "DELETE FROM tasks WHERE task=? AND attempt=?"
        return self._writer.submit(lambda connection: connection.executemany(statement, keys))

    def set_metadata(self, name: str, value: str) -> asyncio.Future[None]:
        """Record a value of the agent itself."""
        statement = "INSERT OR REPLACE INTO meta VALUES (?, ?)"
        return self._writer.submit(lambda connection: connection.execute(statement, (name, value)))
