"""The memory that clients' requests use, limited in total and for each connection. Pure."""

from __future__ import annotations

from collections import Counter

from kelpfront.platform.intents import ConnectionId


class RequestMemory:
    """Counts the bytes of requests by connection.

    A connection may use as many bytes as are still free. One client alone thus gets half of the limit, and
    however many use as much as they may, there is room left for the requests of others.

    Attributes:
        used_bytes: the bytes of all requests.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.used_bytes = 0
        self._limit_bytes = limit_bytes
        self._per_connection: Counter[ConnectionId] = Counter()

    def has_room(self, connection: ConnectionId, size: int) -> bool:
        """Return whether a request of `size` bytes may be added on the connection."""
        free_bytes = self._limit_bytes - self.used_bytes
        return self._per_connection[connection] + size <= free_bytes

    def reserve(self, connection: ConnectionId, size: int) -> None:
        """Count bytes of a connection."""
        self.used_bytes += size
        self._per_connection[connection] += size

    def release(self, connection: ConnectionId, size: int) -> None:
        """Count bytes as free again."""
        self.used_bytes -= size
        self._per_connection[connection] -= size
        if not self._per_connection[connection]:
            del self._per_connection[connection]
