"""Reading settings: all problems of a file are reported at once, with position and allowed values."""

from __future__ import annotations

from pathlib import Path

import pytest
from minimal_config import MINIMAL_CONFIG

from kelpfront.config import ConfigError, read_config
from kelpfront.config.reader import parse_config


def problems_of(text: str, *overrides: str) -> list[str]:
    with pytest.raises(ConfigError) as error:
        parse_config(text, "k.ini", overrides)
    return [str(problem) for problem in error.value.problems]


@pytest.mark.parametrize(
    ("added_text", "expected"),
    [
        ("[rules]\ndrain_grace = 500", "k.ini:10: [rules] drain_grace: '500' is not a duration"),
        ("[rules]\ndrain_grace = 500 ns", "allowed: a duration from 0s to 60s"),
        ("[rules]\ndrain_grace = 2 h", "'2 h' is out of range"),
        (
            "[rules]\ndrian_grace = 1 s",
            "[rules] drian_grace: unknown key; allowed: answer_grace, drain_grace",
        ),
        ("[ruels]\nx = 1", "k.ini:9: [ruels]: unknown section; allowed: [placer], [cluster], [rules]"),
        ("[cluster]\nplacers = 1.5", "'1.5' is not a whole number; allowed: a whole number from 1 to 10000"),
        ("[cluster]\nmax_attempts = 5", "'5' is out of range; allowed: a whole number from 1 to 4"),
        ("[cluster]\npushes_out = maybe", "neither yes nor no; allowed: yes or no"),
        ("[cluster]\nrooms = a, , b", "contains an empty or a repeated name"),
        ("[cluster]\nanswer = soon", "unknown value 'soon'; allowed: running, accepted"),
        ("[limits]\nbody = 5", "a whole number and a unit"),
        ("[placer]\nlisten = 127.0.0.1", "is not HOST:PORT"),
        ("[placer]\nnumber = 3", "[placer] number: 3 is too large for 1 placers"),
        ("[kind big]\ncores = 8", "[kind big] memory: is missing; allowed: a number from"),
        ("[class a]\neffect = keyed\naim = 1s\ndeadline = 1s", "group and window: are required"),
        ("[class a]\neffect = safe\nwindow = 1s\naim = 1s\ndeadline = 1s", "allowed only if"),
        ("[class a]\neffect = safe\nneeds_kind = huge\naim = 1s\ndeadline = 1s", "unknown kind 'huge'"),
        ("[rules]\ncold_from = nan", "'nan' is out of range"),
        ("[kind small]\ncores = 1\nmemory = 1", "k.ini:9: [kind small]: is defined twice"),
        ("deadline = 6 s", "k.ini:9: [class web] deadline: is defined twice"),
        ("what is this", "k.ini:9: expected KEY = VALUE or [SECTION]"),
    ],
)
def test_problem_states_its_position_and_the_allowed_values(added_text: str, expected: str) -> None:
    problems = problems_of(MINIMAL_CONFIG + added_text + "\n")

    assert any(expected in problem for problem in problems), problems


def test_all_problems_of_the_file_and_of_overrides_are_reported_at_once() -> None:
    text = MINIMAL_CONFIG + "[rules]\ndrain_grace = 5\ncold_from = 7\n[other]\n"

    problems = problems_of(text, "rules.cold_for=forever", "nonsense", "placer.colour=red")

    assert len(problems) == 6
    assert sum(problem.startswith("command line") for problem in problems) == 3


def test_override_replaces_the_value_of_the_file() -> None:
    config = parse_config(MINIMAL_CONFIG, "k.ini", ["class web.deadline=2s", " cluster . placers = 3 "])

    assert config.classes["web"].deadline == 2000.0
    assert config.cluster.placers == 3


def test_problem_of_an_override_has_no_line_number() -> None:
    problems = problems_of(MINIMAL_CONFIG, "class web.deadline=5")

    assert problems == [
        "command line: [class web] deadline: '5' is not a duration: a number and a unit: "
        "us, ms, s, m, min, h; allowed: a duration from 10ms to 1h"
    ]


def test_file_needs_at_least_one_kind_and_one_class() -> None:
    problems = [problem.split(": ", 1)[1] for problem in problems_of("")]

    assert problems == [
        "no [kind NAME] section; at least one is required",
        "no [class NAME] section; at least one is required",
    ]


def test_key_before_the_first_section_is_reported() -> None:
    assert "expected a [section]" in problems_of("x = 1\n")[0]


def test_missing_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match="No such file"):
        read_config(tmp_path / "none.ini")


def test_file_that_is_not_utf_8_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "latin.ini"
    path.write_bytes(b"[placer]\nname = caf\xe9\n")

    with pytest.raises(ConfigError, match="is not UTF-8"):
        read_config(path)


def test_file_with_byte_order_mark_and_windows_line_ends_is_read(tmp_path: Path) -> None:
    path = tmp_path / "bom.ini"
    path.write_bytes(b"\xef\xbb\xbf" + MINIMAL_CONFIG.replace("\n", "\r\n").encode())

    assert read_config(path).classes["web"].deadline == 5000.0
