"""What the REST API is given by the process that serves it."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from kelpfront.fronts.rest.task_output import TaskOutputReader
from kelpfront.fronts.rest.watch import WatchTimes


@dataclass(frozen=True, slots=True)
class Health:
    """Why the placer is not alive, and why it accepts no jobs; empty where it is and does."""

    live: str = ""
    ready: str = ""


@dataclass(frozen=True, slots=True)
class RestEnvironment:
    """What the REST API needs of its process.

    Attributes:
        common_time: turns a time of the event loop, in seconds, into the common clock's milliseconds.
        health: tells the process's health.
        rng: spreads the ends of watches.
        watch_times: of all watches.
        read_task_output: reads a task's output from its machine; None where it cannot be read.
    """

    common_time: Callable[[float], float]
    health: Callable[[], Health]
    rng: random.Random
    watch_times: WatchTimes = field(default_factory=WatchTimes)
    read_task_output: TaskOutputReader | None = None
