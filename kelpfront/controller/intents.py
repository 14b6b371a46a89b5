"""What the controller wants done by the code that has sockets, as plain data in the order to be carried out.

`kelpfront.service` carries the intents out and reports back what came of each.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Literal

from kelpfront.controller.tasks import Task
from kelpfront.machine.messages import Offer, StopRequest

LogLevel = Literal["debug", "info", "warning"]


@dataclass(frozen=True, slots=True)
class SendOffer:
    """Offer a task to a machine. `JobController.clear_to_send` is to be asked right before the first byte."""

    host: str
    offer: Offer


@dataclass(frozen=True, slots=True)
class AbandonOffer:
    """Stop waiting for the answer to an offer: break its connection."""

    host: str
    task: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SendStop:
    """Tell a machine that a task is no longer wanted, until it confirms."""

    host: str
    stop: StopRequest


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Ask a machine whether it is healthy."""

    host: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """A line for the log: an event in ordinary words, and what it is about as fields."""

    level: LogLevel
    event: str
    fields: Mapping[str, Any] = field(default_factory=dict)


Intent = SendOffer | AbandonOffer | SendStop | SendHealthCheck | LogLine


class IntentQueue:
    """Intents that were not taken yet, in their order."""

    def __init__(self) -> None:
        self._intents: list[Intent] = []

    def append(self, intent: Intent) -> None:
        """Add one intent."""
        self._intents.append(intent)

    def extend(self, intents: Iterable[Intent]) -> None:
        """Add several intents."""
        self._intents.extend(intents)

    def take(self) -> list[Intent]:
        """Return all intents and forget them."""
        intents, self._intents = self._intents, []
        return intents


class TaskLog:
    """Writes log lines about tasks.

    Attributes:
        verbose: whether lines of level debug are made at all; there are several for each task.
    """

    def __init__(self, intents: IntentQueue) -> None:
        self._intents = intents
        self.verbose = False

    def debug(self, event: str, task: Task, **fields: Any) -> None:
        """Log an event of the ordinary course of a task."""
        if self.verbose:
            self._append("debug", event, task, fields)

    def info(self, event: str, task: Task, **fields: Any) -> None:
        """Log an event that concerns the client or the engineer on duty."""
        self._append("info", event, task, fields)

    def _append(self, level: LogLevel, event: str, task: Task, fields: Mapping[str, Any]) -> None:
        job = task.job
        about = {"job": f"{job.namespace}/{job.name}", "task": task.uid, "class": job.spec["class"]}
        self._intents.append(LogLine(level, event, {**about, **fields}))
