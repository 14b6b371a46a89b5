"""The mistakes of a settings file, and the error that reports all of them at once.

Finding mistakes is left to `ini` and `reader`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigProblem:
    """One mistake: where it is, what is wrong, and what is allowed.

    Attributes:
        file: the file, or where else the setting was given.
        line: counted from 1; 0 where the problem is of no line.
        section: empty where the problem is of no section.
        key: empty where the problem is of no key.
        allowed: empty where there is nothing to say of it.
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
    """Raised for settings that cannot be used; `problems` are all that was found wrong with them."""

    def __init__(self, problems: Iterable[ConfigProblem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(map(str, self.problems)))
