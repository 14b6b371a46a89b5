"""The other end of a connection, for code that must be notified when it closes.

The server (or a gRPC stream) records the changes; handlers subscribe to them.
"""

from __future__ import annotations

from collections.abc import Callable


class Peer:
    """The other end of a connection. `closed` is set once it has closed or the connection broke.

    `half_closed` is set if the peer only shut down its sending side (as `nc -N` does); it may still read.
    """

    __slots__ = ("_subscribers", "address", "closed", "half_closed")

    def __init__(self) -> None:
        self.address = ""
        self.closed = False
        self.half_closed = False
        self._subscribers: list[Callable[[], None]] = []

    def on_change(self, callback: Callable[[], None]) -> Callable[[], None]:
        """Call `callback` when `closed` or `half_closed` is set, and at once if one already is.

        Returns a function that cancels the subscription.
        """
        self._subscribers.append(callback)
        if self.closed or self.half_closed:
            callback()

        def cancel() -> None:
            if callback in self._subscribers:
                self._subscribers.remove(callback)

        return cancel

    def mark_closed(self) -> None:
        """Record that the other end has closed."""
        self.closed = True
        self._notify()

    def mark_half_closed(self) -> None:
        """Record that the other end has shut down its sending side."""
        self.half_closed = True
        self._notify()

    def _notify(self) -> None:
        for callback in list(self._subscribers):  # a copy, because a callback may cancel its subscription
            callback()
