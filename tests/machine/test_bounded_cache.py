"""A mapping of bounded size that drops its oldest entries."""

from __future__ import annotations

from kelpfront.machine.bounded_cache import BoundedCache


def test_the_oldest_entry_is_dropped_and_one_written_again_counts_as_new() -> None:
    cache: BoundedCache[str, int] = BoundedCache(2)
    cache.put("a", 1)
    cache.put("b", 2)
    cache.put("a", 3)
    cache.put("c", 4)
    assert list(cache.items()) == [("a", 3), ("c", 4)]
    assert "b" not in cache
    cache.discard("a")
    cache.discard("a")
    assert cache.get("a") is None


def test_a_cache_of_size_zero_keeps_nothing() -> None:
    cache: BoundedCache[str, None] = BoundedCache(0)
    cache.put("a", None)
    assert list(cache) == []
