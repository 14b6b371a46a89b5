"""Tests which client connections are closed and how descriptors are shared, without sockets."""

from __future__ import annotations

from kelpfront.platform import client_connections, idle_connections
from kelpfront.platform.descriptor_shares import MAX_ACCEPT_BURST, MIN_CLIENT_CONNECTIONS, DescriptorShares
from kelpfront.platform.idle_connections import ConnectionActivity, EvictionOrder, PartialLine


def test_silent_then_longest_idle_connections_are_evicted_but_none_in_use() -> None:
    eviction: EvictionOrder[str] = EvictionOrder()
    opened = {"waits": 1.0, "idle": 2.0, "idle longer": 3.0, "silent longer": 5.0, "silent": 6.0, "new": 9.8}
    for name, at in (opened | {"just heard": 9.0}).items():
        eviction.on_opened(name, at)
        if name != "new":
            eviction.on_first_read(name)
    for name, at in (("waits", 1.5), ("idle", 2.5), ("idle longer", 3.5), ("idle", 4.0), ("just heard", 9.9)):
        eviction.on_active(name, at)
    order = []
    while (evicted := eviction.next_to_evict(10.0, lambda name: name == "waits")) is not None:
        order.append(evicted)
        eviction.remove(evicted)
    assert order == ["silent longer", "silent", "idle longer", "idle"]
    eviction.on_first_read("new")
    assert eviction.next_to_evict(10.0, lambda name: name == "waits") == "new"


def test_clients_and_machines_together_stay_within_the_descriptors() -> None:
    for sockets in (256, 784, 986):
        shares = DescriptorShares.of(sockets)
        assert shares.max_clients_with(0) == shares.clients
        in_use = range(sockets - 64 - MIN_CLIENT_CONNECTIONS)
        assert all(shares.max_clients_with(n) + n + 2 * MAX_ACCEPT_BURST < sockets for n in in_use)
        assert shares.max_clients_with(2 * sockets) == MIN_CLIENT_CONNECTIONS


def test_many_connections_at_once_are_not_closed_with_their_requests_unread() -> None:
    """Guards against closing connections with unread requests in the loop iteration that opened them."""
    order: EvictionOrder[int] = EvictionOrder()
    for number in range(100):
        order.on_opened(number, 1.0)
        assert order.next_to_evict(9.0, lambda _: False) is None
    for number in range(100):
        order.on_first_read(number)
    assert (
        order.next_to_evict(1.1, lambda _: False) == 0
    )  # they sent nothing: silent connections do not shut out others


def test_a_connection_that_sends_nothing_valid_is_closed_in_time() -> None:
    def closed(
        opened_at: float,
        last_valid_at: float,
        now: float,
        *,
        is_in_use: bool = False,
        line: PartialLine | None = None,
    ) -> bool:
        return ConnectionActivity(opened_at, last_valid_at, is_in_use, line).is_closed_at(now)

    assert not closed(10.0, -1.0, 11.0)
    assert closed(10.0, -1.0, 10.0 + idle_connections.NO_VALID_MESSAGE_S)
    assert not closed(10.0, -1.0, 99.0, is_in_use=True)
    assert not closed(10.0, 11.0, 99.0)
    started = PartialLine.after_read(None, 20.0, has_ended=False, has_partial=True)
    assert started == PartialLine(20.0, 20.0)
    assert not closed(10.0, 11.0, 20.0 + idle_connections.FRAGMENT_S - 0.1, line=started)
    assert closed(10.0, 11.0, 20.0 + idle_connections.FRAGMENT_S, line=started)
    assert not closed(10.0, 11.0, 99.0, is_in_use=True, line=started)
    extended = PartialLine.after_read(
        started, 20.0 + idle_connections.LINE_S - 0.1, has_ended=False, has_partial=True
    )
    assert not closed(10.0, 11.0, 20.0 + idle_connections.LINE_S - 0.1, line=extended)
    assert closed(10.0, 11.0, 20.0 + idle_connections.LINE_S, line=extended)  # however many fragments arrive
    assert PartialLine.after_read(extended, 50.0, has_ended=True, has_partial=True) == PartialLine(50.0, 50.0)
    assert PartialLine.after_read(extended, 50.0, has_ended=True, has_partial=False) is None
    # An incomplete request on a new connection is closed within 3 s of opening, including the sweep interval.
    assert not closed(19.0, -1.0, 19.0 + idle_connections.FIRST_LINE_S - 0.1, line=started)
    assert closed(19.0, -1.0, 19.0 + idle_connections.FIRST_LINE_S, line=started)
    assert closed(19.0, -1.0, 19.0 + idle_connections.FIRST_LINE_S, line=PartialLine(20.0, 21.4))
    assert not closed(19.0, -1.0, 99.0, is_in_use=True, line=started)
    assert idle_connections.FIRST_LINE_S + client_connections.SWEEP_INTERVAL_S < 3.0
