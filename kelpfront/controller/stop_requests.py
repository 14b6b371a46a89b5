"""Requests to machines to stop a task, each kept until the machine confirms it or no longer holds the task.

Whether an instance is to be stopped is decided by the callers; the sending is an intent.
"""

from __future__ import annotations

from collections.abc import Container
from typing import NamedTuple

from kelpfront.controller.intents import IntentQueue, SendStop
from kelpfront.machine.messages import StopRequest


class InstanceKey(NamedTuple):
    """An instance of a task: the machine that holds it, and the task's uid."""

    host: str
    task_uid: str


class StopRequests:
    """All requests that are not confirmed."""

    def __init__(self, controller_name: str, intents: IntentQueue) -> None:
        self._controller_name = controller_name
        self._intents = intents
        self._attempts: dict[InstanceKey, int] = {}  # the number of the attempt that is to be stopped

    def __len__(self) -> int:
        return len(self._attempts)

    def request(self, host: str, task_uid: str, attempt_number: int, why: str) -> None:
        """Have a machine stop a task; it is asked again until it confirms."""
        self._attempts[InstanceKey(host, task_uid)] = attempt_number
        self._send(host, task_uid, attempt_number, why)

    def confirm(self, host: str, task_uid: str) -> None:
        """Forget a request: the machine has received it, or the task is over there."""
        self._attempts.pop(InstanceKey(host, task_uid), None)

    def resend(self, host: str) -> None:
        """Send the unconfirmed requests again: the machine's stream was interrupted."""
        for key, attempt_number in list(self._attempts.items()):
            if key.host == host:
                self._send(host, key.task_uid, attempt_number)

    def retain_only(self, host: str, task_uids: Container[str]) -> None:
        """Forget the requests to a machine for all tasks but these, which are those that it holds."""
        obsolete = [key for key in self._attempts if key.host == host and key.task_uid not in task_uids]
        for key in obsolete:
            del self._attempts[key]

    def _send(self, host: str, task_uid: str, attempt_number: int, why: str = "") -> None:
        stop = StopRequest(self._controller_name, task_uid, attempt_number, why)
        self._intents.append(SendStop(host, stop))
