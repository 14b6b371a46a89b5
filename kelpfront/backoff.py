"""When to try again to reach something. Pure: chance comes from the caller."""

from __future__ import annotations

import random
from dataclasses import dataclass

FIRST_MS = 50.0
MOST_MS = 2_000.0


@dataclass(slots=True)
class Backoff:
    """Pauses that double from `first_ms` to `most_ms`, each drawn between half and whole of its length.

    The draw parts placers that lost the same machine at the same instant.
    """

    rng: random.Random
    first_ms: float = FIRST_MS
    most_ms: float = MOST_MS
    failures: int = 0

    def failed(self) -> float:
        """How long to wait before the next try."""
        pause = min(self.most_ms, self.first_ms * 2.0**self.failures)
        self.failures += 1
        return pause * (0.5 + self.rng.random() / 2)

    def worked(self) -> None:
        self.failures = 0
