"""Intents: the I/O and log lines that the controller requests, as plain data in the order of execution.

`kelpfront.service` executes the intents and reports their results to the controller.
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
    """Send an offer to a machine; call `JobController.clear_to_send` right before its first byte."""

    host: str
    offer: Offer


@dataclass(frozen=True, slots=True)
class AbandonOffer:
    """Stop waiting for the answer to an offer by closing its connection."""

    host: str
    task: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SendStop:
    """Tell a machine to stop a task, repeatedly until it confirms."""

    host: str
    stop: StopRequest


@dataclass(frozen=True, slots=True)
class SendHealthCheck:
    """Send a health check to a machine."""

    host: str


@dataclass(frozen=True, slots=True)
class LogLine:
    """A structured log line: an event name and its fields."""

    level: LogLevel
    event: str
    fields: Mapping[str, Any] = field(default_factory=dict)


Intent = SendOffer | AbandonOffer | SendStop | SendHealthCheck | LogLine


class IntentQueue:
    """The pending intents, in order."""

    def __init__(self) -> None:
        self._intents: list[Intent] = []

    def append(self, intent: Intent) -> None:
        """Add one intent."""
        self._intents.append(intent)

    def extend(self, intents: Iterable[Intent]) -> None:
        """Add several intents."""
        self._intents.extend(intents)

    def take(self) -> list[Intent]:
        """Return all pending intents and clear the queue."""
        intents, self._intents = self._intents, []
        return intents


class TaskLog:
    """Writes log lines about tasks.

    Attributes:
        verbose: whether debug lines are created; there are several for each task.
    """

    def __init__(self, intents: IntentQueue) -> None:
        self._intents = intents
        self.verbose = False

    def debug(self, event: str, task: Task, **fields: Any) -> None:
        """Log a routine event of a task."""
        if self.verbose:
            self._append("debug", event, task, fields)

    def info(self, event: str, task: Task, **fields: Any) -> None:
        """Log an event that matters to the client or the engineer on call."""
        self._append("info", event, task, fields)

    def _append(self, level: LogLevel, event: str, task: Task, fields: Mapping[str, Any]) -> None:
        job = task.job
        task_fields = {"job": f"{job.namespace}/{job.name}", "task": task.uid, "class": job.spec["class"]}
        self._intents.append(LogLine(level, event, {**task_fields, **fields}))
