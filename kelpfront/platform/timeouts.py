"""Timeouts of a placer in service, and the decisions that follow from them. Pure.

Timeouts of attempts, health checks and unresponsive machines are decided by `kelpfront.scheduling`; this
module holds those that concern sockets.
"""

from __future__ import annotations

import msgspec

RECONNECT_INTERVAL_MS = 250.0
"""Interval between attempts to reconnect to a machine on which tasks run."""

REPORT_RECOVERY_INTERVAL_MS = 1_000.0
"""The same interval while another connection to the machine is open; it may have stopped listening."""

DEAD_AFTER_REFUSALS = 2
"""Consecutive refusals after which a process counts as dead; one may be a restart of its listener."""

UNLISTED_MACHINE_TIMEOUT_MS = 2_000.0
"""How long an adopted task waits for its machine to be listed; after that it counts as lost."""

MAX_UNLISTED_MACHINE_TIMEOUT_MS = 6_000.0
"""The same limit while the coordinator does not answer: the client must receive the end within 8 s."""

POLL_WAIT_MS = 1_000.0
"""How long a poll may be held open; 2 s later, events of a silent coordinator count as notified."""

POLL_SLACK_MS = 500.0
"""How late an answer may be after that wait; then the coordinator is polled on another connection."""

POLL_CONNECT_MS = 500.0
"""Connect timeout for the coordinator if the settings contain no connect timeout."""

DISCOVERY_STALE_MS = 7_000.0
"""Age of the coordinator's last answer at which the events that it withholds count as notified."""

DRAIN_SERVE_MS = 800.0
"""How long a placer serves after the signal to stop: clients not notified of it yet still connect."""

DRAIN_ACCEPT_MS = 700.0
"""How long it accepts requests after that signal: a later one could be lost in an unannounced kill."""

REBIND_INTERVAL_MS = 50.0
"""Interval between attempts to bind the listening address."""

REBIND_TIMEOUT_MS = 10_000.0
"""Limit of these attempts; the previous incarnation may still use the address and track its tasks."""


class ReachabilityCheck(msgspec.Struct):
    """Whether the process of a machine with running tasks is alive, judged from consecutive connects."""

    refusals: int = 0

    def on_refused(self) -> bool:
        """Count a refused connection; return whether the process is dead and its tasks are lost."""
        self.refusals += 1
        return self.refusals >= DEAD_AFTER_REFUSALS

    def on_no_response(self) -> None:
        """Reset the count: the connection was not refused, and an unreachable machine may still run."""
        self.refusals = 0


class ShutdownSchedule(msgspec.Struct, frozen=True):
    """When a placer that was told to stop may exit. Times are Unix milliseconds.

    Attributes:
        begun_at: when it was told to stop.
        longest_deadline_ms: the longest deadline of all classes.
    """

    begun_at: float
    longest_deadline_ms: float

    def rejects_requests(self, now: float) -> bool:
        """Return whether new requests are rejected: the placer might be killed before it answers them."""
        return now > self.begun_at + DRAIN_ACCEPT_MS

    def may_exit(self, now: float, unanswered_count: int, request_count: int) -> bool:
        """Return whether all requests are answered and running tasks were tracked for their grace period.

        Remaining tasks continue on their machines, and clients hand them over to the next incarnation.
        """
        if unanswered_count or now < self.begun_at + DRAIN_SERVE_MS:
            return False
        return not request_count or now >= self.begun_at + DRAIN_SERVE_MS + self.longest_deadline_ms
