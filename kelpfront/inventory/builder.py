"""Validates the host entries of an inventory file and builds the inventory.

It checks required columns, kinds and sizes, consistent spelling of locations, and unique names, addresses and
machine numbers. The reader of each format passes its entries here one by one.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import urlsplit

from kelpfront.inventory.entries import REQUIRED_COLUMNS, HostEntry, SourceValue
from kelpfront.inventory.model import Host, Inventory
from kelpfront.inventory.problems import ProblemReport
from kelpfront.numbers import machine_number

DEFAULT_PORT = 8141  # the port on which agents listen
MAX_PORT = 65_535

_HOST_NAME = re.compile(r"[A-Za-z0-9]([-A-Za-z0-9.]{0,251}[A-Za-z0-9])?\.?")
_IGNORED_IN_SPELLING = re.compile(r"[\s._-]+")
_SIZE_TOLERANCE = 1e-9  # relative; absorbs the rounding when sizes are parsed from decimal text


@dataclass(frozen=True, slots=True)
class KindSize:
    """The size of one kind of machine, in the units of the settings."""

    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class _FirstUse:
    """The first use of a location or an address.

    `name` is the spelling of the location, or the host that has the address.
    """

    name: str
    value: SourceValue


class InventoryBuilder:
    """Collects and validates the hosts of one file.

    `kinds` maps the kinds of machines in the settings to their sizes. `rooms` are the rooms that the settings
    allow; if it is empty, any room is allowed.
    """

    def __init__(
        self, source: str, kinds: Mapping[str, KindSize], rooms: frozenset[str] = frozenset()
    ) -> None:
        self.problems = ProblemReport(source)
        self._source = source
        self._kinds = kinds
        self._rooms = rooms
        self._hosts: dict[str, Host] = {}
        self._entries: dict[str, HostEntry] = {}
        self._locations: dict[tuple[str, str], _FirstUse] = {}
        self._addresses: dict[str, _FirstUse] = {}
        self._numbers: dict[int, str] = {}

    def add(self, entry: HostEntry) -> None:
        """Add the host of an entry, or report the problems of the entry."""
        name = entry.host.text
        if not _HOST_NAME.fullmatch(name):
            self.problems.add(entry.host, name, "is not a valid host name")
            return
        key = name.lower().rstrip(".")
        if not self._check_not_duplicate(entry, key):
            return
        problems_before = len(self.problems)
        self._check_required(entry)
        kind = self._kind(entry)
        self._check_location(entry)
        address = self._address(entry, key)
        self._check_number(entry, key)
        if len(self.problems) > problems_before or kind is None:
            return
        rack, room = entry.values["rack"].text, entry.values["room"].text
        size = self._kinds[kind]
        self._hosts[key] = Host(key, kind, rack, room, size.cores, size.memory, address)

    def finish(self) -> Inventory:
        """Return the inventory. Raises InventoryError with all problems of the file."""
        if not self._hosts and len(self.problems) == 0:
            self.problems.add(None, "", "contains no hosts")
        self.problems.raise_if_any()
        return Inventory(self._source, self._hosts)

    def _check_not_duplicate(self, entry: HostEntry, key: str) -> bool:
        first = self._entries.setdefault(key, entry)
        if first is entry:
            return True
        message = f"duplicate host; first defined as {first.host.text} in line {first.host.line}"
        self.problems.add(entry.host, entry.host.text, message)
        return False

    def _check_required(self, entry: HostEntry) -> None:
        for column in REQUIRED_COLUMNS:
            if entry.given(column) is None:
                where = entry.values.get(column) or entry.host
                self.problems.add(where, entry.host.text, f"{column} is missing")

    # ---- Kind and size --------------------------------------------------------------------------------

    def _kind(self, entry: HostEntry) -> str | None:
        """Return the entry's kind, or None if the settings do not define it.

        Sizes in the entry must equal those of the kind.
        """
        kind = entry.given("kind")
        if kind is None:
            return None
        size = self._kinds.get(kind.text)
        if size is None:
            known = ", ".join(self._kinds)
            message = f"unknown kind {kind.text!r}; the settings have {known}"
            self.problems.add(kind, entry.host.text, message)
        self._check_size(entry, "cores", kind.text, size.cores if size is not None else None)
        self._check_size(entry, "memory", kind.text, size.memory if size is not None else None)
        return kind.text if size is not None else None

    def _check_size(self, entry: HostEntry, column: str, kind: str, expected: float | None) -> None:
        given = entry.given(column)
        if given is None:
            return
        value = _finite_number(given.text)
        if value is None or not value > 0:
            message = f"{column} {given.text!r} is not a number above 0"
            self.problems.add(given, entry.host.text, message)
        elif expected is not None and not math.isclose(value, expected, rel_tol=_SIZE_TOLERANCE):
            message = f"{column} {given.text} does not match kind {kind}, which has {expected:g}"
            self.problems.add(given, entry.host.text, message)

    # ---- Location -------------------------------------------------------------------------------------

    def _check_location(self, entry: HostEntry) -> None:
        room = entry.given("room")
        if room is None:
            return
        self._check_spelling("room", "", room, entry)
        rack = entry.given("rack")
        if rack is not None:
            self._check_spelling("rack", room.text, rack, entry)
        if self._rooms and room.text not in self._rooms:
            known = ", ".join(sorted(self._rooms))
            message = f"unknown room {room.text!r}; the settings have {known}"
            self.problems.add(room, entry.host.text, message)

    def _check_spelling(self, column: str, within: str, value: SourceValue, entry: HostEntry) -> None:
        """Require that a location is spelled as in its first use.

        Two spellings of one location would count as two failure domains.
        """
        folded = _IGNORED_IN_SPELLING.sub("", value.text.casefold())
        first = self._locations.setdefault((f"{column}/{within}", folded), _FirstUse(value.text, value))
        if first.name != value.text:
            message = f"{column} {value.text!r} is spelled {first.name!r} in line {first.value.line}"
            self.problems.add(value, entry.host.text, message)

    # ---- Address and number ---------------------------------------------------------------------------

    def _address(self, entry: HostEntry, key: str) -> str:
        """Return the address of a host, or an empty string if it is invalid. Addresses must be unique."""
        given = entry.given("address")
        port = entry.given("port")
        name = entry.host.text
        if given is not None:
            address = self._given_address(given, port, name)
        else:
            address = self._default_address(key, port, name)
        if not address:
            return ""
        address = address.rstrip("/")
        where = given or entry.values.get("port") or entry.host
        first = self._addresses.setdefault(address.lower(), _FirstUse(name, where))
        if first.name != name:
            message = f"has the same address as {first.name} in line {first.value.line}: {address}"
            self.problems.add(where, name, message)
        return address

    def _default_address(self, key: str, port: SourceValue | None, name: str) -> str:
        if port is None:
            return f"http://{key}:{DEFAULT_PORT}"
        is_decimal = port.text.isascii() and port.text.isdigit()
        if not is_decimal or not 0 < int(port.text) <= MAX_PORT:
            self.problems.add(port, name, f"port {port.text!r} is not a number from 1 to 65535")
            return ""
        return f"http://{key}:{int(port.text)}"

    def _given_address(self, given: SourceValue, port: SourceValue | None, name: str) -> str:
        address = given.text if "://" in given.text else f"http://{given.text}"
        if not _is_address(address):
            allowed = "HOST:PORT, http://HOST:PORT or grpc://HOST:PORT"
            self.problems.add(given, name, f"address {given.text!r} is not {allowed}")
            return ""
        if port is not None:
            self.problems.add(port, name, "has both an address and a port")
        return address

    def _check_number(self, entry: HostEntry, key: str) -> None:
        """Reject a host whose machine number is already in use, because the number identifies a machine."""
        number = machine_number(key)
        name = entry.host.text
        if number in self._numbers:
            message = f"has the same machine number as {self._numbers[number]}; rename one of them"
            self.problems.add(entry.host, name, message)
        self._numbers[number] = name


def _finite_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None


def _is_address(text: str) -> bool:
    try:
        parts = urlsplit(text)
        return parts.scheme in ("http", "grpc") and bool(parts.hostname) and bool(parts.port)
    except ValueError:
        return False
