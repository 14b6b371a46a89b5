"""Decides how often and for how long to poll the coordinator, based on its answers. Performs no I/O.

Placers share nothing, and all of them start at once after a power failure. An overloaded service answers each
poll late. A placer that abandons its poll and sends a new one only lengthens the queue, and the answer to the
abandoned poll is wasted: with a hundred placers and twenty answers per second, no placer that started without
a list ever received one. A poll is therefore kept while it may still be answered. A second poll in parallel,
the hedge, detects a dead path. The hedge delay does not grow with repeated hedges: if it doubled, events
reported after an outage of some seconds would be received too late.

The protocol limits how late events may be received: half a second after they were reported. What a silent
service would have reported counts as reported two seconds after the end of the requested wait. A slow answer
may lengthen the hedge delay of the next poll, but not beyond that limit.

A starting placer knows only the list in its file, which may be seconds old and lack a drain, and its clients
connect at once. Its first poll therefore asks for an immediate answer, and clients are accepted once that has
arrived. If the service refuses connections, fails or is silent, clients are accepted at the latest
MAX_FIRST_ANSWER_WAIT_MS after the start of the process. On a small share of a core, importing the modules and
reading the file may take seconds of that time.
"""

from __future__ import annotations

import random

from kelpfront.backoff import Backoff
from kelpfront.platform.timeouts import POLL_SLACK_MS, POLL_WAIT_MS

MAX_POLLS_IN_FLIGHT = 2
"""The first poll is the closest to its answer, the last the most likely to be on a working path."""

HEDGE_DELAY_MS = POLL_WAIT_MS + POLL_SLACK_MS
"""Another poll is sent when the last one has not been answered for this time."""

NOTIFIED_AFTER_MS = 2_000.0
"""Time after the wait of a poll at which a silent service's events count as reported."""

MAX_HEDGE_DELAY_MS = POLL_WAIT_MS + NOTIFIED_AFTER_MS - POLL_SLACK_MS
"""Leaves the service POLL_SLACK_MS to answer the hedge before its events count as reported."""

MAX_FIRST_ANSWER_WAIT_MS = 7_000.0
"""By then all events that were held back count as reported, so a longer wait gains nothing."""

MIN_FIRST_ANSWER_WAIT_MS = 2_000.0
"""Minimum wait, however long the start took, so that an available service can answer."""

# Backoff after a refused or broken connection, which costs the service little. A service that is available
# again reports a drain immediately, and rule 3 of the protocol allows half a second for the backoff, the
# connection and the answer.
MIN_BACKOFF_MS = 20.0
MAX_BACKOFF_MS = 200.0

OVERLOADED_BACKOFF_MS = 1_000.0
"""Minimum backoff after the service has reported overload."""

MAX_RETRY_AFTER_MS = 5_000.0
"""Upper limit for the service's Retry-After; a longer pause could make the endpoint list stale."""

MAX_JITTER = 1.5
"""Upper limit of the random factor on the backoff for an overloaded service, which spreads the polls."""


def first_answer_wait_ms(process_age_ms: float) -> float:
    """Return how long a process of this age rejects clients while it waits for the list's first answer."""
    return max(MIN_FIRST_ANSWER_WAIT_MS, MAX_FIRST_ANSWER_WAIT_MS - process_age_ms)


class PollPacing:
    """Delays between one placer's polls.

    Attributes:
        hedge_delay_ms: time without an answer after which another poll is sent in parallel.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._backoff = Backoff(rng, MIN_BACKOFF_MS, MAX_BACKOFF_MS)
        self.hedge_delay_ms = HEDGE_DELAY_MS

    def on_answer(self, elapsed_ms: float) -> None:
        """Adapt the hedge delay to an answer: the next may exceed the wait by twice as much as this one."""
        late_ms = max(0.0, elapsed_ms - POLL_WAIT_MS)
        adapted_delay_ms = max(HEDGE_DELAY_MS, POLL_WAIT_MS + 2.0 * late_ms)
        self.hedge_delay_ms = min(MAX_HEDGE_DELAY_MS, adapted_delay_ms)
        self._backoff.reset()

    def on_failure(self) -> float:
        """Return the milliseconds until the next poll after a refused or broken connection."""
        return self._backoff.next_delay_ms()

    def on_overloaded(self, retry_after_s: float) -> float:
        """Return the milliseconds until the next poll after the service has reported overload."""
        self._backoff.next_delay_ms()
        backoff_ms = max(OVERLOADED_BACKOFF_MS, 1_000.0 * retry_after_s)
        return min(MAX_RETRY_AFTER_MS, backoff_ms) * self._rng.uniform(1.0, MAX_JITTER)

    def reset(self) -> None:
        """Reset all delays for another address, about which nothing is known."""
        self.hedge_delay_ms = HEDGE_DELAY_MS
        self._backoff.reset()
