"""Tests of the degradation controller: evidence, clock jumps, counted requests and attempt time."""

from __future__ import annotations

import pytest
from degradation_drivers import BATCH, BLEND, CLASSES, START_OF_CLOCK_MS, STEP_MS, WEB, LoadedPlacer

from kelpfront.degradation import (
    AdmissionRequest,
    AnsweredTask,
    CapacityView,
    DegradationController,
    Level,
    LevelSettings,
    OverloadObservation,
)
from kelpfront.degradation.explain import (
    describe_active_signals,
    describe_exit_conditions,
    describe_restrictions,
)


def two_zones(east_ready_cores: float) -> OverloadObservation:
    zones = {
        "east": CapacityView(100.0, east_ready_cores, 0.0),
        "west": CapacityView(100.0, 100.0, 0.0),
    }
    return OverloadObservation(zones)


def test_a_lost_zone_raises_the_level_and_is_explained_by_the_share_of_lost_cores() -> None:
    controller = DegradationController(LevelSettings(), CLASSES, 1)
    now = START_OF_CLOCK_MS
    change = None
    for _ in range(60):
        now += STEP_MS
        change = change or controller.observe(now, two_zones(east_ready_cores=0.0))
    assert change is not None
    assert change.after is Level.CAREFUL
    assert {item.signal for item in change.evidence} == {"cores-lost", "room-lost"}
    assert any("batch: taken while fewer than" in line for line in describe_restrictions(controller))
    assert any(
        "cores-lost must fall under 12 %, and is at 50 %" in line
        for line in describe_exit_conditions(controller)
    )
    assert any("room-lost is at 100 %" in line for line in describe_active_signals(controller))


@pytest.mark.parametrize("jump_ms", [3_600_000.0, -600_000.0, 1e12])
def test_a_clock_jump_is_no_evidence_and_adds_little_elapsed_time(jump_ms: float) -> None:
    controller = DegradationController(LevelSettings(), CLASSES, 1)
    now = START_OF_CLOCK_MS
    for number in range(200):
        now += STEP_MS
        lag = 500.0 if number == 100 else 0.0
        assert controller.observe(now, OverloadObservation(timer_lag_ms=lag)) is None
        if number == 100:
            now += jump_ms
    before = controller.elapsed_ms
    controller.observe(now + jump_ms, OverloadObservation())
    assert 0.0 <= controller.elapsed_ms - before <= 2_000.0


def test_the_unserved_signal_counts_only_feasible_first_requests() -> None:
    controller = DegradationController(LevelSettings(), CLASSES, 1)
    now = START_OF_CLOCK_MS
    controller.observe(now, OverloadObservation())
    for number in range(100):
        now += 50.0
        controller.decide_admission(now, AdmissionRequest(WEB, "a", 1, 5000.0, is_feasible=number % 2 == 0))
        controller.decide_admission(now, AdmissionRequest(WEB, "a", 1, 5000.0, is_retry=True))
        if number % 2 == 0:
            controller.on_admitted(WEB, "a", 1)
            controller.on_placed(now, AnsweredTask(WEB, "a", 100.0, 5000.0))
    controller.observe(now, OverloadObservation())
    assert controller.readings["unserved"] == 0.0


def test_at_essential_other_classes_are_attempted_for_a_shorter_time() -> None:
    controller = LoadedPlacer(Level.FULL).controller
    assert [controller.attempt_time_ms(class_index, 8_000.0) for class_index in (BATCH, BLEND)] == [
        8_000.0,
        8_000.0,
    ]
    controller = LoadedPlacer(Level.ESSENTIAL).controller
    assert [controller.attempt_time_ms(class_index, 8_000.0) for class_index in (BATCH, BLEND)] == [
        3_000.0,
        8_000.0,
    ]
    assert controller.attempt_time_ms(BATCH, 500.0) == 500.0, "never beyond the deadline"


def test_disabled_degradation_rejects_nothing() -> None:
    controller = DegradationController(LevelSettings(enabled=False), CLASSES, 1)
    now = START_OF_CLOCK_MS
    for _ in range(600):
        now += STEP_MS
        assert controller.observe(now, OverloadObservation(timer_lag_ms=5000.0, open_task_share=1.0)) is None
    assert controller.level is Level.FULL
    assert controller.decide_admission(now, AdmissionRequest(BATCH, "a", 10_000, 1.0)) is None
