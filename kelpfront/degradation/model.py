"""The data types of the package: service levels, observations of overload, and what each level restricts.

`level_state_machine` chooses the level, `load_shedder` applies it to new work, and the placer's controller
applies `LevelPolicy` to its own work.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum


class Level(IntEnum):
    """A level of service. A higher number means that less service is given."""

    FULL = 0
    CAREFUL = 1
    RECOVERING = 2
    ESSENTIAL = 3
    HOLDING = 4

    @property
    def api_name(self) -> str:
        """The name of the level in the API, on the command line and in the log."""
        return self.name.lower()

    @property
    def raises_remaining(self) -> int:
        """How many times the level can be raised from this one until the highest level is reached."""
        return _RAISES_REMAINING[self]

    @classmethod
    def from_api_name(cls, name: str) -> Level:
        """Return the level with the given API name.

        Raises:
            ValueError: there is no such level; the message lists those that exist.
        """
        for level in cls:
            if level.api_name == name:
                return level
        raise ValueError(f"{name!r} is not one of {', '.join(level.api_name for level in cls)}")


SIGNALLED_LEVELS = (Level.CAREFUL, Level.ESSENTIAL, Level.HOLDING)
"""The levels that overload signals can trigger. `RECOVERING` is entered only from the last two."""

_RAISES_REMAINING = {
    Level.FULL: 3,
    Level.CAREFUL: 2,
    Level.RECOVERING: 2,
    Level.ESSENTIAL: 1,
    Level.HOLDING: 0,
}

LEVEL_DESCRIPTIONS = {
    Level.FULL: "nothing is given up",
    Level.CAREFUL: "work is taken only while it can start about in time; what is shown comes a little later",
    Level.RECOVERING: "classes come back, the dearest first",
    Level.ESSENTIAL: "the essential classes go first; others are taken only where nothing waits",
    Level.HOLDING: "only a few tasks of the essential classes are taken; what was taken is answered",
}
"""The description of each level in the API (`status.meaning`)."""


@dataclass(frozen=True, slots=True)
class CapacityView:
    """The cores of one zone's machines. Draining machines do not count as ready."""

    total_cores: float
    """Cores of all machines that have ever sent a message."""
    ready_cores: float
    """Cores of the machines that are in use now."""
    unresponsive_cores: float
    """Cores of the machines in use whose heartbeat is overdue."""


@dataclass(frozen=True, slots=True)
class OverloadObservation:
    """The load that a placer observes at one moment. `OverloadSignals` counts events separately."""

    zones: Mapping[str, CapacityView] = field(default_factory=dict)
    median_status_age_ms: float = 0.0
    """Median age of the last status received from each machine in use."""
    timer_lag_ms: float = 0.0
    """The longest delay of a timer since the previous observation."""
    decision_time_share: float = 0.0
    """Share of the time since the previous observation that was spent on decisions."""
    open_task_share: float = 0.0
    """Open tasks as a share of their limit."""
    memory_share: float = 0.0
    """Memory of the process as a share of its limit; 0 if no limit is configured."""
    free_task_slots: float = 0.0
    """Number of tasks of average size that fit into the free capacity of the machines in use."""


@dataclass(frozen=True, slots=True)
class LevelPolicy:
    """What a level restricts in the placer's own work, apart from the admission of new work."""

    publish_interval_ms: float
    """Minimum time between two publications of changed jobs. Answers are published at once at every level."""
    background_interval_factor: float
    """Factor by which the intervals of deferrable work are extended."""
    migration_allowed: bool
    """Whether tasks that receive poor service may be migrated."""
    attempt_time_objectives: float | None = None
    """How long a task of a non-essential class is attempted, as a multiple of the class's latency objective.
    None: until the task's deadline."""


LEVEL_POLICIES = {
    Level.FULL: LevelPolicy(publish_interval_ms=0.0, background_interval_factor=1.0, migration_allowed=True),
    Level.CAREFUL: LevelPolicy(
        publish_interval_ms=20.0, background_interval_factor=2.0, migration_allowed=True
    ),
    Level.RECOVERING: LevelPolicy(
        publish_interval_ms=50.0, background_interval_factor=2.0, migration_allowed=False
    ),
    Level.ESSENTIAL: LevelPolicy(
        publish_interval_ms=100.0,
        background_interval_factor=4.0,
        migration_allowed=False,
        attempt_time_objectives=3.0,
    ),
    Level.HOLDING: LevelPolicy(
        publish_interval_ms=200.0,
        background_interval_factor=8.0,
        migration_allowed=False,
        attempt_time_objectives=2.0,
    ),
}
