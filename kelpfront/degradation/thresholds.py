"""The overload signals, their entry and exit thresholds for each level, and the delays of level changes.

A signal calls for a level once it has been at or above its `entry` value for the level's entry delay. The
level can be left once all its signals have been below their `exit` values for the level's exit delay. Between
the two values nothing changes (hysteresis). A signal without a threshold for a level does not affect that
level. `level_state_machine` applies the table; `overload_signals` measures the values.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from kelpfront.degradation.model import Level

SIGNAL_WINDOW_MS = 10_000.0
"""Window over which events are counted for signals that are shares. A stall or a burst of one second is only
a tenth of it."""
OVERDUE_HEARTBEATS = 2.0
"""A machine in use is overdue once nothing was received from it for this many heartbeat intervals."""
MIN_SAMPLE_COUNT = 20
"""Minimum number of events of which a share is computed; with fewer it is not meaningful and counts as 0."""

# The names of the signals in the API and in the log.
CORES_LOST = "cores-lost"
ZONE_CORES_LOST = "room-lost"
UNRESPONSIVE_CORES = "silent"
STATUS_AGE = "list-age"
UNSERVED_TASKS = "unserved"
REJECTED_TASKS = "turned-away"
LATE_ESSENTIAL_TASKS = "dear-late"
REJECTED_OFFERS = "refused-class"
WAITED_SHARE = "waits"
TIMER_LAG = "lag"
DECISION_TIME = "deciding"
OPEN_TASKS = "open-tasks"
MEMORY = "memory"


class SignalUnit(StrEnum):
    """The unit of a signal's value."""

    SHARE = "share"
    MILLISECONDS = "ms"


@dataclass(frozen=True, slots=True)
class Threshold:
    """Hysteresis: a value at or above `entry` calls for the level; below `exit` the level can be left."""

    entry: float
    exit: float


@dataclass(frozen=True, slots=True)
class SignalThresholds:
    """One overload signal with its threshold for each level; None if it does not affect that level."""

    name: str
    description: str
    unit: SignalUnit
    careful: Threshold | None = None
    essential: Threshold | None = None
    holding: Threshold | None = None

    def for_level(self, level: Level) -> Threshold | None:
        """Return the threshold for a level, or None if the signal does not affect it."""
        return {
            Level.CAREFUL: self.careful,
            Level.ESSENTIAL: self.essential,
            Level.HOLDING: self.holding,
        }.get(level)


OVERLOAD_SIGNALS: tuple[SignalThresholds, ...] = (
    # A quarter of the cores is about one zone of four. Its loss does no harm while load is low, so it calls
    # only for `careful`. With most of the cores lost no usual load fits.
    SignalThresholds(
        CORES_LOST,
        "share of the cores that are not in use",
        SignalUnit.SHARE,
        Threshold(0.25, 0.12),
        Threshold(0.60, 0.45),
        Threshold(0.95, 0.85),
    ),
    SignalThresholds(
        ZONE_CORES_LOST,
        "share of the cores not in use in the worst room",
        SignalUnit.SHARE,
        Threshold(0.7, 0.3),
    ),
    # A stall of a single machine is ordinary. If most machines are overdue at once, the placer itself is
    # probably disconnected, and its decisions would rest on stale data.
    SignalThresholds(
        UNRESPONSIVE_CORES,
        "share of the cores in use whose machines are overdue",
        SignalUnit.SHARE,
        careful=Threshold(0.3, 0.1),
        holding=Threshold(0.8, 0.4),
    ),
    SignalThresholds(
        STATUS_AGE,
        "age of the news on the median machine",
        SignalUnit.MILLISECONDS,
        careful=Threshold(3_000.0, 2_000.0),
        holding=Threshold(10_000.0, 4_000.0),
    ),
    # Rejected tasks count as unserved. So rejecting work does not lower the signal, and a level does not end
    # merely because its restrictions take effect.
    SignalThresholds(
        UNSERVED_TASKS,
        "share of the tasks asked for that were not placed",
        SignalUnit.SHARE,
        Threshold(0.10, 0.04),
        Threshold(0.40, 0.20),
    ),
    # Never raises the level, only keeps `careful` while rejected clients still retry: admitting all of them
    # at once would cause the next overload.
    SignalThresholds(
        REJECTED_TASKS,
        "share of all that is asked, repeats too, that is turned away",
        SignalUnit.SHARE,
        careful=Threshold(math.inf, 0.05),
    ),
    SignalThresholds(
        LATE_ESSENTIAL_TASKS,
        "share of the essential tasks answered that did not start within their aim",
        SignalUnit.SHARE,
        Threshold(0.20, 0.10),
        Threshold(0.35, 0.15),
    ),
    SignalThresholds(
        REJECTED_OFFERS,
        "share of its offers refused as full, of the class of which most are",
        SignalUnit.SHARE,
        Threshold(0.5, 0.25),
    ),
    SignalThresholds(
        WAITED_SHARE,
        "share of their patience that tasks waited for their answer",
        SignalUnit.SHARE,
        Threshold(0.35, 0.15),
        Threshold(0.60, 0.30),
    ),
    # A drain must take effect within 500 ms, and tasks are answered two timer intervals before their
    # deadline. At a lag of 400 ms one more stall violates one of the two.
    SignalThresholds(
        TIMER_LAG,
        "how late timers are",
        SignalUnit.MILLISECONDS,
        Threshold(100.0, 40.0),
        Threshold(250.0, 100.0),
        Threshold(400.0, 150.0),
    ),
    SignalThresholds(
        DECISION_TIME,
        "share of the time spent on decisions",
        SignalUnit.SHARE,
        Threshold(0.6, 0.35),
        Threshold(0.85, 0.55),
    ),
    SignalThresholds(
        OPEN_TASKS,
        "share of the open tasks that there may be",
        SignalUnit.SHARE,
        Threshold(0.4, 0.25),
        Threshold(0.7, 0.5),
        Threshold(0.95, 0.8),
    ),
    SignalThresholds(
        MEMORY,
        "share of the memory that the placer may take",
        SignalUnit.SHARE,
        Threshold(0.80, 0.70),
        Threshold(0.90, 0.80),
        Threshold(0.97, 0.85),
    ),
)

ENTRY_DELAY_MS = {Level.CAREFUL: 3_000.0, Level.ESSENTIAL: 4_000.0, Level.HOLDING: 1_500.0}
"""How long a signal must last to raise the level. Shares over `SIGNAL_WINDOW_MS` already react slowly. The
delay of `holding` is short because its signals mean that the placer is disconnected or overloaded, where a
delay of two seconds breaks deadlines."""

EXIT_DELAY_MS = {Level.CAREFUL: 30_000.0, Level.ESSENTIAL: 20_000.0, Level.HOLDING: 5_000.0}
"""How long all signals of a level must be clear before it is left. These delays are longer than the entry
delays: entering late costs utility, while leaving late costs little, since every level admits work while
there is capacity for it."""

RECURRENCE_PENALTY = 2.0
"""While a signal is above its exit threshold, accumulated clear time shrinks at this multiple of real time. A
level can thus be left although tasks are late now and then, for less than a third of the time."""

RANK_RESTORE_INTERVAL_MS = 4_000.0
"""At `recovering`, the time between the restoration of one rank of classes and the next."""

DELAY_JITTER = 0.25
"""Each placer varies its delays at random by up to this share, so that placers with the same observations do
not change their levels at the same moment."""

EXIT_DELAY_GROWTH = 2.0
"""Factor by which the exit delay grows with each recurrence of a level within the hour."""

MAX_EXIT_DELAY_MS = 600_000.0
"""Upper limit of a grown exit delay."""

HOUR_MS = 3_600_000.0
"""The period over which changes of level are limited and recurrences are counted."""
