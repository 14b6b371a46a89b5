"""Records exchanged between the codec and the host of the schedulers: events and actions of instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from kelpfront.scheduling.actions import SchedulerAction
from kelpfront.scheduling.events import SchedulerEvent
from kelpfront.scheduling.settings import SchedulerSettings


@dataclass(frozen=True, slots=True)
class InstanceStarted:
    """The simulator starts an instance.

    Attributes:
        load_names: the field of `LoadReport` for each value of the instance's load reports; an empty string
            for a value that is not used.
    """

    seed: int
    settings: SchedulerSettings
    load_names: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """The simulator kills an instance; its state is lost."""


@dataclass(frozen=True, slots=True)
class InvalidSettings:
    """The simulator starts an instance with invalid settings; `text` names the setting."""

    text: str


@dataclass(frozen=True, slots=True)
class InstanceFailed:
    """An instance failed; `text` describes the error."""

    text: str


HostEvent = SchedulerEvent | InstanceStarted | InstanceStopped | InvalidSettings
HostAction = SchedulerAction | InstanceFailed


class InstanceEvent(NamedTuple):
    """An event and the number of the instance that receives it."""

    instance: int
    event: HostEvent


class InstanceAction(NamedTuple):
    """An action and the number of the instance that requested it."""

    instance: int
    action: HostAction


class Batch(NamedTuple):
    """One batch from the simulator: its time in milliseconds, its number, and its events in order."""

    now: float
    number: int
    events: list[InstanceEvent]
