"""The interface of a link to one machine, independent of the link's protocol.

A link executes the decisions of the controller and reports the results. The controller chooses the machine,
the timeout and whether to retry.
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
"""Timeout for connecting a stream: a machine that is up accepts within milliseconds."""
SILENCE_TIMEOUT_S = 10.0
"""A connection that is silent for this long is dead even if TCP reports no error: heartbeats are frequent."""
TASK_OUTPUT_TIMEOUT_S = 10.0
"""Timeout for reading a task's output once."""
MAX_CONCURRENT_OUTPUT_READS = 2
"""Concurrent reads of task output per machine; reads by users must not slow down offers."""
MAX_MESSAGE_BYTES = 64 << 20
"""Maximum size of a stream message, enough for a snapshot of some ten thousand tasks."""


class TaskOutputUnavailableError(Exception):
    """A machine did not answer a request for a task's output. The message gives the cause."""


@dataclass(frozen=True, slots=True)
class LinkContext:
    """The objects that all links of one placer share.

    Attributes:
        controller: receives the answers and reports of machines.
        now: the common clock, in milliseconds since the epoch.
        notify_changed: must be called after each report to the controller.
        rng: randomizes the delays between reconnects.
    """

    controller: JobController
    now: Callable[[], float]
    notify_changed: Callable[[], None]
    rng: random.Random


class MachineLink(Protocol):
    """The link to one machine. It connects when created and reconnects after each break until closed."""

    address: str

    def send_offer(self, offer: Offer) -> None:
        """Send an offer once the controller clears it; its outcome is reported to the controller."""

    def abandon_offer(self, task: str, attempt: int) -> None:
        """Stop waiting for the answer to an offer, and notify the machine if the offer was sent."""

    def send_stop(self, request: StopRequest) -> None:
        """Send a stop request once.

        The link does not retry it; the controller repeats it when the machine's stream reconnects.
        """

    def check_health(self) -> None:
        """Check the machine's health; the result is reported to the controller."""

    async def read_task_output(self, task: str, attempt: int, max_bytes: int) -> bytes | None:
        """Return the last bytes of a task's output, or None if the machine has none.

        Raises TaskOutputUnavailableError if the machine does not answer.
        """

    async def close(self) -> None:
        """Cancel the link's tasks and close its connections."""
