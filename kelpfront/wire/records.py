"""What passes between the wire and the host of the schedulers: events and actions, each with its instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from kelpfront.scheduling.actions import SchedulerAction
from kelpfront.scheduling.events import SchedulerEvent
from kelpfront.scheduling.settings import SchedulerSettings


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """An instance starts.

    Attributes:
        load_names: the field of `LoadReport` for each value of the instance's load reports; empty for a value
            that is not used.
    """

    seed: int
    settings: SchedulerSettings
    load_names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """An instance is killed, with all that it knew."""


@dataclass(frozen=True, slots=True)
class InvalidSettings:
    """An instance starts with settings that are impossible; `text` names the setting."""

    text: str


@dataclass(frozen=True, slots=True)
class InstanceFailed:
    """The decisions of an instance failed; `text` says with what."""

    text: str


HostEvent = SchedulerEvent | InstanceStarted | InstanceStopped | InvalidSettings
HostAction = SchedulerAction | InstanceFailed


class InstanceEvent(NamedTuple):
    """An event, and the number of the instance that it is for."""

    instance: int
    event: HostEvent


class InstanceAction(NamedTuple):
    """An action, and the number of the instance that takes it."""

    instance: int
    action: HostAction


class Batch(NamedTuple):
    """One batch of the simulator: its time in milliseconds, its number, and its events in their order."""

    now: float
    number: int
    events: list[InstanceEvent]
