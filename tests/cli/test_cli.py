"""The command line as a user runs it: each command in its own process."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import pytest
import yaml
from clusters import SETTINGS, cluster
from command_line import run_command, run_command_async

from kelpfront.cli import wrongserve
from kelpfront.lab.standins import FleetModel
from kelpfront.lab.wrongplacers import NeverStops
from kelpfront.service import placer

WEB = ("--class", "web", "--service", "front", "--cores", "1", "--memory", "2")


async def test_job_is_submitted_shown_and_deleted() -> None:
    async with cluster(2) as (_, service, _client):
        url = service.url
        result = await run_command_async(
            "submit", *WEB, "--name", "a", "--count", "2", "--label", "team=x", "--wait", url=url
        )
        assert result.exit_code == 0, result.stderr
        assert "a/0" in result.stdout
        assert "Placed" in result.stdout
        assert "a/1: Running" in result.stderr
        table = await run_command_async("get", "jobs", url=url)
        assert table.stdout.split()[:3] == ["NAME", "CLASS", "SERVICE"]
        assert "web" in table.stdout
        assert "Active" in table.stdout
        one = json.loads((await run_command_async("get", "job", "a", "-o", "json", url=url)).stdout)
        assert one["metadata"]["labels"] == {"team": "x"}
        listed = yaml.safe_load((await run_command_async("get", "jobs", "-o", "yaml", url=url)).stdout)
        assert listed["metadata"]["name"] == "a"
        assert (
            await run_command_async("get", "jobs", "-o", "name", "-l", "team=x", url=url)
        ).stdout == "job/a\n"
        assert (await run_command_async("get", "jobs", "-o", "name", "-l", "team=y", url=url)).stdout == ""
        described = await run_command_async("describe", "job", "a", url=url)
        assert "ATTEMPT" in described.stdout
        assert "Active" in described.stdout
        assert (await run_command_async("delete", "job", "a", url=url)).stdout == "job/a deleted\n"
        gone = await run_command_async("get", "job", "a", url=url)
        assert (gone.exit_code, gone.stderr) == (1, 'NotFound: jobs.kelpfront.dev "a" not found\n')


async def test_exit_code_of_submit_depends_on_the_answers() -> None:
    # Heartbeats are so rare that a silent machine still counts as ready.
    async with cluster(1, model=FleetModel(heartbeat_ms=20_000.0)) as (machines, service, _client):
        too_large = (
            "--class",
            "web",
            "--service",
            "front",
            "--cores",
            "1000",
            "--memory",
            "2",
            "--patience",
            "300ms",
        )
        assert (await run_command_async("submit", *too_large, "--wait", url=service.url)).exit_code == 3
        machines.fleet.machines["n0"].silence(on=True)
        unsafe = (
            "--class",
            "blend",
            "--service",
            "f",
            "--cores",
            "1",
            "--memory",
            "2",
            "--patience",
            "500ms",
        )
        assert (await run_command_async("submit", *unsafe, "--wait", url=service.url)).exit_code == 4
        wrong = await run_command_async("submit", "--class", "none", url=service.url)
        assert wrong.exit_code == 1
        assert "spec.service: is required" in wrong.stderr
        assert (await run_command_async("submit", "--cores", "many", url=service.url)).exit_code == 2
    assert (await run_command_async("get", "jobs", url="http://127.0.0.1:1")).exit_code == 5


async def test_job_is_submitted_from_a_file(tmp_path: Path) -> None:
    path = tmp_path / "job.yaml"
    path.write_text(
        "metadata: {name: from-file, namespace: climate}\n"
        "spec: {class: ingest, service: series, cores: 1, memory: 2, key: batch-7}\n"
    )
    async with cluster(2) as (_, service, client):
        result = await run_command_async(
            "submit", "-f", str(path), "--count", "2", "-o", "json", url=service.url
        )
        assert json.loads(result.stdout)["spec"]["count"] == 2
        assert (await client.get_job("climate", "from-file")).spec.key == "batch-7"
        path.write_text("[1, 2]")
        assert (
            "a job is a mapping"
            in (await run_command_async("submit", "-f", str(path), url=service.url)).stderr
        )
        assert (
            "No such file"
            in (await run_command_async("submit", "-f", str(tmp_path / "x"), url=service.url)).stderr
        )


async def test_watch_shows_that_a_machine_is_drained() -> None:
    async with cluster(2) as (_, service, _client):
        url = service.url
        watching = asyncio.create_task(
            run_command_async("watch", "machines", "n0", "--seconds", "3", "-o", "json", url=url)
        )
        await asyncio.sleep(1.0)
        assert (await run_command_async("drain", "n0", url=url)).stdout == "machine/n0 Draining\n"
        assert "Draining" in (await run_command_async("get", "machines", url=url)).stdout
        assert (await run_command_async("undrain", "n0", url=url)).stdout == "machine/n0 Ready\n"
        events = [json.loads(line) for line in (await watching).stdout.splitlines()]
        states = [event["object"]["status"]["state"] for event in events]
        assert states[0] == "Ready"
        assert "Draining" in states
        assert (await run_command_async("drain", "none", url=url)).exit_code == 1


def test_settings_and_inventory_are_checked(tmp_path: Path) -> None:
    (tmp_path / "k.ini").write_text(SETTINGS)
    good = run_command("config", "check", str(tmp_path / "k.ini"))
    assert (good.exit_code, good.stdout) == (0, f"{tmp_path}/k.ini: 3 classes, 1 kinds: valid\n")
    bad = run_command("config", "check", str(tmp_path / "k.ini"), "--set", "rules.drain_grace=5")
    assert bad.exit_code == 1
    assert "command line: [rules] drain_grace" in bad.stderr
    (tmp_path / "example.ini").write_text(run_command("config", "example").stdout)
    assert run_command("config", "check", str(tmp_path / "example.ini")).exit_code == 0
    (tmp_path / "hosts.csv").write_text("host,kind,rack,room\nn1,small,r1,east\nn2,small,r1,East\n")
    check = run_command("inventory", "check", str(tmp_path / "hosts.csv"), "-c", str(tmp_path / "k.ini"))
    assert check.exit_code == 1
    assert "hosts.csv:3:13: n2: room 'East' is spelled 'east' in line 2" in check.stderr
    (tmp_path / "hosts.csv").write_text("host,kind,rack,room,colour\nn1,small,r1,east,red\n")
    check = run_command("inventory", "check", str(tmp_path / "hosts.csv"), "-c", str(tmp_path / "k.ini"))
    assert check.exit_code == 0
    assert "1 machines, 1 racks, 1 rooms: valid" in check.stdout
    assert "column 'colour' is not used" in check.stderr


def test_help_has_commands_and_exit_codes() -> None:
    text = run_command("--help").stdout
    for command in (
        "serve",
        "machines",
        "submit",
        "get",
        "watch",
        "drain",
        "inventory",
        "config",
        "bad-day",
        "demo",
    ):
        assert f"  {command} " in text
        assert run_command(command, "--help").exit_code == 0
    assert "Exit codes:" in text
    assert run_command("nothing").exit_code == 2


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion_script_is_printed(shell: str) -> None:
    assert "kelpfront" in run_command("completion", shell).stdout


@pytest.mark.timeout(180)
def test_short_bad_day_breaks_no_rule() -> None:
    """Placers, machines and owners run as processes; the whole script takes a few seconds."""
    day = ("--seconds", "8", "--machines", "9", "--placers", "3", "--rate", "12", "--seed", "5")
    result = run_command("bad-day", *day, "--json")
    assert result.exit_code == 0, result.stdout + result.stderr
    figures = json.loads(result.stdout)
    assert figures["without_final"] == 0
    assert set(figures["violations"].values()) == {0}
    assert figures["tasks"] > 50
    assert figures["final"]["Placed"] > 30
    assert (
        figures["held_when_killed"] + sum(figures["final"].values()) + figures["withdrawn"]
        == figures["tasks"]
    )


def test_demo_places_its_job() -> None:
    result = run_command("demo")
    assert result.exit_code == 0, result.stderr
    assert result.stdout.count("Running n0") == 3


def test_wrongserve_replaces_the_controller_that_the_serve_command_uses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """If the replacement had no effect, tests of the checker would run without the fault that they expect."""
    monkeypatch.setattr(placer, "PlacerService", placer.PlacerService)  # restored after the test
    monkeypatch.setattr(sys, "argv", ["wrongserve", "NeverStops", "serve"])
    monkeypatch.setattr(wrongserve, "main", lambda: None)
    wrongserve.serve()
    from kelpfront.service.placer import PlacerService  # as cli/serve.py does when it is called

    service_class: Any = PlacerService
    assert service_class.keywords["controller_class"] is NeverStops
