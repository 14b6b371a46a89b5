"""Rows of either form to hosts: what must be there, what must agree, and all mistakes at once."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from kelpfront.inventory.model import Host, Inventory, InventoryError, Problem
from kelpfront.numbers import machine_number

DEFAULT_PORT = 8141
MAX_HOSTS = 100_000
MAX_PROBLEMS = 200  # told of one file

REQUIRED = ("kind", "rack", "room")
OPTIONAL = ("cores", "memory", "address", "port")

_HOST = re.compile(r"[A-Za-z0-9]([-A-Za-z0-9.]{0,251}[A-Za-z0-9])?\.?")
_FOLD = re.compile(r"[\s._-]+")


@dataclass(frozen=True, slots=True)
class KindSize:
    cores: float
    memory: float


@dataclass(frozen=True, slots=True)
class Cell:
    """A value and where it stands."""

    text: str
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Row:
    """One host as a file has it."""

    host: Cell
    values: Mapping[str, Cell]


@dataclass(slots=True)
class Builder:
    """Collects hosts and problems of one file."""

    source: str
    kinds: Mapping[str, KindSize]
    rooms: frozenset[str] = frozenset()  # those that the settings name; any if empty
    problems: list[Problem] = field(default_factory=list)
    warnings: list[Problem] = field(default_factory=list)
    _hosts: dict[str, Host] = field(default_factory=dict)
    _seen: dict[str, Row] = field(default_factory=dict)
    _spellings: dict[tuple[str, str], tuple[str, Cell]] = field(default_factory=dict)
    _addresses: dict[str, tuple[str, Cell]] = field(default_factory=dict)
    _numbers: dict[int, str] = field(default_factory=dict)

    def problem(self, cell: Cell | None, host: str, message: str) -> None:
        line, column = (cell.line, cell.column) if cell is not None else (0, 0)
        self.problems.append(Problem(self.source, line, column, host, message))

    def warn(self, cell: Cell | None, host: str, message: str) -> None:
        line, column = (cell.line, cell.column) if cell is not None else (0, 0)
        self.warnings.append(Problem(self.source, line, column, host, message))

    def add(self, row: Row) -> None:
        name = row.host.text
        before = len(self.problems)
        if not _HOST.fullmatch(name):
            self.problem(row.host, name, "is not a host name")
            return
        folded = name.lower().rstrip(".")
        first = self._seen.get(folded)
        if first is not None:
            self.problem(
                row.host, name, f"is there twice, first as {first.host.text} in line {first.host.line}"
            )
            return
        self._seen[folded] = row
        texts = {}
        for column in REQUIRED:
            cell = row.values.get(column)
            if cell is None or not cell.text:
                self.problem(cell or row.host, name, f"{column} is missing")
            else:
                texts[column] = cell.text
        kind = self._kind(row, name)
        self._check_spelling("room", "", row.values.get("room"), name)
        if "room" in texts:
            self._check_spelling("rack", texts["room"], row.values.get("rack"), name)
            if self.rooms and texts["room"] not in self.rooms:
                known = ", ".join(sorted(self.rooms))
                self.problem(
                    row.values["room"], name, f"room {texts['room']!r} is not one of the settings': {known}"
                )
        address = self._address(row, folded)
        number = machine_number(folded)
        if number in self._numbers:
            self.problem(row.host, name, f"has the same number as {self._numbers[number]}; rename one")
        self._numbers[number] = name
        if len(self.problems) > before or kind is None:
            return
        size = self.kinds[kind]
        self._hosts[folded] = Host(
            folded, kind, texts["rack"], texts["room"], size.cores, size.memory, address
        )

    def _kind(self, row: Row, name: str) -> str | None:
        cell = row.values.get("kind")
        if cell is None or not cell.text:
            return None
        size = self.kinds.get(cell.text)
        if size is None:
            self.problem(cell, name, f"unknown kind {cell.text!r}; the settings have {', '.join(self.kinds)}")
        for column in ("cores", "memory"):
            given = row.values.get(column)
            if given is None or not given.text:
                continue
            value = _number(given.text)
            if value is None or not value > 0:
                self.problem(given, name, f"{column} {given.text!r} is not a number above 0")
            elif size is not None and not math.isclose(value, getattr(size, column), rel_tol=1e-9):
                self.problem(
                    given, name, f"{column} {given.text}: kind {cell.text} has {getattr(size, column):g}"
                )
        return cell.text if size is not None else None

    def _check_spelling(self, what: str, within: str, cell: Cell | None, host: str) -> None:
        """One place must be written in one way: two spellings would count as two places."""
        if cell is None or not cell.text:
            return
        folded = _FOLD.sub("", cell.text.casefold())
        spelled, first = self._spellings.setdefault((f"{what}/{within}", folded), (cell.text, cell))
        if spelled != cell.text:
            self.problem(cell, host, f"{what} {cell.text!r} is spelled {spelled!r} in line {first.line}")

    def _address(self, row: Row, host: str) -> str:
        cell, port = row.values.get("address"), row.values.get("port")
        if cell is None or not cell.text:
            number = DEFAULT_PORT
            if port is not None and port.text:
                if not (port.text.isascii() and port.text.isdigit() and 0 < int(port.text) < 65536):
                    self.problem(port, row.host.text, f"port {port.text!r} is not from 1 to 65535")
                    return ""
                number = int(port.text)
            address, where = f"http://{host}:{number}", port or row.host
        else:
            address, where = cell.text, cell
            if "://" not in address:
                address = f"http://{address}"
            if not _is_address(address):
                self.problem(
                    cell,
                    row.host.text,
                    f"address {cell.text!r} is not HOST:PORT, http://HOST:PORT or grpc://HOST:PORT",
                )
                return ""
            if port is not None and port.text:
                self.problem(port, row.host.text, "has both an address and a port")
        address = address.rstrip("/")
        other, first = self._addresses.setdefault(address.lower(), (row.host.text, where))
        if other != row.host.text:
            self.problem(where, row.host.text, f"has the address of {other} in line {first.line}: {address}")
        return address

    def finish(self) -> Inventory:
        """The inventory, or InventoryError with all that is wrong."""
        if not self._hosts and not self.problems:
            self.problem(None, "", "names no host")
        if self.problems:
            self.problems.sort(key=lambda problem: (problem.line, problem.column))
            left = len(self.problems) - MAX_PROBLEMS
            told = self.problems[:MAX_PROBLEMS]
            if left > 0:
                told.append(Problem(self.source, 0, 0, "", f"and {left} problems more"))
            raise InventoryError(told)
        return Inventory(self.source, self._hosts)


def _number(text: str) -> float | None:
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
