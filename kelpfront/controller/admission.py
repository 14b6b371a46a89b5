"""Checks whether a job can still be accepted in time, before anything of it is stored. Pure functions.

A controller that accepts more than it can handle answers late, and a late answer breaks the promise of one
answer in time. A job that is rejected here was never started, so its client may retry without harm.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_QUEUE_WAIT_MS = 900.0
"""Longest wait of a request before it was read: it had its chance while it was new."""
MAX_PENDING_TASKS = 1_000
"""Accepted tasks that the scheduler has not been given yet: some hundred milliseconds of work."""
MIN_REMAINING_TICKS = 5
"""Least remaining time, in ticks of the timers: less is spent on the way to a machine and back."""
MAX_CLIENT_SENT_AGE_MS = 60_000.0
"""Oldest credible time of sending in a request: anything older comes from a clock that is wrong."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """The times of a submission, in milliseconds of the common clock.

    Attributes:
        now: the present.
        received_at: when the request came in.
        sent_at: when the client says that it sent the request, if it says so.
        timeout_ms: how long the client waits for an answer.
    """

    now: float
    received_at: float
    sent_at: float | None
    timeout_ms: float


def timeout_starts_at(arrival: Arrival) -> float:
    """Return when the client's timeout began: when it sent the request, if it says so credibly."""
    sent = arrival.sent_at
    if sent is None or not arrival.received_at - MAX_CLIENT_SENT_AGE_MS <= sent <= arrival.received_at:
        return arrival.received_at
    return sent


def overload_reason(now: float, received_at: float) -> str:
    """Return why a request that would bring work is rejected unread; empty where it is not.

    It is called before a body is parsed: under overload a rejection must cost little.
    """
    waited_ms = now - received_at
    if waited_ms > MAX_QUEUE_WAIT_MS:
        return f"the placer is behind: the request waited {waited_ms:.0f} ms for its turn"
    return ""


def rejection_reason(arrival: Arrival, pending_count: int, tick_ms: float) -> str:
    """Return why a job is not accepted now; empty where it is.

    Args:
        arrival: the times of the submission.
        pending_count: accepted tasks that the scheduler has not been given yet.
        tick_ms: the resolution of the timers.
    """
    if pending_count >= MAX_PENDING_TASKS:
        return f"the placer is behind: {pending_count} tasks wait to be looked at"
    remaining_ms = timeout_starts_at(arrival) + arrival.timeout_ms - arrival.now
    if remaining_ms < MIN_REMAINING_TICKS * tick_ms:
        return f"too late: {max(0.0, remaining_ms):.0f} ms of its patience are left"
    return ""
