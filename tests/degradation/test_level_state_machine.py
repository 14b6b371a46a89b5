"""Tests of the level state machine: entry, exit, recovery, hysteresis and the limit of changes."""

from __future__ import annotations

import random

import pytest
from degradation_drivers import STEP_MS, StateMachineDriver
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpfront.degradation import Level, LevelStateMachine
from kelpfront.degradation.model import SIGNALLED_LEVELS
from kelpfront.degradation.thresholds import (
    DELAY_JITTER,
    ENTRY_DELAY_MS,
    EXIT_DELAY_MS,
    HOUR_MS,
    OVERLOAD_SIGNALS,
)


def test_exit_thresholds_lie_below_entry_thresholds_which_rise_with_the_level() -> None:
    for signal in OVERLOAD_SIGNALS:
        by_level = [signal.for_level(level) for level in SIGNALLED_LEVELS]
        thresholds = [threshold for threshold in by_level if threshold is not None]
        assert thresholds, signal.name
        assert all(threshold.exit < 0.9 * threshold.entry for threshold in thresholds), signal.name
        entries = [threshold.entry for threshold in thresholds]
        assert entries == sorted(set(entries)), signal.name


def test_only_a_lasting_signal_raises_the_level_and_is_reported_as_evidence() -> None:
    driver = StateMachineDriver()
    driver.run(2.0, unserved=0.9)
    driver.run(5.0)
    assert driver.path == []
    driver.run(6.0, unserved=0.9)
    assert driver.path == ["careful", "essential"]
    evidence = driver.changes[0].evidence[0]
    assert (evidence.signal, evidence.value, evidence.threshold) == ("unserved", 0.9, 0.10)
    assert "unserved 0.9 is 0.1 or more" in driver.changes[0].reason


def test_essential_is_left_through_recovering_one_rank_at_a_time() -> None:
    driver = StateMachineDriver()
    driver.run(8.0, unserved=0.9)
    assert driver.level == "essential"
    while driver.level == "essential":
        driver.run(0.1)
    assert driver.level == "recovering"
    restored_counts = [driver.state_machine.restored_rank_count]
    while driver.level == "recovering":
        driver.run(0.1)
        if driver.state_machine.restored_rank_count != restored_counts[-1]:
            restored_counts.append(driver.state_machine.restored_rank_count)
    assert restored_counts == [1, 2, 3]
    assert driver.path[-1] == "full"


def test_recovering_leads_to_careful_while_a_signal_blocks_the_exit_of_careful() -> None:
    driver = StateMachineDriver()
    driver.run(8.0, unserved=0.9)
    driver.run(60.0, unserved=0.08)  # below the thresholds of essential, above the exit of careful
    assert driver.path == ["careful", "essential", "recovering", "careful"]


def test_short_spikes_do_not_hold_a_level_but_overload_half_of_the_time_does() -> None:
    driver = StateMachineDriver()
    driver.run(6.0, unserved=0.2)
    assert driver.level == "careful"
    for _ in range(20):
        driver.run(15.0)
        driver.run(3.0, unserved=0.05)
        if driver.level == "full":
            break
    assert driver.level == "full"
    driver = StateMachineDriver()
    driver.run(6.0, unserved=0.2)
    for _ in range(100):
        driver.run(10.0)
        driver.run(10.0, unserved=0.05)
    assert driver.path == ["careful"]


def test_a_signal_that_returns_while_its_level_is_held_doubles_the_exit_delay() -> None:
    driver = StateMachineDriver()
    driver.run(6.0, unserved=0.2)
    driver.run(60.0)
    driver.run(6.0, unserved=0.2)
    assert driver.path == ["careful", "full", "careful"]
    level = driver.state_machine.level
    first_delay_ms = driver.state_machine.exit_delay_ms(level)
    driver.run(20.0)
    driver.run(6.0, unserved=0.2)  # the signal was clear for too short a time for a recurrence
    assert driver.state_machine.exit_delay_ms(level) == first_delay_ms
    driver.run(42.0)  # longer than the first exit delay
    assert driver.level == "careful"
    driver.run(6.0, unserved=0.2)
    assert driver.state_machine.exit_delay_ms(level) == pytest.approx(2.0 * first_delay_ms)


def test_holding_is_entered_directly_from_full() -> None:
    driver = StateMachineDriver()
    driver.run(2.5, silent=1.0)
    assert driver.path == ["holding"]
    driver.run(12.0)
    assert driver.path == ["holding", "recovering"]


def test_load_around_a_threshold_does_not_make_the_level_flap() -> None:
    rng = random.Random(3)
    driver = StateMachineDriver()
    for _ in range(1800):
        driver.run(1.0, unserved=0.10 * (1 + 0.02 * rng.uniform(-1, 1)))
    assert driver.path in ([], ["careful"])
    for _ in range(1800):
        driver.run(1.0, unserved=0.04 * (1 + 0.02 * rng.uniform(-1, 1)))
    assert len(driver.path) <= 2


def test_the_exit_delay_grows_with_each_recurrence() -> None:
    driver = StateMachineDriver(max_changes_per_hour=100)
    durations_ms: list[float] = []
    for _ in range(5):
        driver.run(8.0, cores_lost=0.4)
        assert driver.level == "careful"
        entered_at = driver.now
        while driver.level != "full":
            driver.run(0.5)
        durations_ms.append(driver.now - entered_at)
    longest_first_ms = EXIT_DELAY_MS[Level.CAREFUL] * (1 + DELAY_JITTER)
    assert durations_ms[0] <= longest_first_ms + 1000.0
    assert durations_ms[-1] > 4 * durations_ms[0]


def test_the_limit_of_changes_denies_lowering_but_never_raising() -> None:
    driver = StateMachineDriver(max_changes_per_hour=6)
    for _ in range(20):
        driver.run(10.0, unserved=0.9)
        driver.run(120.0)
    assert driver.level == "essential"
    assert not driver.state_machine.can_lower_to(Level.RECOVERING)
    driver.run(5.0, silent=1.0)
    assert driver.level == "holding"
    assert driver.state_machine.changes_in_last_hour <= 6
    driver.run(3700.0)
    assert driver.level == "full", "an hour later changes are available again"


def test_thirty_replicas_with_the_same_signals_do_not_change_level_together() -> None:
    """Jitter spreads the reactions of placers that observe the same cause at the same moment."""
    entered_at, left_at = [], []
    for seed in range(30):
        driver = StateMachineDriver(seed=seed)
        driver.run(6.0, cores_lost=0.4)
        entered_at.append(driver.changes[0].at_ms)
        driver.run(60.0)
        left_at.append(driver.changes[-1].at_ms)
        assert driver.path == ["careful", "full"]
    assert max(entered_at) - min(entered_at) > 0.3 * ENTRY_DELAY_MS[Level.CAREFUL]
    assert max(left_at) - min(left_at) > 0.3 * EXIT_DELAY_MS[Level.CAREFUL]
    for times in (entered_at, left_at):
        busiest = max(sum(at <= other < at + STEP_MS for other in times) for at in times)
        assert busiest <= 8, "too many replicas changed at the same observation"


READINGS = st.fixed_dictionaries(
    {signal.name: st.sampled_from([0.0, 0.05, 0.2, 0.5, 0.9, 5e4]) for signal in OVERLOAD_SIGNALS}
)


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(READINGS, st.integers(1, 900)), max_size=25), st.integers(4, 14), st.integers(0, 2**32)
)
def test_no_sequence_of_readings_exceeds_the_limit_of_changes(
    periods: list[tuple[dict[str, float], int]], max_changes: int, seed: int
) -> None:
    state_machine = LevelStateMachine(3, max_changes, seed)
    now = 0.0
    changes_at = []
    for readings, seconds in periods:
        for _ in range(min(seconds, 30)):
            now += 1000.0
            change = state_machine.step(now, readings)
            if change is not None:
                changes_at.append(now)
                is_legal = change.after > change.before or change.before in (
                    Level.HOLDING,
                    Level.ESSENTIAL,
                    Level.RECOVERING,
                    Level.CAREFUL,
                )
                assert is_legal
                assert change.after is not change.before
        now += 1000.0 * max(0, seconds - 30)
    for at in changes_at:
        assert sum(at - HOUR_MS < other <= at for other in changes_at) <= max_changes
    # Without any signal the level always returns to full.
    for _ in range(3 * 180):
        now += 20_000.0
        state_machine.step(now, {})
    assert state_machine.level is Level.FULL


def test_a_pin_holds_the_level_until_it_expires_or_is_removed() -> None:
    driver = StateMachineDriver()
    assert driver.state_machine.pin(0.0, Level.HOLDING, 60_000.0) is not None
    driver.run(59.0)
    assert driver.level == "holding"
    assert driver.state_machine.changes_in_last_hour == 0
    driver.run(30.0)
    assert driver.path[0] == "recovering"
    driver.state_machine.pin(driver.now, Level.FULL, driver.now + 30_000.0)
    driver.run(29.0, unserved=1.0)
    assert driver.level == "full"
    driver.state_machine.pin(driver.now, None)
    driver.run(10.0, unserved=1.0)
    assert driver.level == "essential"
