"""Collects the problems of one inventory file, so that all are reported in one error."""

from __future__ import annotations

from kelpfront.inventory.entries import SourceValue
from kelpfront.inventory.model import InventoryError, Problem

MAX_REPORTED_PROBLEMS = 200  # per file; any more are only counted


class ProblemReport:
    """The errors and the warnings of one file. Errors make it unusable; warnings do not."""

    def __init__(self, source: str) -> None:
        self._source = source
        self._problems: list[Problem] = []
        self.warnings: list[Problem] = []

    def __len__(self) -> int:
        """Return the number of errors."""
        return len(self._problems)

    def add(self, where: SourceValue | None, host: str, message: str) -> None:
        """Add an error.

        `where` is None if it concerns the file as a whole; `host` is empty if it concerns no particular host.
        """
        self._problems.append(self._problem(where, host, message))

    def warn(self, where: SourceValue | None, host: str, message: str) -> None:
        """Add a warning; the arguments are those of `add`."""
        self.warnings.append(self._problem(where, host, message))

    def raise_if_any(self) -> None:
        """Raise InventoryError with the errors sorted by position, if there are any."""
        if not self._problems:
            return
        ordered = sorted(self._problems, key=lambda problem: (problem.line, problem.column))
        reported = ordered[:MAX_REPORTED_PROBLEMS]
        omitted = len(ordered) - len(reported)
        if omitted > 0:
            reported.append(Problem(self._source, 0, 0, "", f"and {omitted} more problems"))
        raise InventoryError(reported)

    def _problem(self, where: SourceValue | None, host: str, message: str) -> Problem:
        if where is None:
            return Problem(self._source, 0, 0, host, message)
        return Problem(self._source, where.line, where.column, host, message)
