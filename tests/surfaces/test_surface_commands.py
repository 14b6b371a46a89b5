"""Commands with their arguments and options, programs run by `python -m`, and the library's public names.

Help texts are not compared, except those that describe a default that depends on the machine.
`tests/cli/test_cli.py` checks that help lists the commands. `surface_samples` explains how to rewrite the
golden files.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest
from clusters import cluster
from surface_golden import golden
from surface_published import machine_dependent_defaults, printed_addresses
from surface_samples import SAMPLES

SURFACES = Path(__file__).parent
OPTIONS_BY_CORES = {
    "lab levels --processes": "one a core",
    "lab experiment --processes": "one a core",
    "lab search --processes": "one a core",
    "lab load --workers": "4, or the cores",
}


def test_commands_and_options_match_the_golden_file() -> None:
    assert SAMPLES["commands.json"]() == golden("commands.json")


def test_machine_dependent_defaults_follow_the_number_of_cores() -> None:
    assert machine_dependent_defaults() == defaults_by_cores(os.cpu_count() or 1)


@pytest.mark.parametrize("cores", [1, 3, 10, 64])
def test_commands_match_the_golden_file_for_other_numbers_of_cores(cores: int) -> None:
    output = subprocess.run(
        [sys.executable, SURFACES / "surface_commands.py", str(cores)],
        env=os.environ | {"PYTHONPATH": f"{SURFACES}{os.pathsep}{SURFACES.parent}"},
        cwd=SURFACES.parent.parent,
        capture_output=True,
        timeout=60,
        check=True,
    ).stdout
    defaults, commands = output.split(b"\n", maxsplit=1)
    assert commands == golden("commands.json")
    assert json.loads(defaults) == {name: list(row) for name, row in defaults_by_cores(cores).items()}


def defaults_by_cores(cores: int) -> dict[str, tuple[str, int]]:
    values = {"one a core": cores, "4, or the cores": min(4, cores)}
    return {option: (described, values[described]) for option, described in OPTIONS_BY_CORES.items()}


@pytest.mark.parametrize(
    ("module", "message"),
    [
        (
            "kelpfront.platform",
            "kelpfront.platform: LB_CONFIG must be set to the path of the configuration file\n",
        ),
        ("kelpfront.watch", "usage: python -m kelpfront.watch FILE\n"),
    ],
)
def test_program_without_its_file_reports_what_is_missing(module: str, message: str) -> None:
    environment = {key: value for key, value in os.environ.items() if key != "LB_CONFIG"}
    completed = subprocess.run(
        [sys.executable, "-m", module], env=environment, capture_output=True, text=True, timeout=60
    )
    assert (completed.returncode, completed.stdout, completed.stderr) == (2, "", message)


def test_platform_placer_takes_its_file_from_the_environment() -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "kelpfront.platform"],
        env=os.environ | {"LB_CONFIG": "no-such-file.json"},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert (completed.returncode, completed.stdout) == (2, "")
    assert completed.stderr == "kelpfront.platform: no-such-file.json: No such file or directory\n"


async def test_running_placer_prints_its_addresses() -> None:
    async with cluster(1) as (_, service, _client):
        assert printed_addresses(service) == {"url": f"http://127.0.0.1:{service.http.port}"}


def test_library_exports_its_scheduler() -> None:
    import kelpfront
    from kelpfront import Scheduler

    assert kelpfront.__all__ == ["Scheduler"]
    assert kelpfront.Scheduler is Scheduler
