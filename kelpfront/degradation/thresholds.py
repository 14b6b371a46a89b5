"""The table of overload signals: from which value each calls for a level, and below which the level is left.

A signal calls for a level once it was at or above its `entry` value for the level's entry delay. The level
can be left once all its signals have been below their `exit` value for the level's exit delay. Between the
two values nothing changes (hysteresis). A signal without a threshold for a level does not affect that level.
`level_state_machine` applies the table; `overload_signals` measures the values.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from kelpfront.degradation.model import Level

SIGNAL_WINDOW_MS = 10_000.0
"""Window of all signals that are shares: a stall or a burst of one second is a tenth of it."""
OVERDUE_HEARTBEATS = 2.0
"""A machine in use is overdue when nothing was received from it for so many heartbeat intervals."""
MIN_SAMPLE_COUNT = 20
"""A share is taken of at least so many events; of fewer it says nothing and counts as 0."""

# The signals' names in the API and in the log.
CORES_LOST = "cores-lost"
ROOM_LOST = "room-lost"
SILENT = "silent"
LIST_AGE = "list-age"
UNSERVED = "unserved"
TURNED_AWAY = "turned-away"
DEAR_LATE = "dear-late"
REFUSED_CLASS = "refused-class"
WAITS = "waits"
LAG = "lag"
DECIDING = "deciding"
OPEN_TASKS = "open-tasks"
MEMORY = "memory"


class SignalUnit(StrEnum):
    """The unit of a signal's value."""

    SHARE = "share"
    MILLISECONDS = "ms"


@dataclass(frozen=True, slots=True)
class Threshold:
    """Hysteresis: the level is called for from `entry` on, and can be left below `exit`."""

    entry: float
    exit: float


@dataclass(frozen=True, slots=True)
class SignalThresholds:
    """One overload signal with its threshold for each level; None where it does not affect the level."""

    name: str
    description: str
    unit: SignalUnit
    careful: Threshold | None = None
    essential: Threshold | None = None
    holding: Threshold | None = None

    def for_level(self, level: Level) -> Threshold | None:
        """Return the threshold for a level, or None where the signal does not affect it."""
        return {
            Level.CAREFUL: self.careful,
            Level.ESSENTIAL: self.essential,
            Level.HOLDING: self.holding,
        }.get(level)


OVERLOAD_SIGNALS: tuple[SignalThresholds, ...] = (
    # A quarter of the cores is about one zone of four. Losing it costs nothing while load is low, so it calls
    # only for `careful`; with most of the cores lost no usual load fits.
    SignalThresholds(
        CORES_LOST,
        "share of the cores that are not in use",
        SignalUnit.SHARE,
        Threshold(0.25, 0.12),
        Threshold(0.60, 0.45),
        Threshold(0.95, 0.85),
    ),
    SignalThresholds(
        ROOM_LOST, "share of the cores not in use in the worst room", SignalUnit.SHARE, Threshold(0.7, 0.3)
    ),
    # A stall of one machine is ordinary. Where most are overdue at once the placer itself is cut off, and
    # whatever it would decide rests on stale data.
    SignalThresholds(
        SILENT,
        "share of the cores in use whose machines are overdue",
        SignalUnit.SHARE,
        careful=Threshold(0.3, 0.1),
        holding=Threshold(0.8, 0.4),
    ),
    SignalThresholds(
        LIST_AGE,
        "age of the news on the median machine",
        SignalUnit.MILLISECONDS,
        careful=Threshold(3_000.0, 2_000.0),
        holding=Threshold(10_000.0, 4_000.0),
    ),
    # Independent of what the level does: rejecting work does not lower it, so that a level does not end
    # because it works.
    SignalThresholds(
        UNSERVED,
        "share of the tasks asked for that were not placed",
        SignalUnit.SHARE,
        Threshold(0.10, 0.04),
        Threshold(0.40, 0.20),
    ),
    # Never raises the level; it keeps `careful` while rejected clients still retry, since admitting all of
    # them at once would start the next overload.
    SignalThresholds(
        TURNED_AWAY,
        "share of all that is asked, repeats too, that is turned away",
        SignalUnit.SHARE,
        careful=Threshold(math.inf, 0.05),
    ),
    SignalThresholds(
        DEAR_LATE,
        "share of the essential tasks answered that did not start within their aim",
        SignalUnit.SHARE,
        Threshold(0.20, 0.10),
        Threshold(0.35, 0.15),
    ),
    SignalThresholds(
        REFUSED_CLASS,
        "share of its offers refused as full, of the class of which most are",
        SignalUnit.SHARE,
        Threshold(0.5, 0.25),
    ),
    SignalThresholds(
        WAITS,
        "share of their patience that tasks waited for their answer",
        SignalUnit.SHARE,
        Threshold(0.35, 0.15),
        Threshold(0.60, 0.30),
    ),
    # A drain must take effect within 500 ms, and answers are given two timer intervals before their
    # deadline. At 400 ms of lag one more stall breaks one of the two.
    SignalThresholds(
        LAG,
        "how late timers are",
        SignalUnit.MILLISECONDS,
        Threshold(100.0, 40.0),
        Threshold(250.0, 100.0),
        Threshold(400.0, 150.0),
    ),
    SignalThresholds(
        DECIDING,
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
"""How long a signal must last to raise the level. Shares over `SIGNAL_WINDOW_MS` are slow by themselves; what
calls for `holding` is a placer that is cut off or overloaded, where two seconds of delay break deadlines."""

EXIT_DELAY_MS = {Level.CAREFUL: 30_000.0, Level.ESSENTIAL: 20_000.0, Level.HOLDING: 5_000.0}
"""How long all signals of a level must be clear before it is left. Entering late costs utility, leaving late
costs little: at every level work is admitted while there is capacity for it."""

RECURRENCE_PENALTY = 2.0
"""While a signal is back, clear time is lost at this multiple of the time: a level is left although single
tasks are late now and then, as long as that is for less than a third of the time."""

RANK_RESTORE_INTERVAL_MS = 4_000.0
"""At `recovering`, the time between the return of one rank of classes and the next."""

DELAY_JITTER = 0.25
"""Each placer varies its delays at random by this share, so that placers which observe the same do not change
their levels at the same moment."""

EXIT_DELAY_GROWTH = 2.0
"""Factor by which the exit delay grows each time a level is called for again within the hour."""

MAX_EXIT_DELAY_MS = 600_000.0
"""Limit of the exit delay's growth."""

HOUR_MS = 3_600_000.0
"""The period over which changes of level are limited and recurrences are counted."""
