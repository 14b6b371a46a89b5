"""Reads KNOWN-RED.txt at the root: tests that fail for a real fault, each with its cause and its issue.

They run as strict expected failures, which `conftest.py` sees to. A line that cannot be read, names no test,
or names one that passes again fails the run, so that the list stays short and true.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3  # so that faults are mended and not collected

_TEST = re.compile(r"tests/[\w/]+\.py::\S.*")
_ISSUE = re.compile(r"(issue )?#?\d+")


class KnownRedError(ValueError):
    """Raised for a list that cannot be used; the text names file and line."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that is expected to fail; `line` is where the list has it, counted from 1."""

    test: str
    cause: str
    issue: str
    line: int

    def __str__(self) -> str:
        return f"{self.test}: {self.cause} ({self.issue})"


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Return the entries of the list; none where there is no file.

    Raises:
        KnownRedError: a line is no entry, names a test that an earlier one names, or is one too many.
    """
    if not path.exists():
        return []
    failures: list[KnownFailure] = []
    for number, text in enumerate(path.read_text().splitlines(), 1):
        is_comment = text.lstrip().startswith("#")
        if is_comment or not text.strip():
            continue
        position = f"{path.name}:{number}"
        failure = _parse_line(text, number, position)
        if any(earlier.test == failure.test for earlier in failures):
            raise KnownRedError(f"{position}: {failure.test} is listed twice")
        failures.append(failure)
        if len(failures) > MAX_ENTRIES:
            raise KnownRedError(f"{position}: {MAX_ENTRIES} tests at most may be listed")
    return failures


def find_missing_tests(
    failures: Iterable[KnownFailure], collected: Iterable[str], root: Path
) -> list[KnownFailure]:
    """Return the entries that name no test, as far as one run can say.

    A test is missing if its file does not exist, or if the file was collected and the test was not in it.
    """
    tests = set(collected)
    collected_files = {test.partition("::")[0] for test in tests}
    missing = []
    for failure in failures:
        file = failure.test.partition("::")[0]
        is_decided = file in collected_files or not (root / file).exists()
        if failure.test not in tests and is_decided:
            missing.append(failure)
    return missing


def _parse_line(text: str, number: int, position: str) -> KnownFailure:
    test, _, rest = text.partition(", ")
    cause, _, issue = rest.rpartition(", ")  # a cause may hold commas
    failure = KnownFailure(test.strip(), cause.strip(), issue.strip(), number)
    is_complete = _TEST.fullmatch(failure.test) and failure.cause and _ISSUE.fullmatch(failure.issue)
    if not is_complete:
        raise KnownRedError(f"{position}: 'tests/FILE.py::TEST, cause, issue N' is wanted: {text!r}")
    return failure
