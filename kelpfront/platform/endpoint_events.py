"""The coordinator's events as the endpoint lists that the scheduler receives. Pure.

The first event holds the complete list, later ones what has changed. An event that cannot be read completely
is an `InvalidEventError`, and nothing of it is applied.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from kelpfront.platform.config import Address, Config, ConfigError, address_of
from kelpfront.platform.messages import machine_id
from kelpfront.scheduling.events import Endpoint, MachineState

_STATES = {
    "Ready": MachineState.READY,
    "Terminating": MachineState.DRAINING,
    "Gone": MachineState.REMOVED,
}

_UNKNOWN_POSITION = -1


class InvalidEventError(ValueError):
    """An event that the protocol does not allow; the message names the member and the field."""


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One machine of an event, with the address where it listens."""

    name: str
    address: Address
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointEvent:
    """One event; `complete` says whether it holds all machines or only changes."""

    index: int
    complete: bool
    entries: tuple[EndpointEntry, ...]


def parse_events(raw: Any, config: Config) -> tuple[int, list[EndpointEvent]]:
    """Return the last index and the events of an answer, or of the configuration's `known`.

    Raises:
        InvalidEventError: the protocol does not allow it.
    """
    if not isinstance(raw, dict):
        raise InvalidEventError("a JSON object is wanted")
    updates = raw.get("updates", [])
    if not isinstance(updates, list):
        raise InvalidEventError("updates: a list is wanted")
    events = [_parse_event(update, config) for update in updates]
    index = raw.get("index", max((event.index for event in events), default=0))
    return _natural_number(index, "index"), events


def _parse_event(raw: Any, config: Config) -> EndpointEvent:
    if not isinstance(raw, dict):
        raise InvalidEventError("updates: JSON objects are wanted")
    index = _natural_number(raw.get("index"), "updates: index")
    endpoints = raw.get("endpoints")
    if endpoints is None:  # an event of a kind that says nothing of machines
        return EndpointEvent(index, complete=False, entries=())
    members = endpoints.get("members", []) if isinstance(endpoints, dict) else None
    if not isinstance(members, list):
        raise InvalidEventError("endpoints: an object with a list of members is wanted")
    entries = tuple(_parse_entry(member, config) for member in members)
    return EndpointEvent(index, endpoints.get("complete") is True, entries)


def _parse_entry(raw: Any, config: Config) -> EndpointEntry:
    name = raw.get("id") if isinstance(raw, dict) else None
    if not isinstance(name, str) or not name:
        raise InvalidEventError("members: an object with an id is wanted")
    state = _STATES.get(str(raw.get("phase")))
    if state is None:
        allowed = ", ".join(_STATES)
        raise InvalidEventError(f"{name}: phase: one of {allowed} is wanted, not {raw.get('phase')!r}")
    address = _parse_address(raw.get("host_port"), name, state)
    spare = raw.get("spare", [0.0, 0.0])
    if not isinstance(spare, list) or len(spare) != 2:
        raise InvalidEventError(f"{name}: spare: two numbers are wanted, not {spare!r}")
    endpoint = Endpoint(
        id=machine_id(name),
        kind=_position(raw.get("flavor"), config.kinds),
        cell=_natural_number(raw.get("cell", 0), f"{name}: cell"),
        zone=_position(raw.get("locality"), config.zones),
        state=state,
        free_cores=_finite_number(spare[0], f"{name}: spare"),
        free_memory=_finite_number(spare[1], f"{name}: spare"),
        started_at=_finite_number(raw.get("up_since_ms", 0), f"{name}: up_since_ms"),
    )
    return EndpointEntry(name, address, endpoint)


def _parse_address(value: Any, name: str, state: MachineState) -> Address:
    try:
        return address_of(value, f"{name}: host_port")
    except ConfigError as error:
        if state is not MachineState.REMOVED:
            raise InvalidEventError(str(error)) from error
        return Address("", 0)


def _position(value: Any, names: tuple[str, ...]) -> int:
    return names.index(value) if value in names else _UNKNOWN_POSITION


def _natural_number(value: Any, where: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise InvalidEventError(f"{where}: a whole number is wanted, not {value!r}")
    return value


def _finite_number(value: Any, where: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise InvalidEventError(f"{where}: a number is wanted, not {value!r}")
    return float(value)
