"""Hosts and what can be wrong with a file of them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Host:
    """One machine. Cores and memory are its kind's, in the settings' units."""

    name: str
    kind: str
    rack: str
    room: str
    cores: float
    memory: float
    address: str  # http://HOST:PORT, perhaps with a path, or grpc://HOST:PORT


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake in a file. Lines and columns count from 1; 0 where there is none to name."""

    file: str
    line: int
    column: int
    host: str
    message: str

    def __str__(self) -> str:
        place = self.file
        if self.line:
            place += f":{self.line}"
            if self.column:
                place += f":{self.column}"
        return f"{place}: {self.host}: {self.message}" if self.host else f"{place}: {self.message}"


class InventoryError(ValueError):
    """A file that cannot be used; `problems` are all that was found wrong with it."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(map(str, self.problems)))


@dataclass(frozen=True, slots=True)
class Inventory:
    """Hosts by name, in the order of the file; `source` is where they are from."""

    source: str = ""
    hosts: dict[str, Host] = field(default_factory=dict)
