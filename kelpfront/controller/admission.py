"""Checks whether a job can be answered before its deadline, before anything about it is stored.

A controller that accepts more than it can handle answers late, which breaks the guarantee that every task is
answered by its deadline. A job rejected here was never started, so its client can safely retry. All functions
are pure.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_QUEUE_WAIT_MS = 900.0
"""Longest wait of a request before it is read; under overload newer requests are served first (LIFO)."""
MAX_PENDING_TASKS = 1_000
"""Limit on accepted tasks that wait for the scheduler; working them off takes some hundred milliseconds."""
MIN_REMAINING_TICKS = 5
"""Least remaining time, in timer ticks; anything shorter is spent on the round trip to a machine."""
MAX_CLIENT_SENT_AGE_MS = 60_000.0
"""Oldest send time that is accepted in a request; an older one means that the client's clock is wrong."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """The times of a submission, in milliseconds of the common clock.

    Attributes:
        now: the current time.
        received_at: when the request was received.
        sent_at: when the client sent the request according to its own clock; None if it did not say.
        timeout_ms: how long the client waits for an answer.
    """

    now: float
    received_at: float
    sent_at: float | None
    timeout_ms: float


def timeout_starts_at(arrival: Arrival) -> float:
    """Return when the client's timeout began: the client's send time if plausible, else the receive time."""
    sent_at = arrival.sent_at
    if sent_at is None or not arrival.received_at - MAX_CLIENT_SENT_AGE_MS <= sent_at <= arrival.received_at:
        return arrival.received_at
    return sent_at


def overload_reason(now: float, received_at: float) -> str:
    """Return why a request to create work is rejected because of overload; empty if it is accepted.

    This runs before the body is parsed, because a rejection must be cheap under overload.
    """
    waited_ms = now - received_at
    if waited_ms > MAX_QUEUE_WAIT_MS:
        return f"the placer is behind: the request waited {waited_ms:.0f} ms for its turn"
    return ""


def rejection_reason(arrival: Arrival, pending_count: int, tick_ms: float) -> str:
    """Return why a job is rejected; empty if it is accepted.

    Args:
        arrival: the times of the submission.
        pending_count: the number of accepted tasks that were not passed to the scheduler yet.
        tick_ms: the resolution of the timers.
    """
    if pending_count >= MAX_PENDING_TASKS:
        return f"the placer is behind: {pending_count} tasks wait to be looked at"
    remaining_ms = timeout_starts_at(arrival) + arrival.timeout_ms - arrival.now
    if remaining_ms < MIN_REMAINING_TICKS * tick_ms:
        return f"too late: {max(0.0, remaining_ms):.0f} ms of its patience are left"
    return ""
