"""What all tests share: property tests draw the same examples every time, and none has a deadline.

Tests that KNOWN-RED.txt lists are expected to fail; reading the list is left to `known_red`.
"""

from __future__ import annotations

from typing import Any

import known_red
import pytest
from hypothesis import settings

settings.register_profile("kelpfront", derandomize=True, deadline=None)
settings.load_profile("kelpfront")


class _MissingTest(pytest.Item):
    """Fails in place of a test that is listed and does not exist.

    An error while tests are collected would not do: where they run in several processes, none of these can
    stop the run.
    """

    def __init__(self, *, failure: known_red.KnownFailure, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._failure = failure

    def runtest(self) -> None:
        position = f"{known_red.FILE_NAME}:{self._failure.line}"
        pytest.fail(f"{position}: there is no test {self._failure.test}", pytrace=False)


def pytest_configure(config: pytest.Config) -> None:
    """End the run before any test if the list cannot be read."""
    _read_list(config)


# Before -k and the like take tests out: one that is left out by a choice is not missing.
@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the tests of the list as expected failures, and let missing ones fail."""
    failures = _read_list(config)
    tests = {item.nodeid: item for item in items}
    has_whole_files = not any("::" in arg for arg in config.args)
    if has_whole_files and items:
        for failure in known_red.find_missing_tests(failures, tests, config.rootpath):
            name = f"{known_red.FILE_NAME}:{failure.line}"
            items.append(_MissingTest.from_parent(items[0].session, name=name, failure=failure))
    for failure in failures:
        if failure.test in tests:
            reason = f"{failure.cause} ({failure.issue})"
            tests[failure.test].add_marker(pytest.mark.xfail(strict=True, reason=reason))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the list, so that it is seen in every run."""
    for failure in _read_list(config):
        terminalreporter.write_line(f"known red: {failure}")


def _read_list(config: pytest.Config) -> list[known_red.KnownFailure]:
    try:
        return known_red.read_known_failures(config.rootpath / known_red.FILE_NAME)
    except known_red.KnownRedError as error:
        raise pytest.UsageError(str(error)) from error
