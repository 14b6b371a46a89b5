"""Requests that wait for the answer to an offer.

Several requests may wait for one answer, since a placer that lost its connection sends the same offer again.
The server abandons an offer when no request waits for it any more.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from kelpfront.machine.messages import Answer


class OfferKey(NamedTuple):
    """The identity of an offer on one machine."""

    task: str
    attempt: int


class OfferWaiters:
    """Futures of answers, by offer. All methods must be called from the event loop's thread."""

    def __init__(self) -> None:
        self._futures: dict[OfferKey, list[asyncio.Future[Answer]]] = {}

    def add(self, key: OfferKey) -> asyncio.Future[Answer]:
        """Create a future for the answer to an offer."""
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._futures.setdefault(key, []).append(future)
        return future

    def resolve(self, key: OfferKey, answer: Answer) -> None:
        """Set the answer on all futures of an offer."""
        for future in self._futures.pop(key, ()):
            if not future.done():
                future.set_result(answer)

    def cancel(self, key: OfferKey, future: asyncio.Future[Answer]) -> bool:
        """Cancel a pending future; returns whether it was the last one of its offer."""
        waiting = self._futures.get(key, [])
        if future not in waiting:
            return False
        waiting.remove(future)
        future.cancel()
        if waiting:
            return False
        self._futures.pop(key, None)
        return True

    def cancel_all(self) -> None:
        """Cancel all futures."""
        for futures in self._futures.values():
            for future in futures:
                future.cancel()
