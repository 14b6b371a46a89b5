"""Which clients' connections are closed, and how descriptors are shared, without sockets."""

from __future__ import annotations

from kelpfront.platform import client_connections, idle_connections
from kelpfront.platform.descriptor_shares import ACCEPT_BURST, MIN_CLIENT_CONNECTIONS, DescriptorShares
from kelpfront.platform.idle_connections import ConnectionActivity, EvictionOrder, PartialLine


def test_silent_then_longest_idle_connections_are_evicted_and_none_that_waits() -> None:
    eviction: EvictionOrder[str] = EvictionOrder()
    opened = {"waits": 1.0, "idle": 2.0, "idle longer": 3.0, "silent longer": 5.0, "silent": 6.0, "new": 9.8}
    for name, at in (opened | {"just heard": 9.0}).items():
        eviction.on_opened(name, at)
        if name != "new":
            eviction.on_first_read(name)
    for name, at in (("waits", 1.5), ("idle", 2.5), ("idle longer", 3.5), ("idle", 4.0), ("just heard", 9.9)):
        eviction.on_active(name, at)
    order = []
    while (found := eviction.next_evicted(10.0, lambda name: name == "waits")) is not None:
        order.append(found)
        eviction.remove(found)
    assert order == ["silent longer", "silent", "idle longer", "idle"]
    eviction.on_first_read("new")
    assert eviction.next_evicted(10.0, lambda name: name == "waits") == "new"


def test_clients_and_machines_together_stay_within_the_descriptors() -> None:
    for sockets in (256, 784, 986):
        shares = DescriptorShares.of(sockets)
        assert shares.clients_beside(0) == shares.clients
        held = range(sockets - 64 - MIN_CLIENT_CONNECTIONS)
        assert all(shares.clients_beside(n) + n + 2 * ACCEPT_BURST < sockets for n in held)
        assert shares.clients_beside(2 * sockets) == MIN_CLIENT_CONNECTIONS


def test_many_connections_at_once_are_not_closed_with_their_requests_unread() -> None:
    """Guards against connections closed in the turn in which they were opened, their set-ups unread."""
    order: EvictionOrder[int] = EvictionOrder()
    for number in range(100):
        order.on_opened(number, 1.0)
        assert order.next_evicted(9.0, lambda _: False) is None
    for number in range(100):
        order.on_first_read(number)
    assert (
        order.next_evicted(1.1, lambda _: False) == 0
    )  # they said nothing: silent ones do not shut out others


def test_a_connection_that_sends_nothing_valid_is_closed_in_time() -> None:
    def closed(
        opened: float, heard: float, now: float, *, carries: bool = False, line: PartialLine | None = None
    ) -> bool:
        return ConnectionActivity(opened, heard, carries, line).is_closed_at(now)

    assert not closed(10.0, -1.0, 11.0)
    assert closed(10.0, -1.0, 10.0 + idle_connections.NO_VALID_MESSAGE_S)
    assert not closed(10.0, -1.0, 99.0, carries=True)
    assert not closed(10.0, 11.0, 99.0)
    begun = PartialLine.after_read(None, 20.0, has_ended=False, has_partial=True)
    assert begun == PartialLine(20.0, 20.0)
    assert not closed(10.0, 11.0, 20.0 + idle_connections.FRAGMENT_S - 0.1, line=begun)
    assert closed(10.0, 11.0, 20.0 + idle_connections.FRAGMENT_S, line=begun)
    assert not closed(10.0, 11.0, 99.0, carries=True, line=begun)
    grown = PartialLine.after_read(
        begun, 20.0 + idle_connections.LINE_S - 0.1, has_ended=False, has_partial=True
    )
    assert not closed(10.0, 11.0, 20.0 + idle_connections.LINE_S - 0.1, line=grown)
    assert closed(10.0, 11.0, 20.0 + idle_connections.LINE_S, line=grown)  # however it trickles in
    assert PartialLine.after_read(grown, 50.0, has_ended=True, has_partial=True) == PartialLine(50.0, 50.0)
    assert PartialLine.after_read(grown, 50.0, has_ended=True, has_partial=False) is None
    # Half a request and no more, on a new connection: 3 s from its opening, a sweep included.
    assert not closed(19.0, -1.0, 19.0 + idle_connections.FIRST_LINE_S - 0.1, line=begun)
    assert closed(19.0, -1.0, 19.0 + idle_connections.FIRST_LINE_S, line=begun)
    assert closed(19.0, -1.0, 19.0 + idle_connections.FIRST_LINE_S, line=PartialLine(20.0, 21.4))
    assert not closed(19.0, -1.0, 99.0, carries=True, line=begun)
    assert idle_connections.FIRST_LINE_S + client_connections.SWEEP_S < 3.0
