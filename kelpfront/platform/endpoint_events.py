"""Parses the coordinator's events into endpoint lists for the scheduler. Performs no I/O.

The first event contains the complete list, later ones contain the changes. An event that is invalid in any
part raises `InvalidEventError`, and none of it is applied.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from kelpfront.platform.config import Address, Config, ConfigError, parse_address
from kelpfront.platform.messages import machine_id
from kelpfront.scheduling.events import Endpoint, MachineState

_STATES = {
    "Ready": MachineState.READY,
    "Terminating": MachineState.DRAINING,
    "Gone": MachineState.REMOVED,
}

_UNKNOWN_INDEX = -1


class InvalidEventError(ValueError):
    """An event that violates the protocol; the message names the member and the field."""


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One machine of an event, with the address at which it listens."""

    name: str
    address: Address
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointEvent:
    """One event; `complete` says whether it lists all machines or only changes."""

    index: int
    complete: bool
    entries: tuple[EndpointEntry, ...]


def parse_events(raw: Any, config: Config) -> tuple[int, list[EndpointEvent]]:
    """Return the last index and the events of an answer or of the configuration's `known`.

    Raises:
        InvalidEventError: the answer or one of its events violates the protocol.
    """
    if not isinstance(raw, dict):
        raise InvalidEventError("expected a JSON object")
    updates = raw.get("updates", [])
    if not isinstance(updates, list):
        raise InvalidEventError("updates: expected a list")
    events = [_parse_event(update, config) for update in updates]
    index = raw.get("index", max((event.index for event in events), default=0))
    return _natural_number(index, "index"), events


def _parse_event(raw: Any, config: Config) -> EndpointEvent:
    if not isinstance(raw, dict):
        raise InvalidEventError("updates: expected JSON objects")
    index = _natural_number(raw.get("index"), "updates: index")
    endpoints = raw.get("endpoints")
    if endpoints is None:  # an event that does not concern machines
        return EndpointEvent(index, complete=False, entries=())
    members = endpoints.get("members", []) if isinstance(endpoints, dict) else None
    if not isinstance(members, list):
        raise InvalidEventError("endpoints: expected an object with a list of members")
    entries = tuple(_parse_entry(member, config) for member in members)
    return EndpointEvent(index, endpoints.get("complete") is True, entries)


def _parse_entry(raw: Any, config: Config) -> EndpointEntry:
    name = raw.get("id") if isinstance(raw, dict) else None
    if not isinstance(name, str) or not name:
        raise InvalidEventError("members: expected an object with an id")
    state = _STATES.get(str(raw.get("phase")))
    if state is None:
        allowed = ", ".join(_STATES)
        raise InvalidEventError(f"{name}: phase: expected one of {allowed}, got {raw.get('phase')!r}")
    address = _parse_address(raw.get("host_port"), name, state)
    spare = raw.get("spare", [0.0, 0.0])
    if not isinstance(spare, list) or len(spare) != 2:
        raise InvalidEventError(f"{name}: spare: expected two numbers, got {spare!r}")
    endpoint = Endpoint(
        id=machine_id(name),
        kind=_index_of(raw.get("flavor"), config.kinds),
        cell=_natural_number(raw.get("cell", 0), f"{name}: cell"),
        zone=_index_of(raw.get("locality"), config.zones),
        state=state,
        free_cores=_finite_number(spare[0], f"{name}: spare"),
        free_memory=_finite_number(spare[1], f"{name}: spare"),
        started_at=_finite_number(raw.get("up_since_ms", 0), f"{name}: up_since_ms"),
    )
    return EndpointEntry(name, address, endpoint)


def _parse_address(value: Any, name: str, state: MachineState) -> Address:
    try:
        return parse_address(value, f"{name}: host_port")
    except ConfigError as error:
        if state is not MachineState.REMOVED:
            raise InvalidEventError(str(error)) from error
        return Address("", 0)


def _index_of(value: Any, names: tuple[str, ...]) -> int:
    return names.index(value) if value in names else _UNKNOWN_INDEX


def _natural_number(value: Any, where: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise InvalidEventError(f"{where}: expected a whole number of at least 0, got {value!r}")
    return value


def _finite_number(value: Any, where: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise InvalidEventError(f"{where}: expected a finite number, got {value!r}")
    return float(value)
