"""Counts how often each limit of one placer was reached, and logs the first time. Pure.

The limits themselves are defined in the modules that enforce them.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum

from kelpfront.platform.log_records import LimitReached, LogRecords


class Limit(Enum):
    """A limit; its value is its name in the log."""

    REQUESTS = "requests"
    REQUESTS_PER_CONNECTION = "requests_per_connection"
    REQUEST_MEMORY = "request_memory"
    ADOPTED_TASKS = "adopted_tasks"
    EARLY_TASK_ENDS = "early_task_ends"
    UNDELIVERED_TASK_ENDS = "undelivered_task_ends"
    CLIENT_CONNECTIONS = "client_connections"
    CONNECTIONS_PER_MACHINE = "connections_per_machine"
    DESCRIPTORS = "descriptors"
    UNSENT_MACHINE_LINES = "unsent_machine_lines"


class LimitMonitor:
    """Counts how often each limit was reached; `log` receives a record the first time."""

    def __init__(self, log: LogRecords) -> None:
        self._log = log
        self.counts: Counter[Limit] = Counter()

    def reached(self, limit: Limit) -> None:
        """Record that the limit was reached."""
        self.counts[limit] += 1
        if self.counts[limit] == 1:
            self._log.add(LimitReached(limit.value))

    def fields(self) -> dict[str, int]:
        """Return the counts of the limits that were reached, as fields of a log line."""
        return {f"limit_{limit.value}": count for limit, count in self.counts.items()}
