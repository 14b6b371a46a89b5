"""A failure detector's configuration: a placer's file that has a table `watch`.

The keys are the operators' and keep their names; errors name the key, its value and what is allowed. All
other tables are read by `kelpfront.platform.config`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from kelpfront.platform.config import Address, Config, ConfigError, config_of, datagram_address, read_json

MIN_CHECK_INTERVAL_MS = 100.0
MAX_CHECK_INTERVAL_MS = 1_000.0  # placers check machines themselves once observations are some seconds old


@dataclass(frozen=True, slots=True)
class FailureDetectorConfig:
    """What a failure detector is started with.

    Attributes:
        platform: the tables that placers have too.
        listen: where placers' datagrams arrive.
        zones: positions in the settings' zones of those whose machines are checked.
        check_interval_ms: between two checks of a machine.
    """

    platform: Config
    listen: Address
    zones: frozenset[int]
    check_interval_ms: float


def read_detector_config(path: Path) -> FailureDetectorConfig:
    """Read the file at `path`. Raises ConfigError where it cannot be used."""
    return read_json(path, parse_detector_config)


def parse_detector_config(raw: Any) -> FailureDetectorConfig:
    """Check a decoded file. Raises ConfigError where it cannot be used."""
    platform = config_of(raw)
    table = raw.get("watch")
    if not isinstance(table, dict):
        raise ConfigError(f"watch: a JSON object is wanted, not {table!r}")
    zones = _zones(table, platform.zones)
    check_interval_ms = _check_interval_ms(table)
    listen = datagram_address(table.get("listen"), "watch: listen")
    return FailureDetectorConfig(platform, listen, zones, check_interval_ms)


def _zones(table: Mapping[str, Any], known: tuple[str, ...]) -> frozenset[int]:
    names = table.get("zones", list(known))
    is_valid = isinstance(names, list) and names and all(name in known for name in names)
    if not is_valid:
        raise ConfigError(f"watch: zones: a list of some of {', '.join(known)} is wanted, not {names!r}")
    return frozenset(known.index(name) for name in names)


def _check_interval_ms(table: Mapping[str, Any]) -> float:
    interval = table.get("test_ms", MAX_CHECK_INTERVAL_MS)
    is_number = isinstance(interval, int | float) and not isinstance(interval, bool)
    if not is_number or not MIN_CHECK_INTERVAL_MS <= interval <= MAX_CHECK_INTERVAL_MS:
        allowed = f"from {MIN_CHECK_INTERVAL_MS:g} to {MAX_CHECK_INTERVAL_MS:g}"
        raise ConfigError(f"watch: test_ms: a number {allowed} is wanted, not {interval!r}")
    return float(interval)
