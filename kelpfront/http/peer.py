"""The other end of a connection, for those who must know when it has closed.

The server (or a gRPC stream) marks it; handlers subscribe to it.
"""

from __future__ import annotations

from collections.abc import Callable


class Peer:
    """The other end of a connection. `closed` is set when it has closed, or the connection broke.

    A peer that only shut down its sending side (as `nc -N` does) has `half_closed` set; it may still read.
    """

    __slots__ = ("_subscribers", "address", "closed", "half_closed")

    def __init__(self) -> None:
        self.address = ""
        self.closed = False
        self.half_closed = False
        self._subscribers: list[Callable[[], None]] = []

    def on_change(self, call: Callable[[], None]) -> Callable[[], None]:
        """Call `call` when `closed` or `half_closed` is set, at once if one already is.

        Returns what removes the subscription.
        """
        self._subscribers.append(call)
        if self.closed or self.half_closed:
            call()

        def cancel() -> None:
            if call in self._subscribers:
                self._subscribers.remove(call)

        return cancel

    def mark_closed(self) -> None:
        """Record that the other end has closed."""
        self.closed = True
        self._notify()

    def mark_half_closed(self) -> None:
        """Record that the other end sends nothing more."""
        self.half_closed = True
        self._notify()

    def _notify(self) -> None:
        for call in list(self._subscribers):  # a copy, because a call may cancel its subscription
            call()
