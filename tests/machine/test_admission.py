"""Admission of offers on a machine, preemption for them, and eviction when memory runs out."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.machine.admission import Capacity, Claim, Request, decide_admission, select_evictions

CAPACITY = Capacity(10.0, 20.0, 2.0, 1.5)


def test_preemption_ends_the_fewest_tasks_of_lowest_priority_youngest_first() -> None:
    claims = [
        Claim("old", 0, 5, 1, since=1),
        Claim("young", 0, 5, 1, since=2),
        Claim("important", 2, 10, 1, since=3),
    ]
    assert decide_admission(CAPACITY, claims, Request(2, 5, 1), preempts=True).preempted == ("young",)
    assert decide_admission(CAPACITY, claims, Request(2, 10, 1), preempts=True).preempted == ("young", "old")
    assert decide_admission(CAPACITY, claims, Request(2, 11, 1), preempts=True).reason == "NO_CORES"
    assert decide_admission(CAPACITY, claims, Request(0, 5, 1), preempts=True).reason == "NO_CORES"
    assert decide_admission(CAPACITY, claims, Request(2, 5, 1), preempts=False).reason == "NO_CORES"


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 3), st.floats(0, 4), st.floats(0, 8)), max_size=12),
    st.integers(0, 3),
    st.floats(0.1, 12),
    st.floats(0.1, 20),
)
def test_admission_never_overcommits_and_preempts_only_lower_priorities(
    requested: list[tuple[int, float, float]], priority: int, cores: float, memory: float
) -> None:
    claims = [Claim(str(n), p, c, m, since=n) for n, (p, c, m) in enumerate(requested)]
    decision = decide_admission(CAPACITY, claims, Request(priority, cores, memory), preempts=True)
    left = [claim for claim in claims if claim.task not in decision.preempted]
    assert all(claim.priority < priority for claim in claims if claim.task in decision.preempted)
    fits = sum(c.cores for c in left) + cores <= 20.001 and sum(c.memory for c in left) + memory <= 30.001
    assert fits == (not decision.reason)
    lasting = [claim for claim in claims if claim.priority >= priority]
    possible = sum(c.cores for c in lasting) + cores <= 20 and sum(c.memory for c in lasting) + memory <= 30
    assert not possible or not decision.reason


def test_eviction_ends_low_priorities_and_those_furthest_over_their_request_first() -> None:
    claims = [
        Claim("important", 2, 1, 5, 0, used_memory=9),
        Claim("over", 0, 1, 2, 0, used_memory=8),
        Claim("under", 0, 1, 8, 0, used_memory=6),
    ]
    assert select_evictions(CAPACITY, claims) == ("over",)
    assert select_evictions(CAPACITY, claims, other_memory=10) == ("over", "under")
    assert select_evictions(CAPACITY, claims[:1]) == ()
