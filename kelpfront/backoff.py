"""Exponential backoff with jitter, for retries of connections and requests.

It only computes delays: the caller supplies the random generator, waits and retries.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

INITIAL_MS = 50.0
"""The first delay, before jitter."""
MAX_MS = 2_000.0
"""The longest delay, before jitter. A peer that recovers is reached again within this time."""


@dataclass(slots=True)
class Backoff:
    """Delays that double from `initial_ms` to `max_ms`, each drawn from the upper half of its length.

    The jitter spreads the retries of clients that lost the same peer at the same moment.
    """

    rng: random.Random
    initial_ms: float = INITIAL_MS
    max_ms: float = MAX_MS
    failure_count: int = 0

    def next_delay_ms(self) -> float:
        """Count a failure and return the time to wait before the next attempt."""
        delay_ms = min(self.max_ms, self.initial_ms * 2.0**self.failure_count)
        self.failure_count += 1
        return delay_ms * (0.5 + self.rng.random() / 2)

    def reset(self) -> None:
        """Start again from the initial delay, after a success."""
        self.failure_count = 0
