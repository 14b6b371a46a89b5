"""Reads and validates the platform's configuration file. Errors name file, key and allowed values.

`kelpfront.wire` reads the scheduler's settings, and `endpoint_events` the endpoint-list events in `known`.
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
"""Maximum open file descriptors, if the limits do not specify it."""

MIN_SOCKETS = 64
"""Minimum file descriptors; with fewer, clients, machines and endpoint list could not all have one."""

DEFAULT_MEMORY_MB = 64.0
"""Memory limit in megabytes, if the limits do not specify it."""

MAX_MEMORY_MB = 1 << 24
"""Maximum memory limit in megabytes; a larger value was probably given in another unit."""

DEFAULT_IDLE_MS = 30_000.0
"""Time in ms after which machines close idle connections, if the settings do not specify it."""

MAX_FAILURE_DETECTORS = 16
"""Maximum failure detectors; bounds the datagrams, as each detector sends digests every second."""

MAX_PORT = 65_535


class ConfigError(ValueError):
    """An invalid configuration; the message names the key, the value and the allowed values."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host name or IP address, and a port."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration with which the platform starts a placer.

    Attributes:
        name: the placer's name in the log.
        listen: the address at which clients connect.
        coordinator: the address from which the endpoint list is polled.
        seed: seeds the placer's random choices.
        sockets: maximum number of open file descriptors of the process.
        memory_mb: memory limit of the process, in megabytes.
        known: a response of the coordinator that may be some seconds old.
        settings: the scheduler's settings; times are in milliseconds.
        zones: zone names, by the scheduler's index.
        kinds: names of machine kinds, by the scheduler's index.
        idle_ms: time after which machines close idle connections.
        watchers: failure detectors that report machine liveness; if empty, the placer itself health-checks
            all machines.
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
    """Read the configuration file at `path`.

    Raises:
        ConfigError: the file is unreadable or invalid; the message names the file and the key.
    """
    return read_json(path, parse_config)


def read_json(path: Path, parse: Callable[[Any], T]) -> T:
    """Read the JSON file at `path` and return its value converted by `parse`.

    Raises:
        ConfigError: the file cannot be read, or `parse` raised the error; the message names the file.
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


def parse_config(raw: Any) -> Config:
    """Parse and validate the configuration in a JSON value.

    Raises:
        ConfigError: the configuration is invalid; the message names the key.
    """
    if not isinstance(raw, dict):
        raise ConfigError("expected a JSON object")
    info = _get_object(raw, "settings")
    settings = _parse_settings(info)
    limits = _get_object(raw, "limits")
    sockets = _parse_sockets(limits)
    memory_mb = _parse_memory_mb(limits)
    seed = _parse_seed(raw.get("seed", "0"))
    idle_ms = _parse_idle_ms(info)
    return Config(
        name=str(raw.get("name", "")),
        listen=parse_address(raw.get("listen"), "listen"),
        coordinator=parse_address(raw.get("coordinator"), "coordinator"),
        seed=seed,
        sockets=sockets,
        memory_mb=memory_mb,
        known=_get_object(raw, "known"),
        settings=settings,
        zones=_get_names(info, "Zones"),
        kinds=_get_names(info, "Shapes"),
        idle_ms=idle_ms,
        watchers=_parse_failure_detectors(_get_object(raw, "liveness")),
    )


def _parse_settings(info: dict[str, Any]) -> SchedulerSettings:
    try:
        return replace(settings_of(info), machine_loss_notified=False)
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from error


def _parse_sockets(limits: dict[str, Any]) -> int:
    value = limits.get("sockets", DEFAULT_SOCKETS)
    if isinstance(value, bool) or not isinstance(value, int) or value < MIN_SOCKETS:
        raise ConfigError(
            f"limits: sockets: expected a whole number of at least {MIN_SOCKETS}, got {value!r}"
        )
    return value


def _parse_memory_mb(limits: dict[str, Any]) -> float:
    value = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    if not _is_number(value) or not 1 <= value <= MAX_MEMORY_MB:
        raise ConfigError(f"limits: memory_mb: expected a number from 1 to {MAX_MEMORY_MB}, got {value!r}")
    return float(value)


def _parse_seed(value: Any) -> int:
    try:
        return int(str(value), 16)
    except ValueError as error:
        raise ConfigError(f"seed: expected hexadecimal digits, got {value!r}") from error


def _parse_idle_ms(info: dict[str, Any]) -> float:
    value = _get_object(info, "Permissions").get("ConnIdleMs", DEFAULT_IDLE_MS)
    if not _is_number(value) or not value > 0:
        raise ConfigError(f"settings: Permissions: ConnIdleMs: expected a number above 0, got {value!r}")
    return float(value)


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


def _parse_failure_detectors(table: dict[str, Any]) -> tuple[Address, ...]:
    where = "liveness: watchers"
    value = table.get("watchers", [])
    if not isinstance(value, list) or len(value) > MAX_FAILURE_DETECTORS:
        raise ConfigError(f"{where}: expected a list of at most {MAX_FAILURE_DETECTORS}, got {value!r}")
    addresses = tuple(parse_datagram_address(item, where) for item in value)
    if len(set(addresses)) < len(addresses):
        raise ConfigError(f"{where}: duplicate address in {value!r}")
    return addresses


def parse_datagram_address(value: Any, where: str) -> Address:
    """Parse IPv4:PORT. A host name is rejected, since received datagrams are matched by IP address.

    Raises:
        ConfigError: the value is invalid; the message begins with `where`.
    """
    address = parse_address(value, where)
    try:
        IPv4Address(address.host)
    except ValueError as error:
        raise ConfigError(f"{where}: expected IPv4:PORT, got {value!r}") from error
    if not address.port:
        raise ConfigError(f"{where}: expected a port above 0, got {value!r}")
    return address


def parse_address(value: Any, where: str) -> Address:
    """Parse HOST:PORT.

    Raises:
        ConfigError: the value is invalid; the message begins with `where`.
    """
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    is_valid_port = port.isascii() and port.isdigit() and int(port) <= MAX_PORT
    if not host or not is_valid_port:
        raise ConfigError(f"{where}: expected HOST:PORT, got {value!r}")
    return Address(host, int(port))


def _get_object(raw: dict[str, Any], name: str) -> dict[str, Any]:
    value = raw.get(name, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{name}: expected a JSON object, got {value!r}")
    return value


def _get_names(info: dict[str, Any], name: str) -> tuple[str, ...]:
    value = info.get(name)
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise ConfigError(f"settings: {name}: expected a list of names, got {value!r}")
    return tuple(value)
