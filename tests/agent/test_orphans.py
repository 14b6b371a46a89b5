"""Detection of placers that do not reconnect for their tasks."""

from __future__ import annotations

from kelpfront.agent.orphans import OrphanDetector


def test_a_placer_expires_only_after_the_timeout_without_interruption() -> None:
    orphans = OrphanDetector(1000.0)
    assert orphans.expired_placers(0.0, {"a", "b"}, {"a"}) == []
    assert orphans.expired_placers(900.0, {"a", "b"}, {"a"}) == []
    assert orphans.expired_placers(950.0, {"a", "b"}, {"a", "b"}) == []  # b reconnects briefly
    assert orphans.expired_placers(1500.0, {"a", "b"}, {"a"}) == []
    assert orphans.expired_placers(2500.0, {"a", "b"}, {"a"}) == ["b"]
    assert orphans.expired_placers(2600.0, {"a"}, {"a"}) == []
    assert OrphanDetector(float("inf")).expired_placers(1e18, {"a"}, ()) == []
