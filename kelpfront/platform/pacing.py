"""How often and for how long the coordinator is asked, by what its own answers show. Pure.

Placers share nothing, and all of them start at once after a power cut. A service that falls behind answers
each late; one that gives up and asks anew only lengthens the line, and its answer comes to nobody: of a
hundred placers at twenty answers a second none without a list of its own ever had one. An ask is kept while
it may still be answered. A second beside it finds out whether the way is dead, and is sent anew as often as
ever: were its patience to double, what is told after an outage of some seconds would be heard too late.

How late news may be heard, the protocol says: half a second after it was told; and what a silent service
would have told counts as told two seconds after the end of the wait that was asked for. A slow answer may
lengthen the patience with the next ask, but not past that.

A placer that starts has the list of its file, which may be seconds old and know of no drain, and its owners
are there at once. So its first ask wants an answer without delay, and owners are let in when one has come. A
service that refuses, breaks off or says nothing keeps them out for as long as it may: NEWS_WAIT_MS from when
the process began. With little of a core its modules and its file alone may take seconds of it.
"""

from __future__ import annotations

import random

from kelpfront.backoff import Backoff
from kelpfront.platform.timeouts import POLL_SLACK_MS, POLL_WAIT_MS

ASKS_OUT = 2  # the first is the nearest to its answer, the last the likeliest to be on a way that works
PATIENCE_MS = POLL_WAIT_MS + POLL_SLACK_MS  # what is asked last is silent for so long: another beside it
TOLD_AFTER_MS = 2_000.0  # past the wait of an ask: then what a silent service would have told counts as told
PATIENCE_MOST_MS = POLL_WAIT_MS + TOLD_AFTER_MS - POLL_SLACK_MS  # asked again, it has that time to answer
NEWS_WAIT_MS = 7_000.0  # by then all that was withheld counts as told: to wait longer gains nothing
NEWS_LEAST_MS = 2_000.0  # however long the start took, so that a service that is there can answer
# After a refusal or a break, which cost the service little. One that is back tells of a drain at once, and
# rule 3 gives half a second: the pause, a connection and the answer have to fit in it.
FIRST_PAUSE_MS, MOST_PAUSE_MS = 20.0, 200.0
BUSY_PAUSE_MS, RETRY_AFTER_MOST_MS = 1_000.0, 5_000.0  # after its own word that it is too much


def news_wait_ms(alive_ms: float) -> float:
    """How long a process that began so long ago keeps owners out for news of the list."""
    return max(NEWS_LEAST_MS, NEWS_WAIT_MS - alive_ms)


class AskPace:
    """Of one placer. Chance comes from the caller."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._backoff = Backoff(rng, FIRST_PAUSE_MS, MOST_PAUSE_MS)
        self.patience_ms = PATIENCE_MS

    def answered(self, took_ms: float) -> None:
        """What the service was slow by, beyond the wait that was asked for, it may be slow by twice again."""
        slow = max(0.0, took_ms - POLL_WAIT_MS)
        self.patience_ms = min(PATIENCE_MOST_MS, max(PATIENCE_MS, POLL_WAIT_MS + 2.0 * slow))
        self._backoff.reset()

    def failed(self, busy: bool = False, retry_after_s: float = 0.0) -> float:
        """Milliseconds until the next ask. `busy`: the service said itself that it is too much."""
        pause = self._backoff.next_delay_ms()
        if not busy:
            return pause
        wanted = min(RETRY_AFTER_MOST_MS, max(BUSY_PAUSE_MS, 1_000.0 * retry_after_s))
        return wanted * self._rng.uniform(1.0, 1.5)

    def worked(self) -> None:
        """Another address: nothing is known of it."""
        self.patience_ms = PATIENCE_MS
        self._backoff.reset()
