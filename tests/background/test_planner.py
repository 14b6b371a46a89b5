"""The planner of background work keeps to its budget and starves no task, at any foreground load."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.background.planner import MIN_BUDGET_SHARE, BackgroundTask, Budget, Planner, StepCost

BUDGET = Budget(cpu_ms=50.0, bytes=100_000.0)
LOAD_CHANGES_EVERY_MS = 500.0


@dataclass(frozen=True, slots=True)
class Step:
    """A step that was run."""

    started_at: float
    name: str
    cost: StepCost


def task(name: str, **changes: float) -> BackgroundTask:
    defaults = {"interval_ms": 1.0, "deadline_ms": 0.0, "max_cpu_ms": 1.0}
    return BackgroundTask(name, **({"priority": 0} | defaults | changes))  # type: ignore[arg-type]


def random_tasks(rng: random.Random) -> list[BackgroundTask]:
    return [
        BackgroundTask(
            f"c{number}",
            priority=rng.randrange(3),
            interval_ms=rng.choice([5.0, 200.0, 2_000.0]),
            deadline_ms=rng.choice([0.0, 100.0, 5_000.0]),
            max_cpu_ms=rng.uniform(0.5, 5.0),
            max_bytes=rng.choice([0.0, 4_000.0]),
        )
        for number in range(rng.randint(1, 6))
    ]


def run_planner(
    planner: Planner, tasks: list[BackgroundTask], rng: random.Random, until: float
) -> list[Step]:
    """Run steps of random cost while the foreground load changes at random."""
    steps = []
    now = 0.0
    load_changes_at = 0.0
    task_by_name = {each.name: each for each in tasks}
    while now < until:
        if now >= load_changes_at:
            planner.set_foreground_load(now, rng.choice([0.0, 0.5, 1.0, 1.0]))
            load_changes_at = now + LOAD_CHANGES_EVERY_MS
        name = planner.start_next(now)
        if name is None:
            next_start_at = planner.next_start_at(now)
            assert next_start_at > now, "an immediate call would start nothing"
            now = min(next_start_at, load_changes_at)
            continue
        cpu_ms = rng.uniform(0.1, 1.0) * task_by_name[name].max_cpu_ms
        cost = StepCost(cpu_ms, rng.uniform(0.0, 1.0) * task_by_name[name].max_bytes)
        steps.append(Step(now, name, cost))
        now += cpu_ms
        planner.complete(now, name, cost, has_more=rng.random() < 0.2)
    return steps


def assert_within_budget(steps: list[Step], costs: list[float], rate_per_s: float, max_cost: float) -> None:
    """Assert that no window costs more than its own budget, one second's saved budget and one step."""
    for first in range(0, len(steps), 7):
        total = 0.0
        for step, cost in zip(steps[first:], costs[first:], strict=True):
            total += cost
            window_s = (step.started_at - steps[first].started_at) / 1000.0
            assert total <= rate_per_s * (window_s + 1.0) + max_cost + 1e-6


@settings(max_examples=60)
@given(st.integers(0, 10_000))
def test_no_window_costs_more_than_the_budget_and_no_task_is_starved(seed: int) -> None:
    rng = random.Random(seed)
    tasks = random_tasks(rng)
    planner = Planner(tasks, BUDGET, seed, 0.0)
    steps = run_planner(planner, tasks, rng, 30_000.0)
    assert steps
    max_cpu_ms = max(each.max_cpu_ms for each in tasks)
    max_bytes = max(each.max_bytes for each in tasks)
    assert_within_budget(steps, [step.cost.cpu_ms for step in steps], BUDGET.cpu_ms, max_cpu_ms)
    assert_within_budget(steps, [step.cost.bytes for step in steps], BUDGET.bytes, max_bytes)
    for report in planner.report(30_000.0):
        assert report.max_delay_ms <= planner.max_start_delay_ms(report.name) + 1e-6, report


def test_the_highest_priority_runs_first_until_another_task_is_past_its_deadline() -> None:
    tasks = [
        BackgroundTask("urgent", priority=0, interval_ms=1.0, deadline_ms=1e6, max_cpu_ms=10.0),
        BackgroundTask("other", priority=1, interval_ms=1.0, deadline_ms=3_000.0, max_cpu_ms=10.0),
    ]
    planner = Planner(tasks, BUDGET, 1, 0.0)
    now = 10.0
    order = []
    while now < 9_000.0:
        name = planner.start_next(now)
        if name is None:
            now = planner.next_start_at(now)
            continue
        order.append((now, name))
        now += 10.0
        planner.complete(now, name, StepCost(10.0), has_more=name == "urgent")  # it always has more steps
    other_started_at = [at for at, name in order if name == "other"]
    assert [name for _, name in order[:5]] == ["urgent"] * 5
    assert 3_000.0 <= other_started_at[0] <= 3_300.0
    assert len(other_started_at) == 2


def test_foreground_load_reduces_the_budget_down_to_the_minimum_share() -> None:
    def count_steps(busy_share: float) -> int:
        planner = Planner([task("a", interval_ms=0.001)], BUDGET, 1, 0.0)
        planner.set_foreground_load(0.0, busy_share)
        now = 1.0
        count = 0
        while now < 60_000.0:
            if planner.start_next(now) is None:
                now = max(now + 0.01, planner.next_start_at(now))
                continue
            planner.complete(now, "a", StepCost(1.0))
            count += 1
        return count

    idle, half, busy = count_steps(0.0), count_steps(0.5), count_steps(1.0)
    assert idle == pytest.approx(60 * BUDGET.cpu_ms, rel=0.05)
    assert half == pytest.approx(idle / 2, rel=0.05)
    assert busy == pytest.approx(idle * MIN_BUDGET_SHARE, rel=0.25)


def test_a_step_over_budget_delays_the_next_until_the_debt_is_paid() -> None:
    planner = Planner([task("a")], BUDGET, 1, 0.0)
    assert planner.start_next(10.0) == "a"
    planner.complete(10.0, "a", StepCost(550.0))  # a debt of ten seconds of the budget
    assert planner.start_next(9_000.0) is None
    assert planner.next_start_at(9_000.0) == pytest.approx(10_010.0, abs=1.0)
    assert planner.start_next(10_011.0) == "a"


def test_one_step_runs_at_a_time_and_a_cancelled_one_is_due_again() -> None:
    tasks = [task("a", interval_ms=100.0), task("b", priority=1, interval_ms=100.0)]
    planner = Planner(tasks, BUDGET, 1, 0.0)
    first = planner.start_next(500.0)
    assert first is not None
    assert planner.start_next(500.0) is None
    assert planner.next_start_at(500.0) == math.inf
    planner.cancel(501.0, first)
    assert planner.report(501.0)[0].step_count == 0
    assert planner.start_next(501.0) == first
    with pytest.raises(ValueError, match="is not running"):
        planner.complete(501.0, "b" if first == "a" else "a", StepCost(1.0))


def test_an_expedited_task_is_due_immediately() -> None:
    planner = Planner([task("snapshot", interval_ms=1e6)], BUDGET, 1, 0.0)
    assert planner.start_next(1.0) is None
    planner.expedite(1.0, "snapshot")
    assert planner.start_next(1.0) == "snapshot"


def test_first_steps_of_placers_that_start_together_are_spread() -> None:
    first_starts_at = {
        Planner([task("a", interval_ms=60_000.0)], BUDGET, seed, 0.0).next_start_at(0.0) for seed in range(20)
    }
    assert len(first_starts_at) == 20
    assert max(first_starts_at) - min(first_starts_at) > 30_000.0


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"interval_ms": 0.0}, "a: interval_ms"),
        ({"max_cpu_ms": math.nan}, "a: max_cpu_ms"),
        ({"deadline_ms": -1.0}, "a: deadline_ms"),
    ],
)
def test_the_error_for_an_invalid_task_names_its_field(change: dict[str, float], message: str) -> None:
    with pytest.raises(ValueError, match=message):
        task("a", **change)
    with pytest.raises(ValueError, match="duplicate task name"):
        Planner([task("a")] * 2, BUDGET, 1, 0.0)
