"""Tokens of the scheduler's timers: the kind of a timer and the task that it belongs to.

A token is an integer on the wire. Its two lowest bits are the kind, the others the id of the task.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from kelpfront.scheduling.events import TaskId

KIND_BITS = 2
KIND_MASK = (1 << KIND_BITS) - 1


class TimerKind(IntEnum):
    """The purpose of a timer. The values are part of the tokens on the wire."""

    RETRY_WAITING = 0
    POLL_ENDPOINT_LIST = 1
    TASK_DEADLINE = 2
    HEALTH_CHECK_SCAN = 3


_KINDS = tuple(TimerKind)


class TimerToken(NamedTuple):
    """A decoded token; `task` is 0 for a timer that belongs to no task."""

    kind: TimerKind
    task: TaskId


def encode_token(kind: TimerKind, task: TaskId = 0) -> int:
    """Return the token of a timer."""
    return task << KIND_BITS | kind


def decode_token(token: int) -> TimerToken:
    """Return the kind and the task of a token."""
    return TimerToken(_KINDS[token & KIND_MASK], token >> KIND_BITS)
