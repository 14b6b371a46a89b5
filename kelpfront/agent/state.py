"""The agent's durable state: the tasks that it intended to start, their ends, and the agent's own metadata.

A write whose future has resolved survives a power failure. `state_database` manages the file, and
`state_writer` the thread that writes to it.
"""

from __future__ import annotations

import asyncio
import sqlite3
from pathlib import Path

from kelpfront.agent.state_database import StateDatabase, write_record
from kelpfront.agent.state_records import StoredState, TaskKey, TaskRecord
from kelpfront.agent.state_writer import StateWriter


class AgentState:
    """The state in one folder.

    Call `open` first. All methods must be called from the event loop's thread. Each write returns a future
    that resolves once the write survives a power failure, or fails with StateError. Awaiting it is optional.
    """

    def __init__(self, folder: Path, max_bytes: int = 0) -> None:
        """Use the state in `folder`; `max_bytes` limits the size of its file, 0 means no limit."""
        self.database = StateDatabase(folder, max_bytes)
        self._writer = StateWriter(self.database)

    @property
    def writes(self) -> int:
        """The number of writes that are durable."""
        return self._writer.writes

    @property
    def transactions(self) -> int:
        """The number of transactions that contained the durable writes."""
        return self._writer.transactions

    def open(self) -> StoredState:
        """Open the file and read all readable records. Raises StateError."""
        return self.database.open()

    def start(self) -> None:
        """Start the writing thread."""
        self._writer.start()

    async def close(self) -> None:
        """Complete the queued writes, then close the file."""
        await self._writer.close()
        self.database.close()

    def record_intent(self, record: TaskRecord) -> asyncio.Future[None]:
        """Record the intent to start a task."""
        return self._writer.submit(lambda connection: write_record(connection, record))

    def record_superseded(self, old: TaskKey, record: TaskRecord) -> asyncio.Future[None]:
        """Record that a later attempt takes over the process of an earlier one."""

        def write(connection: sqlite3.Connection) -> None:
            write_record(connection, record)
            connection.execute("DELETE FROM tasks WHERE task=? AND attempt=?", old)

        return self._writer.submit(write)

    def record_end(self, record: TaskRecord) -> asyncio.Future[None]:
        """Record how a task ended."""
        return self._writer.submit(lambda connection: write_record(connection, record))

    def record_acknowledged(self, keys: list[TaskKey]) -> asyncio.Future[None]:
        """Record that placers have acknowledged the ends of tasks."""
        statement = "UPDATE tasks SET heard=1 WHERE task=? AND attempt=?"
        return self._writer.submit(lambda connection: connection.executemany(statement, keys))

    def delete(self, keys: list[TaskKey]) -> asyncio.Future[None]:
        """Delete records of ended tasks."""
        statement = "DELETE FROM tasks WHERE task=? AND attempt=?"
        return self._writer.submit(lambda connection: connection.executemany(statement, keys))

    def set_metadata(self, name: str, value: str) -> asyncio.Future[None]:
        """Record a named value of the agent, which concerns no particular task."""
        statement = "INSERT OR REPLACE INTO meta VALUES (?, ?)"
        return self._writer.submit(lambda connection: connection.execute(statement, (name, value)))
