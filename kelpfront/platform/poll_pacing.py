"""How often and for how long the coordinator is polled, by what its own answers show. Pure.

Placers share nothing, and all of them start at once after a power cut. A service that falls behind answers
each late; one that gives up and polls anew only lengthens the queue, and its answer comes to nobody: of a
hundred placers at twenty answers a second none without a list of its own ever had one. A poll is kept while
it may still be answered. A second one beside it, a hedge, finds out whether the path is dead, and is sent
anew as often as ever: were its delay to double, what is notified after an outage of some seconds would be
received too late.

How late events may be received, the protocol says: half a second after they were notified; and what a silent
service would have notified counts as notified two seconds after the end of the wait that was asked for. A
slow answer may lengthen the hedge's delay with the next poll, but not past that.

A placer that starts has the list of its file, which may be seconds old and know of no drain, and its clients
are there at once. So its first poll wants an answer without delay, and clients are accepted when it has
come. A service that refuses, breaks off or is silent keeps them out for as long as it may:
MAX_FIRST_ANSWER_WAIT_MS from when the process began. With little of a core its modules and its file alone may
take seconds of it.
"""

from __future__ import annotations

import random

from kelpfront.backoff import Backoff
from kelpfront.platform.timeouts import POLL_SLACK_MS, POLL_WAIT_MS

MAX_POLLS_IN_FLIGHT = 2
"""The first is the nearest to its answer, the last the likeliest to be on a path that works."""

HEDGE_DELAY_MS = POLL_WAIT_MS + POLL_SLACK_MS
"""What was polled last is silent for so long: another poll beside it."""

NOTIFIED_AFTER_MS = 2_000.0
"""Past the wait of a poll: then what a silent service would have notified counts as notified."""

MAX_HEDGE_DELAY_MS = POLL_WAIT_MS + NOTIFIED_AFTER_MS - POLL_SLACK_MS
"""Polled again, the service has the rest of that time to answer."""

MAX_FIRST_ANSWER_WAIT_MS = 7_000.0
"""By then all that was withheld counts as notified: to wait longer gains nothing."""

MIN_FIRST_ANSWER_WAIT_MS = 2_000.0
"""However long the start took, so that a service that is there can answer."""

# After a refusal or a break, which cost the service little. One that is back notifies of a drain at once, and
# rule 3 gives half a second: the backoff, a connection and the answer have to fit in it.
MIN_BACKOFF_MS = 20.0
MAX_BACKOFF_MS = 200.0

OVERLOADED_BACKOFF_MS = 1_000.0
"""After the service's own answer that it is overloaded, at least."""

MAX_RETRY_AFTER_MS = 5_000.0
"""Of the service's own Retry-After: a longer one would outlast what the list may be silent for."""

MAX_JITTER = 1.5
"""The backoff of an overloaded service is lengthened by chance up to so many times, so that polls spread."""


def first_answer_wait_ms(alive_ms: float) -> float:
    """Return how long a process that began so long ago keeps clients out until the list's first answer."""
    return max(MIN_FIRST_ANSWER_WAIT_MS, MAX_FIRST_ANSWER_WAIT_MS - alive_ms)


class PollPacing:
    """The pace of one placer's polls; chance comes from the caller.

    Attributes:
        hedge_delay_ms: after which silence another poll is sent beside the last one.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._backoff = Backoff(rng, MIN_BACKOFF_MS, MAX_BACKOFF_MS)
        self.hedge_delay_ms = HEDGE_DELAY_MS

    def on_answer(self, elapsed_ms: float) -> None:
        """Take note of an answer: what it was late by, beyond the wait, the next may be late by twice."""
        late_ms = max(0.0, elapsed_ms - POLL_WAIT_MS)
        wanted_ms = max(HEDGE_DELAY_MS, POLL_WAIT_MS + 2.0 * late_ms)
        self.hedge_delay_ms = min(MAX_HEDGE_DELAY_MS, wanted_ms)
        self._backoff.reset()

    def on_failure(self) -> float:
        """Return the milliseconds until the next poll after a refusal or a break."""
        return self._backoff.next_delay_ms()

    def on_overloaded(self, retry_after_s: float) -> float:
        """Return the milliseconds until the next poll after the service's answer that it is overloaded."""
        self._backoff.next_delay_ms()
        backoff_ms = max(OVERLOADED_BACKOFF_MS, 1_000.0 * retry_after_s)
        return min(MAX_RETRY_AFTER_MS, backoff_ms) * self._rng.uniform(1.0, MAX_JITTER)

    def reset(self) -> None:
        """Begin anew with another address, of which nothing is known."""
        self.hedge_delay_ms = HEDGE_DELAY_MS
        self._backoff.reset()
