"""The list of tests that are known to fail, and that it cannot hide anything else."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import known_red
import pytest

ROOT = Path(__file__).parents[2]
TESTS = """
import pytest

def test_right(): assert True
def test_wrong(): assert False
@pytest.mark.parametrize("n", [1, 2])
def test_half(n): assert n == 1
"""
WRONG = "tests/test_it.py::test_wrong, a fault, found on roll, issue 37\n"


def run(tmp_path: Path, listed: str | None, *args: str) -> subprocess.CompletedProcess[str]:
    """A run of three tests under this project's set-up."""
    tests = tmp_path / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py"):
        (tests / name).write_text((ROOT / "tests" / name).read_text())
    (tests / "test_it.py").write_text(TESTS)
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\npythonpath = ["tests"]\n')
    if listed is not None:
        (tmp_path / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *args]
    return subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, timeout=100, check=False)


HALF = "tests/test_it.py::test_half[2], another, #38\n"


@pytest.mark.parametrize("parallel", [(), ("-n", "2")], ids=["in one process", "in two"])
def test_listed_tests_may_fail_and_are_printed(tmp_path: Path, parallel: tuple[str, ...]) -> None:
    done = run(tmp_path, f"# said why\n\n{WRONG}{HALF}", *parallel)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "2 passed, 2 xfailed" in done.stdout
    assert "known red: tests/test_it.py::test_wrong: a fault, found on roll (issue 37)" in done.stdout
    assert "known red: tests/test_it.py::test_half[2]: another (#38)" in done.stdout


@pytest.mark.parametrize("listed", [None, "# nothing\n"])
def test_what_is_not_listed_fails(tmp_path: Path, listed: str | None) -> None:
    done = run(tmp_path, listed)
    assert done.returncode == 1
    assert "2 failed, 2 passed" in done.stdout


@pytest.mark.parametrize("parallel", [(), ("-n", "2")], ids=["in one process", "in two"])
@pytest.mark.parametrize(
    ("line", "says"),
    [
        ("tests/test_it.py::test_right, a fault, issue 37\n", "XPASS(strict)"),
        ("tests/test_it.py::test_gone, a fault, issue 37\n", "there is no test tests/test_it.py::test_gone"),
        ("tests/test_old.py::test_wrong, a fault, issue 37\n", "there is no test tests/test_old.py"),
        ("tests/test_it.py::test_wrong, issue 37\n", "KNOWN-RED.txt:3"),
        ("tests/test_it.py::test_wrong\n", "KNOWN-RED.txt:3"),
        ("test_wrong, a fault, issue 37\n", "KNOWN-RED.txt:3"),
        ("tests/test_it.py::test_wrong, a fault, soon\n", "KNOWN-RED.txt:3"),
        (WRONG, "listed twice"),
        (f"tests/test_it.py::test_right, a fault, 1\n{HALF}tests/test_it.py::b, c, 1\n", "3 tests at most"),
    ],
    ids=["passes", "gone", "file gone", "no cause", "alone", "no file", "no issue", "twice", "too many"],
)
def test_a_line_that_is_not_true_fails_the_run(
    tmp_path: Path, line: str, says: str, parallel: tuple[str, ...]
) -> None:
    done = run(tmp_path, f"{WRONG}\n{line}", *parallel)
    assert done.returncode != 0
    assert says in done.stdout + done.stderr, done.stdout + done.stderr


def test_a_choice_of_tests_is_no_unknown_line(tmp_path: Path) -> None:
    assert run(tmp_path, WRONG, "-k", "right").returncode == 0


def test_the_list_of_this_project_can_be_read() -> None:
    assert len(known_red.read_known_failures(ROOT / known_red.FILE_NAME)) <= known_red.MAX_ENTRIES
