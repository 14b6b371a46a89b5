"""Settings of a node agent: required keys, and how relative paths are resolved."""

from __future__ import annotations

from pathlib import Path

import pytest

from kelpfront.config import ConfigError
from kelpfront.config.agent import agent_example, parse_agent_config, read_agent_config

MINIMAL_CONFIG = """
[agent]
name = n17
kind = small
rack = rack-a1
room = hall-a
"""


def test_example_equals_the_minimal_settings() -> None:
    assert parse_agent_config(agent_example(), "example") == parse_agent_config(MINIMAL_CONFIG, "minimal")


def test_error_for_a_missing_agent_section_lists_its_required_keys() -> None:
    with pytest.raises(ConfigError) as error:
        parse_agent_config("[log]\nlevel = debug\n", "a.ini")

    (problem,) = error.value.problems
    assert str(problem) == "a.ini: no [agent] section; its required keys are name, kind, rack, room"


def test_relative_paths_are_resolved_against_the_folder_of_the_file(tmp_path: Path) -> None:
    path = tmp_path / "agent.ini"
    path.write_text(MINIMAL_CONFIG + "copies = shared\nstate = own\n")

    agent = read_agent_config(path).agent

    assert agent.state == str(tmp_path / "own")
    assert agent.copies == str(tmp_path / "shared")


def test_shared_folder_is_none_if_the_file_has_none(tmp_path: Path) -> None:
    path = tmp_path / "agent.ini"
    path.write_text(MINIMAL_CONFIG)

    assert read_agent_config(path).agent.copies is None
