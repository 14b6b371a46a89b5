"""The dependencies that the REST API receives from the process that serves it."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from kelpfront.fronts.rest.task_output import TaskOutputReader
from kelpfront.fronts.rest.watch import WatchTiming


@dataclass(frozen=True, slots=True)
class Health:
    """The results of the liveness and readiness checks.

    Attributes:
        live: why the placer is not alive; empty if it is.
        ready: why the placer accepts no jobs; empty if it accepts them.
    """

    live: str = ""
    ready: str = ""


@dataclass(frozen=True, slots=True)
class RestEnvironment:
    """The dependencies that the REST API receives from its process.

    Attributes:
        common_time: converts a time of the event loop, in seconds, to the common clock, in milliseconds.
        health: returns the health of the process.
        rng: randomizes the duration of watches.
        watch_times: the timing of all watches.
        read_task_output: reads a task's output from its machine; None if this process cannot.
    """

    common_time: Callable[[float], float]
    health: Callable[[], Health]
    rng: random.Random
    watch_times: WatchTiming = field(default_factory=WatchTiming)
    read_task_output: TaskOutputReader | None = None
