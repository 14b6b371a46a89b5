"""How many file descriptors the connections of clients and to machines may hold. Pure.

Which connection is closed in favour of a new one is decided by `idle_connections` and `descriptor_budget`.
"""

from __future__ import annotations

import msgspec

MAX_ACCEPT_BURST = 24
"""Maximum size of a burst: connections that are accepted before the limits are checked."""

RESERVED_FOR_FILES = 16
"""Descriptors reserved beside connections: standard streams, the listener, the event loop, modules."""

OPENED_AFTER_START = 8
"""Of that reserve, those opened after the start: the listener, the file of a reload, reads for the log."""

RESERVED_FOR_POLLS = 6
"""Polls of the endpoint list: two in flight, two being closed, and those to a new address after a move."""

MIN_CLIENT_CONNECTIONS = 32
"""Client connections allowed however many machines hold: a placer that accepts no client is useless."""

BURST_DIVISOR = 16
"""A burst is at most the number of descriptors divided by this."""

MIN_BURST = 2
"""Minimum size of a burst."""

MIN_CONNECTIONS = 4
"""Connections in total, however few descriptors there are: two for clients and two for machines."""

CLIENT_SHARE = (11, 20)
"""Share of the descriptors for clients (numerator, denominator); most of their connections are idle."""

MACHINE_DIVISOR = 4
"""The share for connections to machines is the number of descriptors divided by this."""


class DescriptorShares(msgspec.Struct, frozen=True):
    """How many descriptors the connections of clients and to machines may hold.

    The remaining descriptors are reserved for files, for polls of the endpoint list, for `burst` connections
    that were just accepted, and for as many that were just closed in favour of new ones, whose sockets are
    closed one loop iteration later. This reserve must stay free: a placer without a descriptor cannot receive
    a drain, and a machine to which it cannot connect appears dead.

    Above the share of machines, up to `max_machines`, a machine without a connection still gets one, because
    tasks run on it. An idle client connection is closed for it or, if there is none, an idle connection to
    another machine.

    Attributes:
        clients: maximum of client connections.
        min_clients: client connections allowed however many machines hold.
        machines: connections to machines up to which a machine may get more than one.
        max_machines: maximum of connections to machines; each one above `machines` is the only one to its
            machine.
        total: maximum of all connections.
        burst: connections accepted in one burst.
    """

    clients: int
    min_clients: int
    machines: int
    max_machines: int
    total: int
    burst: int

    @classmethod
    def of(cls, sockets: int, open_at_start: int = 0) -> DescriptorShares:
        """Return the shares for a number of descriptors.

        Args:
            sockets: descriptors that the process may have.
            open_at_start: descriptors that were open before the first connection.
        """
        burst = max(MIN_BURST, min(MAX_ACCEPT_BURST, sockets // BURST_DIVISOR))
        files = max(RESERVED_FOR_FILES, open_at_start + OPENED_AFTER_START)
        total = max(MIN_CONNECTIONS, sockets - files - RESERVED_FOR_POLLS - 2 * burst)
        min_clients = min(MIN_CLIENT_CONNECTIONS, total // 2)
        machines = min(sockets // MACHINE_DIVISOR, total - min_clients)
        numerator, denominator = CLIENT_SHARE
        clients = min(sockets * numerator // denominator, total - machines)
        return cls(clients, min_clients, machines, total - min_clients, total, burst)

    def max_clients_with(self, machines: int) -> int:
        """Return how many connections clients may hold while there are `machines` connections to machines."""
        return max(self.min_clients, min(self.clients, self.total - machines))

    def machine_may_open(self, machines: int, clients: int) -> bool:
        """Return whether a descriptor is left for one more connection to a machine, given both counts."""
        return machines < self.max_machines and machines + clients < self.total
