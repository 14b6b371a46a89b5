"""Tests of the order in which admitted work leaves the queue."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.degradation import FairQueue


def test_the_highest_rank_leaves_first_and_owners_of_a_rank_alternate() -> None:
    queue: FairQueue[str] = FairQueue()
    for number in range(100):
        queue.push(0, "big", 100.0, f"big{number}")
    queue.push(0, "small", 900.0, "small")
    queue.push(1, "big", 900.0, "essential")
    order = [queue.pop() for _ in range(len(queue))]
    assert order[0] == "essential"
    assert order.index("small") <= 2
    assert [entry for entry in order if entry.startswith("big")] == [f"big{n}" for n in range(100)]


def test_entries_of_an_owner_leave_by_deadline() -> None:
    queue: FairQueue[int] = FairQueue()
    for deadline in (5, 3, 9, 1):
        queue.push(0, "a", float(deadline), deadline)
    assert [queue.pop() for _ in range(4)] == [1, 3, 5, 9]


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 2), st.sampled_from("abc"), st.floats(0, 10)), min_size=1, max_size=80),
    st.dictionaries(st.sampled_from("abc"), st.floats(0.01, 5.0)),
)
def test_every_entry_leaves_once_and_in_rank_order(
    entries: list[tuple[int, str, float]], weights: dict[str, float]
) -> None:
    queue: FairQueue[int] = FairQueue(lambda owner: weights.get(owner, 1.0))
    for number, (rank, owner, deadline) in enumerate(entries):
        queue.push(rank, owner, deadline, number)
    popped = [queue.pop() for _ in range(len(entries))]
    assert sorted(popped) == list(range(len(entries)))
    assert len(queue) == 0
    ranks = [entries[number][0] for number in popped]
    assert ranks == sorted(ranks, reverse=True)
    with pytest.raises(IndexError):
        queue.pop()


def test_owners_leave_in_proportion_to_their_weights() -> None:
    queue: FairQueue[str] = FairQueue(lambda owner: 3.0 if owner == "a" else 1.0)
    for _ in range(100):
        queue.push(0, "a", 1.0, "a")
        queue.push(0, "b", 1.0, "b")
    first = Counter(queue.pop() for _ in range(40))
    assert first["a"] == 30
    assert first["b"] == 10
