"""How many file descriptors clients' and machines' connections may hold. Pure.

Which connection makes way for a new one is decided by `idle_connections` and `descriptor_budget`.
"""

from __future__ import annotations

import msgspec

ACCEPT_BURST = 24
"""Connections that are accepted before their limits are checked, where there are many descriptors."""

RESERVED_FOR_FILES = 16
"""Descriptors that are no connections: standard streams, the listener, the loop's own, modules."""

OPENED_LATER = 8
"""Of those, opened after the start: the listener, the file of a reload, reads for the log."""

RESERVED_FOR_POLLS = 6
"""Of the endpoint list: two in flight, two being dropped, and those of another address after a move."""

MIN_CLIENT_CONNECTIONS = 32
"""Whatever machines hold: a placer that accepts nobody is of no use."""

BURST_DIVISOR = 16
"""Of the descriptors, at most one in so many is accepted in one go."""

MIN_BURST = 2
"""Connections that are accepted in one go at least."""

MIN_CONNECTIONS = 4
"""Connections in all, however few descriptors there are: two of each side."""

CLIENT_SHARE = (11, 20)
"""Share of the descriptors for clients, as a fraction: their connections are many, and most are idle."""

MACHINE_DIVISOR = 4
"""Of the descriptors, one in so many is for connections to machines."""


class DescriptorShares(msgspec.Struct, frozen=True):
    """How many descriptors each side may hold.

    The rest is for files, for polls of the endpoint list, and for `burst` connections that were just accepted
    and as many that were just closed to make way, whose sockets are closed an iteration later. Nobody else
    takes it: a placer without a descriptor cannot receive a drain, and a machine that it cannot connect to
    seems dead.

    Past their share a machine without a connection still gets one, for tasks run there: up to `max_machines`.
    Idle clients make way for it, and where none is idle, the connection to another machine that is.

    Attributes:
        clients: connections of clients.
        min_clients: connections of clients, whatever machines hold.
        machines: connections to machines.
        max_machines: connections to machines, where each one more is the only one to its machine.
        total: connections of both sides.
        burst: connections accepted in one go.
    """

    clients: int
    min_clients: int
    machines: int
    max_machines: int
    total: int
    burst: int

    @classmethod
    def of(cls, sockets: int, open_at_start: int = 0) -> DescriptorShares:
        """Return the shares of so many descriptors.

        Args:
            sockets: descriptors of the process.
            open_at_start: those that it had open before any connection.
        """
        burst = max(MIN_BURST, min(ACCEPT_BURST, sockets // BURST_DIVISOR))
        files = max(RESERVED_FOR_FILES, open_at_start + OPENED_LATER)
        total = max(MIN_CONNECTIONS, sockets - files - RESERVED_FOR_POLLS - 2 * burst)
        min_clients = min(MIN_CLIENT_CONNECTIONS, total // 2)
        machines = min(sockets // MACHINE_DIVISOR, total - min_clients)
        numerator, denominator = CLIENT_SHARE
        clients = min(sockets * numerator // denominator, total - machines)
        return cls(clients, min_clients, machines, total - min_clients, total, burst)

    def clients_beside(self, machines: int) -> int:
        """Return how many connections clients may hold beside so many to machines."""
        return max(self.min_clients, min(self.clients, self.total - machines))

    def machine_may_open(self, machines: int, clients: int) -> bool:
        """Return whether one more connection to a machine has a descriptor, beside so many of either side."""
        return machines < self.max_machines and machines + clients < self.total
