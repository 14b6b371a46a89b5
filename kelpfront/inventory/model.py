"""Hosts, the inventory that they make, and the problems of a file that lists them.

How a file is read is left to `read` and the readers of each format.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Host:
    """One machine.

    Attributes:
        room: the hall or site that it shares with others; operators name it in settings and inventories.
        cores: of its kind, as the settings have it.
        memory: of its kind, in the settings' unit.
        address: `http://HOST:PORT`, perhaps with a path, or `grpc://HOST:PORT`.
    """

    name: str
    kind: str
    rack: str
    room: str
    cores: float
    memory: float
    address: str


@dataclass(frozen=True, slots=True)
class Problem:
    """One mistake in a file.

    Attributes:
        line: counted from 1; 0 where the problem is of no line.
        column: counted from 1; 0 where the problem is of no column.
        host: empty where the problem is of no host.
    """

    file: str
    line: int
    column: int
    host: str
    message: str

    def __str__(self) -> str:
        position = self.file
        if self.line:
            position += f":{self.line}"
            if self.column:
                position += f":{self.column}"
        if self.host:
            return f"{position}: {self.host}: {self.message}"
        return f"{position}: {self.message}"


class InventoryError(ValueError):
    """Raised for a file that cannot be used; `problems` are all that was found wrong with it."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(map(str, self.problems)))


@dataclass(frozen=True, slots=True)
class Inventory:
    """Hosts by name, in the order of the file; `source` names the file."""

    source: str = ""
    hosts: dict[str, Host] = field(default_factory=dict)
