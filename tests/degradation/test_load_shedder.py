"""Tests of admission at each level: queue limits, order of classes, fair shares and retry delays."""

from __future__ import annotations

import pytest
from degradation_drivers import BATCH, BLEND, WEB, LoadedPlacer
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.degradation import AdmissionRequest, Level


def test_every_job_is_admitted_at_full() -> None:
    assert LoadedPlacer(Level.FULL).fill(BATCH) == 1000


@pytest.mark.parametrize("level", [Level.CAREFUL, Level.RECOVERING, Level.ESSENTIAL, Level.HOLDING])
def test_reduced_levels_limit_queues_and_give_essential_classes_the_higher_limit(level: Level) -> None:
    batch, blend = LoadedPlacer(level).fill(BATCH), LoadedPlacer(level).fill(BLEND)
    assert batch < blend < 100
    if level is Level.HOLDING:
        assert batch == 0
    elif level is Level.CAREFUL:
        assert batch > 10


def test_essential_work_is_admitted_past_a_full_queue_of_other_work() -> None:
    placer = LoadedPlacer(Level.ESSENTIAL)
    placer.fill(BATCH)
    assert placer.submit(BATCH) == "ReducedService"
    assert placer.submit(BLEND) == ""


def test_free_capacity_extends_the_queue_limit() -> None:
    assert LoadedPlacer(Level.CAREFUL, placements_per_s=1).fill(BATCH) < 20
    assert LoadedPlacer(Level.CAREFUL, placements_per_s=1, free_task_slots=400.0).fill(BATCH) > 100


def test_jobs_that_would_miss_their_deadline_are_rejected_at_once() -> None:
    placer = LoadedPlacer(Level.CAREFUL, placements_per_s=10)
    assert placer.submit(BLEND, task_count=40) == ""
    assert placer.submit(BLEND, remaining_ms=300.0) in ("CannotBeInTime", "ReducedService")
    placer = LoadedPlacer(Level.CAREFUL, placements_per_s=10)
    placer.submit(BLEND, task_count=15)
    assert placer.submit(BLEND, remaining_ms=300.0) == "CannotBeInTime"
    assert placer.submit(BLEND, remaining_ms=5000.0) == ""


def test_one_owner_cannot_fill_the_queue_of_others() -> None:
    placer = LoadedPlacer(Level.CAREFUL)
    for owner in "bcde":
        placer.submit(BATCH, owner)
    assert placer.fill(BATCH, "a") < 30
    assert placer.submit(BATCH, "a") == "OwnerOverShare"
    assert placer.submit(BATCH, "b") == ""


def test_an_owner_with_more_weight_may_queue_more_tasks() -> None:
    def admitted_count(**weights: float) -> int:
        placer = LoadedPlacer(Level.CAREFUL, owner_weights=weights)
        for owner in "bcde":
            placer.submit(BATCH, owner)
        return placer.fill(BATCH, "a")

    assert admitted_count(a=4.0) > admitted_count()


def test_retry_delays_have_jitter() -> None:
    placer = LoadedPlacer(Level.ESSENTIAL)
    placer.fill(BATCH)
    request = AdmissionRequest(BATCH, "a", 1, 5000.0)
    rejections = [placer.controller.decide_admission(placer.now, request) for _ in range(50)]
    delays_ms = {round(rejection.retry_ms, -2) for rejection in rejections if rejection is not None}
    assert len(delays_ms) > 5


def test_a_class_that_machines_reject_as_full_does_not_block_other_classes() -> None:
    placer = LoadedPlacer(Level.CAREFUL)
    for _ in range(40):
        placer.controller.on_offer_answered(placer.now, BLEND, rejected_as_full=True)
    placer.controller.on_admitted(BLEND, "a", 200)
    assert placer.submit(BLEND) == "ReducedService"
    assert placer.submit(BATCH) == ""


@settings(derandomize=True, deadline=None)
@given(
    st.sampled_from(list(Level)),
    st.integers(1, 60),
    st.lists(st.tuples(st.integers(0, 2), st.integers(1, 30)), max_size=30),
    st.floats(0, 200),
)
def test_no_class_is_rejected_while_one_of_lower_rank_is_admitted(
    level: Level, placements_per_s: int, queued: list[tuple[int, int]], free_task_slots: float
) -> None:
    placer = LoadedPlacer(level, placements_per_s, free_task_slots)
    for class_index, task_count in queued:
        placer.controller.on_admitted(class_index, "a", task_count)
    rejections = [
        placer.controller.load_shedder.decide(
            placer.controller.elapsed_ms,
            AdmissionRequest(class_index, "new", 1, 5000.0),
        )
        for class_index in (BATCH, WEB, BLEND)
    ]
    rejected = [rejection is not None for rejection in rejections]
    assert rejected == sorted(rejected, reverse=True), (
        "a class is rejected while one of lower rank is admitted"
    )
