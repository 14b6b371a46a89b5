"""The problems of a settings file, and the error that reports all of them at once.

`ini` and `reader` find the problems.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigProblem:
    """One problem: its position, what is wrong, and what is allowed.

    Attributes:
        file: the path of the file, or the command line for an override.
        line: counted from 1; 0 if the problem concerns no particular line.
        section: empty if the problem concerns no particular section.
        key: empty if the problem concerns no particular key.
        allowed: description of the allowed values; empty if there is none.
    """

    file: str
    message: str
    line: int = 0
    section: str = ""
    key: str = ""
    allowed: str = ""

    def __str__(self) -> str:
        position = f"{self.file}:{self.line}" if self.line else self.file
        if self.section:
            position += f": [{self.section}]"
        if self.key:
            position += f" {self.key}"
        text = f"{position}: {self.message}"
        return f"{text}; allowed: {self.allowed}" if self.allowed else text


class ConfigError(ValueError):
    """Raised for invalid settings; `problems` has every problem that was found."""

    def __init__(self, problems: Iterable[ConfigProblem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(map(str, self.problems)))
