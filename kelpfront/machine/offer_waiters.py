"""Connections that wait for the answer to an offer.

Several may wait for one answer: a placer that lost its connection sends the same offer again. Giving up an
offer for which nobody waits any more is left to the server.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from kelpfront.machine.messages import Answer


class OfferKey(NamedTuple):
    """What identifies an offer on one machine."""

    task: str
    attempt: int


class OfferWaiters:
    """Futures of answers, by offer. All calls are from the event loop's thread."""

    def __init__(self) -> None:
        self._futures: dict[OfferKey, list[asyncio.Future[Answer]]] = {}

    def add(self, key: OfferKey) -> asyncio.Future[Answer]:
        """Return a future of the answer to an offer."""
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._futures.setdefault(key, []).append(future)
        return future

    def resolve(self, key: OfferKey, answer: Answer) -> None:
        """Hand the answer to all that wait for it."""
        for future in self._futures.pop(key, ()):
            if not future.done():
                future.set_result(answer)

    def cancel(self, key: OfferKey, future: asyncio.Future[Answer]) -> bool:
        """Cancel a future that waits; returns whether it was the last one of its offer."""
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
