"""The placers that a failure detector sends digests to: who subscribed, and for how long.

The number of subscribers is bounded and a subscription expires; a placer that is not subscribed checks
machines by itself.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from kelpfront.failure_detection.digest import Hello

PlacerAddress = tuple[str, int]
"""Address and port from which a placer sends hellos and at which it receives digests."""

MAX_SUBSCRIBERS = 1_024  # further placers check machines by themselves
SUBSCRIPTION_TTL_MS = 10_000.0  # without a hello


@dataclass(frozen=True, slots=True)
class Subscriber:
    """The last hello of a placer and when it arrived, on the detector's clock."""

    hello: Hello
    received_at: float


class Subscribers:
    """The present subscribers by address."""

    def __init__(self) -> None:
        self._by_address: dict[PlacerAddress, Subscriber] = {}

    def __len__(self) -> int:
        return len(self._by_address)

    def __iter__(self) -> Iterator[tuple[PlacerAddress, Subscriber]]:
        return iter(self._by_address.items())

    def receive(self, now: float, address: PlacerAddress, hello: Hello) -> bool:
        """Subscribe a placer, or renew its subscription. Returns False where there is no capacity."""
        known = self._by_address.get(address)
        if known is None and len(self._by_address) >= MAX_SUBSCRIBERS:
            return False
        is_same_incarnation = known is not None and known.hello.incarnation == hello.incarnation
        if known is not None and is_same_incarnation and hello.sent_at_ms <= known.hello.sent_at_ms:
            return True  # a duplicate, or overtaken by a later hello
        self._by_address[address] = Subscriber(hello, now)
        return True

    def expire(self, now: float) -> None:
        """Drop the subscribers whose last hello is too old."""
        for address, subscriber in list(self._by_address.items()):
            if now - subscriber.received_at > SUBSCRIPTION_TTL_MS:
                del self._by_address[address]
