"""The inventory and its hosts, and the problems of an inventory file.

`read` and the readers of each format read the files.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Host:
    """One machine.

    Attributes:
        room: the hall or site of the machine, as named in the settings and the inventory.
        cores: the cores of its kind in the settings.
        memory: the memory of its kind, in the unit of the settings.
        address: `http://HOST:PORT`, optionally with a path, or `grpc://HOST:PORT`.
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
    """One problem of an inventory file, either an error or a warning.

    Attributes:
        line: counted from 1; 0 if the problem concerns no particular line.
        column: counted from 1; 0 if the problem concerns no particular column.
        host: empty if the problem concerns no particular host.
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
    """Raised for a file that cannot be used; `problems` has every problem that was found."""

    def __init__(self, problems: Iterable[Problem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(map(str, self.problems)))


@dataclass(frozen=True, slots=True)
class Inventory:
    """The hosts by name, in the order of the file `source`."""

    source: str = ""
    hosts: dict[str, Host] = field(default_factory=dict)
