"""What the placer requires of a link to one machine, whichever protocol the link speaks.

A link carries out what the controller decides and reports what came of it. It decides nothing: not the
machine, not the timeout, not whether to try again.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import structlog

from kelpfront.controller.job_controller import JobController
from kelpfront.machine.messages import Offer, StopRequest

LOGGER_NAME = "kelpfront.links"
log = structlog.get_logger(LOGGER_NAME)

CONNECT_TIMEOUT_S = 2.0
"""For the connection of a stream: a machine that is up accepts in milliseconds."""
SILENCE_TIMEOUT_S = 10.0
"""Without any message for so long a connection is dead, whatever TCP reports: heartbeats come far oftener."""
TASK_OUTPUT_TIMEOUT_S = 10.0
"""For one read of a task's output."""
MAX_CONCURRENT_OUTPUT_READS = 2
"""On one machine: output is read by people, and must not take the machine's time from offers."""
MAX_MESSAGE_BYTES = 64 << 20
"""Of one message of a stream: a snapshot of some ten thousand tasks."""


class TaskOutputUnavailableError(Exception):
    """A machine did not answer a request for a task's output; the message says why."""


@dataclass(frozen=True, slots=True)
class LinkContext:
    """What all links of one placer share.

    Attributes:
        controller: receives what machines answer and report.
        now: the common clock, in milliseconds since the epoch.
        notify_changed: to be called after each report to the controller.
        rng: spreads reconnects.
    """

    controller: JobController
    now: Callable[[], float]
    notify_changed: Callable[[], None]
    rng: random.Random


class MachineLink(Protocol):
    """The link to one machine. It connects by itself, and again after each break, until it is closed."""

    address: str

    def send_offer(self, offer: Offer) -> None:
        """Send an offer once the controller clears it; its outcome is reported to the controller."""

    def abandon_offer(self, task: str, attempt: int) -> None:
        """Wait no longer for the answer to an offer, and let the machine know where it was sent."""

    def send_stop(self, request: StopRequest) -> None:
        """Send a stop request once.

        It is not retried: the controller repeats it when the machine's stream is back.
        """

    def check_health(self) -> None:
        """Check the machine's health; the result is reported to the controller."""

    async def read_task_output(self, task: str, attempt: int, max_bytes: int) -> bytes | None:
        """Return the last bytes of a task's output, or None where the machine has none.

        Raises TaskOutputUnavailableError where the machine does not answer.
        """

    async def close(self) -> None:
        """End the link's tasks and connections."""
