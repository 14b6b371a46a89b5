"""Reads KNOWN-RED.txt at the root, the list of known failures: tests with a real fault, its cause and issue.

`conftest.py` marks these tests as strict expected failures. A line that is malformed, names a missing test or
a test that passes again fails the run. This keeps the list short and accurate.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

FILE_NAME = "KNOWN-RED.txt"
MAX_ENTRIES = 3  # a low limit, so that faults are fixed instead of collected

_TEST = re.compile(r"tests/[\w/]+\.py::\S.*")
_ISSUE = re.compile(r"(issue )?#?\d+")


class KnownFailuresError(ValueError):
    """Raised for an invalid list; the message names the file and the line."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that is expected to fail; `line` is its line number in the list, counted from 1."""

    test: str
    cause: str
    issue: str
    line: int

    def __str__(self) -> str:
        return f"{self.test}: {self.cause} ({self.issue})"


def read_known_failures(path: Path) -> list[KnownFailure]:
    """Return the entries of the list, or an empty list if the file does not exist.

    Raises:
        KnownFailuresError: a line is malformed, repeats a test, or exceeds MAX_ENTRIES.
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
            raise KnownFailuresError(f"{position}: {failure.test} is listed twice")
        failures.append(failure)
        if len(failures) > MAX_ENTRIES:
            raise KnownFailuresError(f"{position}: at most {MAX_ENTRIES} tests may be listed")
    return failures


def find_missing_tests(
    failures: Iterable[KnownFailure], collected: Iterable[str], root: Path
) -> list[KnownFailure]:
    """Return the entries whose test does not exist, as far as one run can tell.

    A test is missing if its file does not exist, or if the file was collected and the test was not in it.
    """
    tests = set(collected)
    collected_files = {test.partition("::")[0] for test in tests}
    missing = []
    for failure in failures:
        file = failure.test.partition("::")[0]
        is_determined = file in collected_files or not (root / file).exists()
        if failure.test not in tests and is_determined:
            missing.append(failure)
    return missing


def _parse_line(text: str, number: int, position: str) -> KnownFailure:
    test, _, rest = text.partition(", ")
    cause, _, issue = rest.rpartition(", ")  # a cause may contain commas
    failure = KnownFailure(test.strip(), cause.strip(), issue.strip(), number)
    is_complete = _TEST.fullmatch(failure.test) and failure.cause and _ISSUE.fullmatch(failure.issue)
    if not is_complete:
        raise KnownFailuresError(f"{position}: expected 'tests/FILE.py::TEST, cause, issue N', got {text!r}")
    return failure
