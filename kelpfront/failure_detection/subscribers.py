"""The placers that are subscribed to the digests of a failure detector.

The number of subscribers is bounded, and subscriptions expire. A placer without a subscription checks
machines itself.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from kelpfront.failure_detection.digest import Hello

PlacerAddress = tuple[str, int]
"""Address and port from which a placer sends hellos and at which it receives digests."""

MAX_SUBSCRIBERS = 1_024  # further placers check machines themselves
SUBSCRIPTION_TTL_MS = 10_000.0  # since the last hello


@dataclass(frozen=True, slots=True)
class Subscriber:
    """The last hello of a placer and its arrival time on the detector's clock."""

    hello: Hello
    received_at: float


class Subscribers:
    """The current subscribers by address."""

    def __init__(self) -> None:
        self._by_address: dict[PlacerAddress, Subscriber] = {}

    def __len__(self) -> int:
        return len(self._by_address)

    def __iter__(self) -> Iterator[tuple[PlacerAddress, Subscriber]]:
        return iter(self._by_address.items())

    def receive(self, now: float, address: PlacerAddress, hello: Hello) -> bool:
        """Subscribe a placer or renew its subscription. Return False if there are too many subscribers."""
        current = self._by_address.get(address)
        if current is None and len(self._by_address) >= MAX_SUBSCRIBERS:
            return False
        is_same_incarnation = current is not None and current.hello.incarnation == hello.incarnation
        if current is not None and is_same_incarnation and hello.sent_at_ms <= current.hello.sent_at_ms:
            return True  # a duplicate, or an older hello that arrived late
        self._by_address[address] = Subscriber(hello, now)
        return True

    def expire(self, now: float) -> None:
        """Drop the subscribers whose last hello is too old."""
        for address, subscriber in list(self._by_address.items()):
            if now - subscriber.received_at > SUBSCRIPTION_TTL_MS:
                del self._by_address[address]
