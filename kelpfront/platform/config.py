"""The platform's configuration file, checked. Errors name the file, the key and what is allowed.

The scheduler's settings are read by `kelpfront.wire`; events in `known` by `endpoint_events`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any, TypeVar

from kelpfront.scheduling.settings import SchedulerSettings
from kelpfront.wire import settings_of

T = TypeVar("T")

DEFAULT_SOCKETS = 1024
"""Descriptors where the limits say nothing of them."""

MIN_SOCKETS = 64
"""With fewer, clients, machines and the endpoint list would have none left for one another."""

DEFAULT_MEMORY_MB = 64.0
"""Memory where the limits say nothing of it."""

MAX_MEMORY_MB = 1 << 24
"""More is a mistake of units."""

DEFAULT_IDLE_MS = 30_000.0
"""After which machines close idle connections, where the settings say nothing of it."""

MAX_FAILURE_DETECTORS = 16
"""Each sends digests every second."""

MAX_PORT = 65_535


class ConfigError(ValueError):
    """A configuration that cannot be used; the message names the key, the value and what is allowed."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host, by name or number, and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Config:
    """What the platform tells a placer at its start.

    Attributes:
        name: of this placer, for the log.
        listen: where clients connect to.
        coordinator: where the endpoint list is polled.
        seed: of the placer's random choices.
        sockets: descriptors that the process may have open.
        memory_mb: memory that it may use.
        known: an answer of the coordinator that may be some seconds old.
        settings: the scheduler's settings; times are milliseconds.
        zones: names of zones, by the scheduler's index.
        kinds: names of the kinds of machines, by the scheduler's index.
        idle_ms: after which machines close idle connections.
        watchers: failure detectors that report which machines live; empty: this placer checks all itself.
    """

    name: str
    listen: Address
    coordinator: Address
    seed: int
    sockets: int
    memory_mb: float
    known: dict[str, Any]
    settings: SchedulerSettings
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    idle_ms: float
    watchers: tuple[Address, ...] = ()


def read_config(path: Path) -> Config:
    """Return the configuration of the file at `path`.

    Raises:
        ConfigError: it cannot be read or used; the message names the file and the key.
    """
    return read_json(path, config_of)


def read_json(path: Path, parse: Callable[[Any], T]) -> T:
    """Return what `parse` makes of the JSON file at `path`.

    Raises:
        ConfigError: the file cannot be read, or `parse` raised one; the message names the file.
    """
    try:
        raw = json.loads(path.read_bytes())
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: not JSON: {error}") from error
    try:
        return parse(raw)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error


def config_of(raw: Any) -> Config:
    """Return the configuration that the JSON value holds.

    Raises:
        ConfigError: it cannot be used; the message names the key.
    """
    if not isinstance(raw, dict):
        raise ConfigError("a JSON object is wanted")
    info = _object(raw, "settings")
    settings = _settings(info)
    limits = _object(raw, "limits")
    sockets = _sockets(limits)
    memory_mb = _memory_mb(limits)
    seed = _seed(raw.get("seed", "0"))
    idle_ms = _idle_ms(info)
    return Config(
        name=str(raw.get("name", "")),
        listen=address_of(raw.get("listen"), "listen"),
        coordinator=address_of(raw.get("coordinator"), "coordinator"),
        seed=seed,
        sockets=sockets,
        memory_mb=memory_mb,
        known=_object(raw, "known"),
        settings=settings,
        zones=_names(info, "Zones"),
        kinds=_names(info, "Shapes"),
        idle_ms=idle_ms,
        watchers=_watchers(_object(raw, "liveness")),
    )


def _settings(info: dict[str, Any]) -> SchedulerSettings:
    try:
        return replace(settings_of(info), machine_loss_notified=False)
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from error


def _sockets(limits: dict[str, Any]) -> int:
    value = limits.get("sockets", DEFAULT_SOCKETS)
    if isinstance(value, bool) or not isinstance(value, int) or value < MIN_SOCKETS:
        raise ConfigError(
            f"limits: sockets: a whole number of at least {MIN_SOCKETS} is wanted, not {value!r}"
        )
    return value


def _memory_mb(limits: dict[str, Any]) -> float:
    value = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if not _is_number(value) or not 1 <= value <= MAX_MEMORY_MB:
        raise ConfigError(f"limits: memory_mb: a number from 1 to {MAX_MEMORY_MB} is wanted, not {value!r}")
    return float(value)


def _seed(value: Any) -> int:
    try:
        return int(str(value), 16)
    except ValueError as error:
        raise ConfigError(f"seed: hex digits are wanted, not {value!r}") from error


def _idle_ms(info: dict[str, Any]) -> float:
    value = _object(info, "Permissions").get("ConnIdleMs", DEFAULT_IDLE_MS)
    if not _is_number(value) or not value > 0:
        raise ConfigError(f"settings: Permissions: ConnIdleMs: above 0 is wanted, not {value!r}")
    return float(value)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _watchers(table: dict[str, Any]) -> tuple[Address, ...]:
    where = "liveness: watchers"
    value = table.get("watchers", [])
    if not isinstance(value, list) or len(value) > MAX_FAILURE_DETECTORS:
        raise ConfigError(f"{where}: a list of at most {MAX_FAILURE_DETECTORS} is wanted, not {value!r}")
    found = tuple(datagram_address(item, where) for item in value)
    if len(set(found)) < len(found):
        raise ConfigError(f"{where}: each is wanted once, not {value!r}")
    return found


def datagram_address(value: Any, where: str) -> Address:
    """Return ADDRESS:PORT as an address; by number, as datagrams are told apart by it.

    Raises:
        ConfigError: the message names `where`.
    """
    found = address_of(value, where)
    try:
        IPv4Address(found.host)
    except ValueError as error:
        raise ConfigError(f"{where}: an IPv4 address and a port are wanted, not {value!r}") from error
    if not found.port:
        raise ConfigError(f"{where}: a port above 0 is wanted, not {value!r}")
    return found


def address_of(value: Any, where: str) -> Address:
    """Return HOST:PORT as an address.

    Raises:
        ConfigError: the message names `where`.
    """
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    has_port = port.isascii() and port.isdigit() and int(port) <= MAX_PORT
    if not host or not has_port:
        raise ConfigError(f"{where}: HOST:PORT is wanted, not {value!r}")
    return Address(host, int(port))


def _object(raw: dict[str, Any], name: str) -> dict[str, Any]:
    value = raw.get(name, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{name}: a JSON object is wanted, not {value!r}")
    return value


def _names(info: dict[str, Any], name: str) -> tuple[str, ...]:
    value = info.get(name)
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise ConfigError(f"settings: {name}: a list of names is wanted, not {value!r}")
    return tuple(value)
