"""Decides the level of service from overload signals.

The module does no I/O; times are elapsed milliseconds, which never decrease.

The level is raised as soon as a signal has lasted for its entry delay, directly to the level that the signal
calls for. It is lowered step by step: from `ESSENTIAL` and `HOLDING` through `RECOVERING`. Four rules prevent
flapping: separate entry and exit thresholds for each signal (hysteresis), delays before entry and exit, exit
delays that grow with each recurrence, and a limit of changes per hour that no sequence of readings exceeds.
Raising is never denied. To keep to the limit, lowering is denied when the changes that remain in the hour
would not suffice to raise the level to the top again. `load_shedder` and `model` define what a level
restricts.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from kelpfront.degradation.model import SIGNALLED_LEVELS, Level
from kelpfront.degradation.thresholds import (
    DELAY_JITTER,
    ENTRY_DELAY_MS,
    EXIT_DELAY_GROWTH,
    EXIT_DELAY_MS,
    HOUR_MS,
    MAX_EXIT_DELAY_MS,
    OVERLOAD_SIGNALS,
    RANK_RESTORE_INTERVAL_MS,
    RECURRENCE_PENALTY,
    SignalThresholds,
    Threshold,
)

MAX_CHANGES_CACHED = 50
"""Number of past changes that are kept for operators to read."""
MAX_ENTRIES_CACHED = 16
"""Number of entries into one level that are remembered: fewer recurrences already bring the exit delay to its
limit."""
MIN_CHANGES_PER_HOUR = 1 + Level.FULL.raises_remaining
"""Smallest limit of changes per hour: with a smaller one a raised level could never be lowered to `FULL`."""

Readings = Mapping[str, float]
"""Values of the overload signals by their names."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """A signal that led to a decision, its value and the threshold that the value is compared with."""

    signal: str
    value: float
    threshold: float


@dataclass(frozen=True, slots=True)
class LevelChange:
    """One change of level. `reason` is a text for people; `evidence` holds the signals behind it."""

    at_ms: float
    before: Level
    after: Level
    reason: str
    evidence: tuple[Evidence, ...] = ()


class _LevelSignal(NamedTuple):
    """The key of a signal's state for one level."""

    level: Level
    signal: str


@dataclass(slots=True)
class _SignalState:
    """The state of a signal relative to its threshold for one level."""

    threshold: Threshold
    above_entry_since: float = math.inf
    above_exit: bool = False
    value: float = 0.0


class LevelStateMachine:
    """The level of one placer. At `RECOVERING` the `rank_count` ranks of classes are restored one by one."""

    def __init__(
        self,
        rank_count: int,
        max_changes_per_hour: int,
        seed: int,
        signals: tuple[SignalThresholds, ...] = OVERLOAD_SIGNALS,
    ) -> None:
        if max_changes_per_hour < MIN_CHANGES_PER_HOUR:
            raise ValueError(f"max_changes_per_hour must be at least {MIN_CHANGES_PER_HOUR}")
        # The level is not kept across restarts: the placer starts at `FULL` and follows its signals.
        self.level = Level.FULL
        self.entered_at = 0.0
        self.rank_count = rank_count
        self.max_changes_per_hour = max_changes_per_hour
        self.restored_rank_count = rank_count  # the highest ranks; fewer than all only at `RECOVERING`
        self.changes: deque[LevelChange] = deque(maxlen=MAX_CHANGES_CACHED)
        self.pinned_level: Level | None = None
        self.pinned_until = 0.0
        self._signal_states = _signal_states(signals)
        self._clear_ms = dict.fromkeys(SIGNALLED_LEVELS, 0.0)
        # Levels whose signals were clear for the exit delay without its growth. If the signals return while
        # the level is still held, that is a recurrence.
        self._levels_cleared: set[Level] = set()
        # Times of the last hour's changes: at most `max_changes_per_hour`, plus up to three for each pin.
        self._recent_changes_at: deque[float] = deque()
        self._entries_at: dict[Level, deque[float]] = {
            level: deque(maxlen=MAX_ENTRIES_CACHED) for level in SIGNALLED_LEVELS
        }
        self._random = random.Random(seed)
        self._delay_factor = self._draw_delay_factor()
        self._last_transition_at = 0.0  # a change of level, or the restoration of a rank
        self._now = 0.0

    def _draw_delay_factor(self) -> float:
        return 1.0 + DELAY_JITTER * (2.0 * self._random.random() - 1.0)

    # ---- State ----------------------------------------------------------------------------------------

    @property
    def changes_in_last_hour(self) -> int:
        """The number of changes that count against the limit."""
        return len(self._recent_changes_at)

    def entry_delay_ms(self, level: Level) -> float:
        """Return how long a signal must last to raise the level."""
        return ENTRY_DELAY_MS[level] * self._delay_factor

    def exit_delay_ms(self, level: Level) -> float:
        """Return how long a level's signals must be clear before it is left.

        The delay grows with each recurrence within the hour.
        """
        entry_count = sum(at > self._now - HOUR_MS for at in self._entries_at[level])
        recurrence_count = max(0, entry_count - 1)
        delay_ms = EXIT_DELAY_MS[level] * EXIT_DELAY_GROWTH**recurrence_count
        limit_ms = max(MAX_EXIT_DELAY_MS, EXIT_DELAY_MS[level])
        return min(delay_ms, limit_ms) * self._delay_factor

    def signals_blocking_exit(self, level: Level) -> list[Evidence]:
        """Return the signals that prevent a level's exit, each with the value that it must fall below."""
        return [
            Evidence(key.signal, state.value, state.threshold.exit)
            for key, state in self._signal_states.items()
            if key.level is level and state.above_exit
        ]

    def clear_ms(self, level: Level) -> float:
        """Return how long a level's signals have been clear, less the penalty for recurrences."""
        return self._clear_ms[level]

    def can_lower_to(self, level: Level) -> bool:
        """Whether the limit of changes allows lowering to a level and raising from there to the top again."""
        return self._changes_missing_for(level) <= 0

    def lowering_allowed_at(self, level: Level) -> float:
        """Return the time from which the limit of changes allows lowering to a level."""
        missing = self._changes_missing_for(level)
        if missing <= 0:
            return self._now
        return self._recent_changes_at[missing - 1] + HOUR_MS

    def _changes_missing_for(self, level: Level) -> int:
        needed = 1 + level.raises_remaining
        return len(self._recent_changes_at) + needed - self.max_changes_per_hour

    # ---- Transitions ----------------------------------------------------------------------------------

    def step(self, now: float, readings: Readings) -> LevelChange | None:
        """Update the state with the signals' values and return the resulting change of level, if any."""
        elapsed_ms = max(0.0, now - self._now)
        self._now = max(self._now, now)
        self._drop_expired_changes()
        self._update_signals(readings)
        self._update_clear_times(elapsed_ms)
        self._record_recurrence()
        if self.pinned_level is not None:
            if self._now < self.pinned_until:
                return None
            self.pinned_level = None
        return self._raise_level() or self._lower_level()

    def pin(self, now: float, level: Level | None, until: float = math.inf) -> LevelChange | None:
        """Fix the level until a time on an operator's request; a `level` of None removes the pin.

        Pins do not count against the limit of changes. After a pin to a low level the signals may exceed the
        limit once, by raising the level up to the top.
        """
        self._now = max(self._now, now)
        self.pinned_level = level
        self.pinned_until = until
        if level is None or level is self.level:
            return None
        return self._change_level(level, "pinned by an operator")

    def _drop_expired_changes(self) -> None:
        while self._recent_changes_at and self._recent_changes_at[0] <= self._now - HOUR_MS:
            self._recent_changes_at.popleft()

    def _update_signals(self, readings: Readings) -> None:
        for key, state in self._signal_states.items():
            state.value = readings.get(key.signal, 0.0)
            if state.value < state.threshold.entry:
                state.above_entry_since = math.inf
            elif state.above_entry_since == math.inf:
                state.above_entry_since = self._now
            state.above_exit = state.value >= state.threshold.exit

    def _update_clear_times(self, elapsed_ms: float) -> None:
        """Update how long each level's signals have been clear.

        A signal above its exit threshold reduces the clear time instead of resetting it: otherwise single
        late tasks would keep a level for ever.
        """
        for level in SIGNALLED_LEVELS:
            if self.signals_blocking_exit(level):
                self._clear_ms[level] = max(0.0, self._clear_ms[level] - RECURRENCE_PENALTY * elapsed_ms)
            else:
                self._clear_ms[level] += elapsed_ms
                if self._clear_ms[level] >= EXIT_DELAY_MS[level] * self._delay_factor:
                    self._levels_cleared.add(level)

    def _signals_calling_for(self, level: Level) -> list[Evidence]:
        return [
            Evidence(key.signal, state.value, state.threshold.entry)
            for key, state in self._signal_states.items()
            if key.level is level and self._now - state.above_entry_since >= self.entry_delay_ms(level)
        ]

    def _record_recurrence(self) -> None:
        """Record a recurrence if signals call for the current level again after they had been clear.

        Without the growth of the exit delay the level would have been left too early, so the recurrence
        counts like another entry and extends the exit delay.
        """
        if self.level in self._levels_cleared and self._signals_calling_for(self.level):
            self._levels_cleared.discard(self.level)
            self._entries_at[self.level].append(self._now)
            self._clear_ms[self.level] = 0.0

    def _raise_level(self) -> LevelChange | None:
        """Enter the highest level that signals call for, if it is above the current one."""
        for level in reversed(SIGNALLED_LEVELS):
            if level <= self.level:
                return None
            evidence = self._signals_calling_for(level)
            if evidence:
                reason = ", ".join(
                    f"{item.signal} {item.value:.3g} is {item.threshold:g} or more" for item in evidence
                )
                self._entries_at[level].append(self._now)
                return self._change_counted_level(level, reason, tuple(evidence))
        return None

    def _lower_level(self) -> LevelChange | None:
        match self.level:
            case Level.HOLDING | Level.ESSENTIAL:
                if self._is_clear(self.level):
                    reason = f"no symptom calls for {self.level.api_name} any more"
                    return self._lower_to(Level.RECOVERING, reason)
            case Level.RECOVERING:
                return self._recover()
            case Level.CAREFUL:
                if self._is_clear(Level.CAREFUL):
                    return self._lower_to(Level.FULL, "no symptom calls for care any more")
        return None

    def _recover(self) -> LevelChange | None:
        """Restore the ranks of classes one by one, then leave `RECOVERING`."""
        if self.restored_rank_count < self.rank_count and self._is_next_recovery_step_due():
            self.restored_rank_count += 1
            self._last_transition_at = self._now
        if self.restored_rank_count < self.rank_count or not self._is_next_recovery_step_due():
            return None
        if self.signals_blocking_exit(Level.CAREFUL):
            return self._lower_to(Level.CAREFUL, "all classes are back, and there is still strain")
        return self._lower_to(Level.FULL, "all classes are back")

    def _is_next_recovery_step_due(self) -> bool:
        return self._now - self._last_transition_at >= RANK_RESTORE_INTERVAL_MS * self._delay_factor

    def _is_clear(self, level: Level) -> bool:
        """Whether a level's signals have been clear for its exit delay."""
        return not self.signals_blocking_exit(level) and self._clear_ms[level] >= self.exit_delay_ms(level)

    def _lower_to(self, level: Level, reason: str) -> LevelChange | None:
        if not self.can_lower_to(level):
            return None
        return self._change_counted_level(level, reason)

    def _change_counted_level(
        self, level: Level, reason: str, evidence: tuple[Evidence, ...] = ()
    ) -> LevelChange:
        """Change the level and count the change against the limit."""
        self._recent_changes_at.append(self._now)
        return self._change_level(level, reason, evidence)

    def _change_level(self, level: Level, reason: str, evidence: tuple[Evidence, ...] = ()) -> LevelChange:
        change = LevelChange(self._now, self.level, level, reason, evidence)
        self.changes.append(change)
        self.level = level
        self.entered_at = self._now
        self._last_transition_at = self._now
        self.restored_rank_count = 1 if level is Level.RECOVERING else self.rank_count
        self._clear_ms = dict.fromkeys(SIGNALLED_LEVELS, 0.0)
        self._levels_cleared.clear()
        self._delay_factor = self._draw_delay_factor()
        return change


def _signal_states(signals: tuple[SignalThresholds, ...]) -> dict[_LevelSignal, _SignalState]:
    states = {}
    for level in SIGNALLED_LEVELS:
        for signal in signals:
            threshold = signal.for_level(level)
            if threshold is not None:
                states[_LevelSignal(level, signal.name)] = _SignalState(threshold)
    return states
