"""Requests to machines to stop a task, each kept until the machine confirms it or no longer holds the task.

The callers decide which instances to stop; requests are sent as intents.
"""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from kelpfront.controller.intents import IntentQueue, SendStop
from kelpfront.machine.messages import StopRequest


class InstanceKey(NamedTuple):
    """Identifies an instance of a task by the machine that holds it and the task's uid."""

    host: str
    task_uid: str


class StopRequests:
    """The unconfirmed stop requests of one controller."""

    def __init__(self, controller_name: str, intents: IntentQueue) -> None:
        self._controller_name = controller_name
        self._intents = intents
        self._attempts: dict[InstanceKey, int] = {}  # the number of the attempt to stop

    def __len__(self) -> int:
        return len(self._attempts)

    def request(self, host: str, task_uid: str, attempt_number: int, reason: str) -> None:
        """Request that a machine stops a task; the request is kept until it is confirmed."""
        self._attempts[InstanceKey(host, task_uid)] = attempt_number
        self._send(host, task_uid, attempt_number, reason)

    def confirm(self, host: str, task_uid: str) -> None:
        """Discard a request that the machine has received, or whose task has ended there."""
        self._attempts.pop(InstanceKey(host, task_uid), None)

    def resend(self, host: str) -> None:
        """Resend the unconfirmed requests to a machine after its stream was interrupted."""
        for key, attempt_number in list(self._attempts.items()):
            if key.host == host:
                self._send(host, key.task_uid, attempt_number)

    def retain_only(self, host: str, task_uids: Container[str]) -> None:
        """Discard the requests to a machine except for the given tasks, which it still holds."""
        obsolete = [key for key in self._attempts if key.host == host and key.task_uid not in task_uids]
        for key in obsolete:
            del self._attempts[key]

    def _send(self, host: str, task_uid: str, attempt_number: int, reason: str = "") -> None:
        stop = StopRequest(self._controller_name, task_uid, attempt_number, reason)
        self._intents.append(SendStop(host, stop))
