"""Reads the configuration of a failure detector: a placer's configuration file with a table `watch`.

Errors name the key, its value and the allowed values. All other tables are read by
`kelpfront.platform.config`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from kelpfront.platform.config import (
    Address,
    Config,
    ConfigError,
    parse_config,
    parse_datagram_address,
    read_json,
)

MIN_CHECK_INTERVAL_MS = 100.0
MAX_CHECK_INTERVAL_MS = 1_000.0  # placers check machines themselves when observations are some seconds old


@dataclass(frozen=True, slots=True)
class FailureDetectorConfig:
    """The configuration of a failure detector.

    Attributes:
        platform: the tables that placers' files have too.
        listen: the address at which placers' datagrams arrive.
        zones: the zones whose machines are checked, as positions in the zones of the settings.
        check_interval_ms: the interval between two checks of a machine.
    """

    platform: Config
    listen: Address
    zones: frozenset[int]
    check_interval_ms: float


def read_detector_config(path: Path) -> FailureDetectorConfig:
    """Read the file at `path`. Raises ConfigError if it is invalid."""
    return read_json(path, parse_detector_config)


def parse_detector_config(raw: Any) -> FailureDetectorConfig:
    """Validate a decoded file. Raises ConfigError if it is invalid."""
    platform = parse_config(raw)
    table = raw.get("watch")
    if not isinstance(table, dict):
        raise ConfigError(f"watch: expected a JSON object, got {table!r}")
    zones = _zones(table, platform.zones)
    check_interval_ms = _check_interval_ms(table)
    listen = parse_datagram_address(table.get("listen"), "watch: listen")
    return FailureDetectorConfig(platform, listen, zones, check_interval_ms)


def _zones(table: Mapping[str, Any], known: tuple[str, ...]) -> frozenset[int]:
    names = table.get("zones", list(known))
    is_valid = isinstance(names, list) and names and all(name in known for name in names)
    if not is_valid:
        raise ConfigError(f"watch: zones: expected a list of some of {', '.join(known)}, got {names!r}")
    return frozenset(known.index(name) for name in names)


def _check_interval_ms(table: Mapping[str, Any]) -> float:
    interval = table.get("test_ms", MAX_CHECK_INTERVAL_MS)
    is_number = isinstance(interval, int | float) and not isinstance(interval, bool)
    if not is_number or not MIN_CHECK_INTERVAL_MS <= interval <= MAX_CHECK_INTERVAL_MS:
        allowed = f"from {MIN_CHECK_INTERVAL_MS:g} to {MAX_CHECK_INTERVAL_MS:g}"
        raise ConfigError(f"watch: test_ms: expected a number {allowed}, got {interval!r}")
    return float(interval)
