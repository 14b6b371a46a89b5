"""The bound: no schedule is better, and on what is small enough the best one reaches it."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.lab.bound import BoundError, Machine, Work, best, machines_of, work_of
from kelpfront.lab.policies import controller_for
from kelpfront.lab.timeline.emulation import play
from kelpfront.lab.timeline.script import read_day

SLOT = 1_000.0


@st.composite
def works(draw: st.DrawFn) -> Work:
    asked = draw(st.integers(0, 2)) * SLOT
    worth = float(draw(st.integers(1, 9)))
    return Work(
        asked,
        asked,  # in the aim only in its first slot
        asked + draw(st.integers(0, 2)) * SLOT,
        draw(st.integers(1, 3)) * SLOT,
        float(draw(st.integers(1, 3))),
        1.0,
        worth,
        worth * 0.5,
    )


machines = st.builds(
    lambda cores, begin, length: Machine(float(cores), 4.0, ((begin * SLOT, (begin + length) * SLOT),)),
    st.integers(1, 4),
    st.integers(0, 1),
    st.integers(1, 7),
)


def by_trying_all(work: Sequence[Work], fleet: Sequence[Machine]) -> float:
    """Every machine and slot for every piece of work, or none."""
    choices = []
    for one in work:
        its: list[tuple[int, int] | None] = [None]
        for number in range(len(fleet)):
            its += [
                (number, slot) for slot in range(int(one.asked_at // SLOT), int(one.deadline // SLOT) + 1)
            ]
        choices.append(its)
    found = 0.0
    for chosen in itertools.product(*choices):
        used: dict[tuple[int, int], tuple[float, float]] = {}
        worth, good = 0.0, True
        for one, choice in zip(work, chosen, strict=True):
            if choice is None:
                continue
            number, start = choice
            ups = {s for a, b in fleet[number].up for s in range(int(a // SLOT), int(b // SLOT) + 1)}
            for slot in range(start, start + int(one.length // SLOT)):
                cores, memory = used.get((number, slot), (0.0, 0.0))
                used[number, slot] = cores + one.cores, memory + one.memory
                good &= slot in ups or slot > 7
                good &= used[number, slot][0] <= fleet[number].cores and used[number, slot][1] <= 4.0
            worth += one.worth_in if start * SLOT <= one.aim_until else one.worth_late
        if good:
            found = max(found, worth)
    return found


@settings(max_examples=40)
@given(st.lists(works(), min_size=1, max_size=4), st.lists(machines, min_size=1, max_size=2))
def test_exact_is_what_trying_all_finds_and_pool_is_no_lower(work: list[Work], fleet: list[Machine]) -> None:
    exact = best(work, fleet, SLOT, "exact").worth
    assert exact == pytest.approx(by_trying_all(work, fleet), abs=1e-6)
    assert best(work, fleet, SLOT, "pool").worth >= exact - 1e-6


def test_what_does_not_fit_together_is_worth_the_better_one() -> None:
    work = [Work(0, 0, 0, 2 * SLOT, 3.0, 1.0, worth, worth) for worth in (5.0, 7.0)]
    fleet = [Machine(4.0, 4.0, ((0.0, 9 * SLOT),))]
    assert best(work, fleet, SLOT, "exact").worth == 7.0
    assert best(work, fleet, SLOT, "pool").worth == pytest.approx(
        7.0 + 5.0 / 3.0
    )  # a third of the other fits


def test_memory_bounds_as_cores_do() -> None:
    work = [Work(0, 0, 0, SLOT, 0.1, 3.0, 5.0, 5.0) for _ in range(2)]
    assert best(work, [Machine(100.0, 4.0, ((0.0, 5 * SLOT),))], SLOT, "exact").worth == 5.0


def test_nothing_is_worth_nothing() -> None:
    assert best([], [Machine(1.0, 1.0, ((0.0, SLOT),))], SLOT).worth == 0.0
    assert best([Work(0, 0, SLOT, SLOT, 1, 1, 1, 1)], [Machine(1.0, 1.0, ())], SLOT).worth == 0.0


def test_a_day_that_is_too_large_says_so() -> None:
    work = [Work(0, 0, 50 * SLOT, SLOT, 1, 1, 1, 1) for _ in range(200)]
    fleet = [Machine(4.0, 4.0, ((0.0, 99 * SLOT),))] * 20
    with pytest.raises(BoundError, match="at most"):
        best(work, fleet, SLOT, "exact")


@pytest.mark.parametrize("policy", ["rules", "random", "perfect"])
def test_no_policy_is_better_than_the_bound_of_its_day(policy: str) -> None:
    text = "name: short\nseconds: 6\nsettle: 8\nmachines: 2\nplacers: 1\nrate: 30\nlife_ms: 2500\n"
    text += "faults:\n  - {kind: crash, at: 2, lasts: 1, machines: [n001]}\n"
    played = play(read_day(text, "test"), 1, controller_class=controller_for(policy))
    work = work_of(played.lines, played.config, 1.0, 1.0)
    fleet = machines_of(played.lines, played.config)
    assert len(work) == played.figures["jobs"]
    assert len(fleet[0].up) + len(fleet[1].up) == 3  # the one that crashed was up twice
    found = best(work, fleet, 500.0).worth
    assert 0.3 * found < played.figures["measures"]["worth"] <= found
