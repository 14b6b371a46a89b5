"""Explains a placer's level to operators: its restrictions, its exit conditions and the active signals.

The texts are part of the API's `levels` resource. This module decides nothing: all values come from
`DegradationController`.
"""

from __future__ import annotations

from kelpfront.degradation.controller import DegradationController
from kelpfront.degradation.level_state_machine import LevelStateMachine
from kelpfront.degradation.model import SIGNALLED_LEVELS, Level
from kelpfront.degradation.thresholds import (
    EXIT_DELAY_MS,
    OVERLOAD_SIGNALS,
    RANK_RESTORE_INTERVAL_MS,
    SignalThresholds,
    SignalUnit,
)
from kelpfront.units import format_duration

GROWN_DELAY_FACTOR = 1.5
"""An exit delay above this multiple of the configured delay was extended by a recurrence: jitter alone cannot
make it that long."""

_UNITS = {signal.name: signal.unit for signal in OVERLOAD_SIGNALS}


def format_signal_value(signal: str, value: float) -> str:
    """Format a signal's value with its unit."""
    if _UNITS.get(signal) is SignalUnit.MILLISECONDS:
        return f"{value:.0f} ms"
    return f"{100 * value:.0f} %"


def describe_restrictions(controller: DegradationController) -> list[str]:
    """Return the restrictions at the current level, first those of each class; empty at `FULL`."""
    if controller.level is Level.FULL:
        return []
    return _describe_admission(controller) + _describe_policy(controller)


def _describe_admission(controller: DegradationController) -> list[str]:
    lines = []
    placement_rate = controller.signals.placement_rate(controller.elapsed_ms)
    rank_of_class = controller.priority_order.rank_of_class
    for class_index in sorted(range(len(controller.classes)), key=rank_of_class.__getitem__):
        limit = controller.load_shedder.queue_limit(rank_of_class[class_index], placement_rate)
        name = controller.classes[class_index].name
        if limit < 1:
            lines.append(f"{name}: nothing is taken")
        else:
            lines.append(f"{name}: taken while fewer than {limit:.0f} tasks wait ahead")
    return lines


def _describe_policy(controller: DegradationController) -> list[str]:
    lines = []
    policy = controller.policy
    if policy.publish_interval_ms:
        lines.append(f"changes of jobs are shown every {policy.publish_interval_ms:.0f} ms")
    if policy.background_interval_factor > 1:
        lines.append(f"what can wait is done {policy.background_interval_factor:.0f} times less often")
    if not policy.migration_allowed:
        lines.append("tasks that fare badly are not moved")
    return lines


def describe_exit_conditions(controller: DegradationController) -> list[str]:
    """Return the conditions for leaving the current level for a lower one; empty at `FULL`."""
    level = controller.level
    if level is Level.FULL:
        return []
    state_machine = controller.state_machine
    lines = []
    if controller.active_pin is not None:
        lines.append(f"the pin ends in {_format_time(controller.active_pin.remaining_ms)}, or is taken back")
    if level is Level.RECOVERING:
        lines.append(_describe_recovery(state_machine))
        next_level = Level.CAREFUL if state_machine.signals_blocking_exit(Level.CAREFUL) else Level.FULL
    else:
        lines += _describe_signals_to_clear(state_machine, level)
        next_level = Level.FULL if level is Level.CAREFUL else Level.RECOVERING
    if not state_machine.can_lower_to(next_level):
        wait_ms = state_machine.lowering_allowed_at(next_level) - controller.elapsed_ms
        lines.append(
            f"{state_machine.changes_in_last_hour} of {state_machine.max_changes_per_hour} changes of the "
            f"hour are used, and some are kept for need: the next way down is free in {_format_time(wait_ms)}"
        )
    return lines


def _describe_recovery(state_machine: LevelStateMachine) -> str:
    restored_count, rank_count = state_machine.restored_rank_count, state_machine.rank_count
    step_count = rank_count - restored_count + 1
    remaining_ms = step_count * RANK_RESTORE_INTERVAL_MS
    return (
        f"{restored_count} of {rank_count} ranks of classes are back; "
        f"the rest take about {_format_time(remaining_ms)}"
    )


def _describe_signals_to_clear(state_machine: LevelStateMachine, level: Level) -> list[str]:
    delay_ms = state_machine.exit_delay_ms(level)
    blocking = state_machine.signals_blocking_exit(level)
    if not blocking:
        remaining_ms = max(0.0, delay_ms - state_machine.clear_ms(level))
        return [f"nothing calls for it any more; it must stay so for {_format_time(remaining_ms)} more"]
    lines = []
    for evidence in blocking:
        threshold = format_signal_value(evidence.signal, evidence.threshold)
        value = format_signal_value(evidence.signal, evidence.value)
        lines.append(f"{evidence.signal} must fall under {threshold}, and is at {value}")
    has_grown = delay_ms > GROWN_DELAY_FACTOR * EXIT_DELAY_MS[level]
    cause = " (longer than usual: it came back within the hour)" if has_grown else ""
    lines.append(f"and stay so for {_format_time(delay_ms)}{cause}")
    return lines


def describe_active_signals(controller: DegradationController) -> list[str]:
    """Return the signals at or above an entry threshold, each with the highest level that it triggers."""
    lines = []
    for signal in OVERLOAD_SIGNALS:
        line = _describe_active_signal(signal, controller.readings.get(signal.name, 0.0))
        if line is not None:
            lines.append(line)
    return lines


def _describe_active_signal(signal: SignalThresholds, value: float) -> str | None:
    for level in reversed(SIGNALLED_LEVELS):
        threshold = signal.for_level(level)
        if threshold is not None and value >= threshold.entry:
            return (
                f"{signal.name} is at {format_signal_value(signal.name, value)} ({signal.description}): "
                f"{format_signal_value(signal.name, threshold.entry)} or more calls for {level.api_name}"
            )
    return None


def _format_time(duration_ms: float) -> str:
    if duration_ms < 1000:
        return "less than a second"
    return format_duration(round(duration_ms / 1000) * 1000)
