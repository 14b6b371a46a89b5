"""How long a placer in service waits for others, and what it then concludes. Pure.

Time-outs of attempts, health checks and silence of machines are decided by `kelpfront.scheduling`; here is
what only a placer with sockets meets.
"""

from __future__ import annotations

import msgspec

RECONNECT_MS = 250.0
"""Between attempts to reach a machine on which tasks run."""

DEAD_AFTER_REFUSALS = 2
"""Refused connections in a row: the process is dead; one alone may meet a restart of its listener."""

UNLISTED_MACHINE_MS = 2_000.0
"""An adopted task on a machine that no list names within this time is over."""

MAX_UNLISTED_MACHINE_MS = 6_000.0
"""The same where the list has given no answer since: its end is owed to the client within 8 s."""

POLL_WAIT_MS = 1_000.0
"""Wait of one poll: what a silent coordinator would have notified counts as notified 2 s after its end."""

POLL_SLACK_MS = 500.0
"""Past that wait; then the coordinator is polled on another connection."""

POLL_CONNECT_MS = 500.0
"""For a connection to the coordinator, where the settings say nothing of connections."""

DISCOVERY_STALE_MS = 7_000.0
"""Since the list's last answer: what the coordinator withholds counts as notified by now."""

DRAIN_SERVE_MS = 800.0
"""Once told to end: clients that have not been notified of it yet still come."""

DRAIN_ACCEPT_MS = 700.0
"""Once told to end: a request that comes later would be lost with an end that nobody announces."""

REBIND_MS = 50.0
"""Between attempts to bind the listening address."""

MAX_REBIND_MS = 10_000.0
"""For so long in all: a former incarnation may still hold the address, and look after its tasks."""


class ReachabilityCheck(msgspec.Struct):
    """Whether the process of a machine on which tasks run is alive, by attempts to connect in a row."""

    refusals: int = 0

    def on_refused(self) -> bool:
        """Return whether the process is dead, and what ran there is over."""
        self.refusals += 1
        return self.refusals >= DEAD_AFTER_REFUSALS

    def on_no_response(self) -> None:
        """Begin to count anew: nobody refused, and a machine that is cut off may run on."""
        self.refusals = 0


class ShutdownSchedule(msgspec.Struct, frozen=True):
    """When a placer that was told to end may do so. Times are Unix milliseconds.

    Attributes:
        begun_at: when it was told to end.
        longest_deadline_ms: the longest deadline of all classes.
    """

    begun_at: float
    longest_deadline_ms: float

    def rejects_requests(self, now: float) -> bool:
        """Return whether a new request is rejected: its placer might be killed before it is answered."""
        return now > self.begun_at + DRAIN_ACCEPT_MS

    def is_over(self, now: float, unanswered_count: int, request_count: int) -> bool:
        """Return whether all is answered, and tasks were looked after while their end would go unreported.

        Afterwards tasks run on at their machines, and are handed to the next incarnation.
        """
        if unanswered_count or now < self.begun_at + DRAIN_SERVE_MS:
            return False
        return not request_count or now >= self.begun_at + DRAIN_SERVE_MS + self.longest_deadline_ms
