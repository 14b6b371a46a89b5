"""The command line, as a user runs it."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

import pytest
import yaml
from clusters import SETTINGS, cluster
from command_line import ran, run

from kelpfront.cli import wrongserve
from kelpfront.lab.standins import FleetModel
from kelpfront.lab.wrongplacers import NeverStops
from kelpfront.service import placer

WEB = ("--class", "web", "--service", "front", "--cores", "1", "--memory", "2")


async def test_a_job_from_submission_to_deletion() -> None:
    async with cluster(2) as (_, service, _client):
        url = service.url
        done = await ran(
            "submit", *WEB, "--name", "a", "--count", "2", "--label", "team=x", "--wait", url=url
        )
        assert done.code == 0, done.err
        assert "a/0" in done.out and "Placed" in done.out
        assert "a/1: Running" in done.err
        table = await ran("get", "jobs", url=url)
        assert table.out.split()[:3] == ["NAME", "CLASS", "SERVICE"]
        assert "web" in table.out and "Active" in table.out
        one = json.loads((await ran("get", "job", "a", "-o", "json", url=url)).out)
        assert one["metadata"]["labels"] == {"team": "x"}
        listed = yaml.safe_load((await ran("get", "jobs", "-o", "yaml", url=url)).out)
        assert listed["metadata"]["name"] == "a"
        assert (await ran("get", "jobs", "-o", "name", "-l", "team=x", url=url)).out == "job/a\n"
        assert (await ran("get", "jobs", "-o", "name", "-l", "team=y", url=url)).out == ""
        described = await ran("describe", "job", "a", url=url)
        assert "ATTEMPT" in described.out and "Active" in described.out
        assert (await ran("delete", "job", "a", url=url)).out == "job/a deleted\n"
        gone = await ran("get", "job", "a", url=url)
        assert (gone.code, gone.err) == (1, 'NotFound: jobs.kelpfront.dev "a" not found\n')


async def test_exit_codes_tell_how_the_work_was_answered() -> None:
    # Heartbeats so rare that a silent machine still counts as there.
    async with cluster(1, model=FleetModel(heartbeat_ms=20_000.0)) as (its, service, _client):
        vain = (
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
        assert (await ran("submit", *vain, "--wait", url=service.url)).code == 3
        its.fleet.machines["n0"].silence(True)
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
        assert (await ran("submit", *unsafe, "--wait", url=service.url)).code == 4
        wrong = await ran("submit", "--class", "none", url=service.url)
        assert wrong.code == 1 and "spec.service: is required" in wrong.err
        assert (await ran("submit", "--cores", "many", url=service.url)).code == 2
    assert (await ran("get", "jobs", url="http://127.0.0.1:1")).code == 5


async def test_a_job_from_a_file(tmp_path: Path) -> None:
    path = tmp_path / "job.yaml"
    path.write_text(
        "metadata: {name: from-file, namespace: climate}\n"
        "spec: {class: ingest, service: series, cores: 1, memory: 2, key: batch-7}\n"
    )
    async with cluster(2) as (_, service, client):
        done = await ran("submit", "-f", str(path), "--count", "2", "-o", "json", url=service.url)
        assert json.loads(done.out)["spec"]["count"] == 2
        assert (await client.get_job("climate", "from-file")).spec.key == "batch-7"
        path.write_text("[1, 2]")
        assert "a job is a mapping" in (await ran("submit", "-f", str(path), url=service.url)).err
        assert "No such file" in (await ran("submit", "-f", str(tmp_path / "x"), url=service.url)).err


async def test_machines_are_drained_and_watched() -> None:
    async with cluster(2) as (_, service, _client):
        url = service.url
        watching = asyncio.create_task(
            ran("watch", "machines", "n0", "--seconds", "3", "-o", "json", url=url)
        )
        await asyncio.sleep(1.0)
        assert (await ran("drain", "n0", url=url)).out == "machine/n0 Draining\n"
        assert "Draining" in (await ran("get", "machines", url=url)).out
        assert (await ran("undrain", "n0", url=url)).out == "machine/n0 Ready\n"
        events = [json.loads(line) for line in (await watching).out.splitlines()]
        states = [event["object"]["status"]["state"] for event in events]
        assert states[0] == "Ready" and "Draining" in states
        assert (await ran("drain", "none", url=url)).code == 1


def test_files_are_checked_before_use(tmp_path: Path) -> None:
    (tmp_path / "k.ini").write_text(SETTINGS)
    good = run("config", "check", str(tmp_path / "k.ini"))
    assert (good.code, good.out) == (0, f"{tmp_path}/k.ini: 3 classes, 1 kinds: in order\n")
    bad = run("config", "check", str(tmp_path / "k.ini"), "--set", "rules.drain_grace=5")
    assert bad.code == 1 and "command line: [rules] drain_grace" in bad.err
    (tmp_path / "example.ini").write_text(run("config", "example").out)
    assert run("config", "check", str(tmp_path / "example.ini")).code == 0
    (tmp_path / "hosts.csv").write_text("host,kind,rack,room\nn1,small,r1,east\nn2,small,r1,East\n")
    check = run("inventory", "check", str(tmp_path / "hosts.csv"), "-c", str(tmp_path / "k.ini"))
    assert check.code == 1 and "hosts.csv:3:13: n2: room 'East' is spelled 'east' in line 2" in check.err
    (tmp_path / "hosts.csv").write_text("host,kind,rack,room,colour\nn1,small,r1,east,red\n")
    check = run("inventory", "check", str(tmp_path / "hosts.csv"), "-c", str(tmp_path / "k.ini"))
    assert check.code == 0 and "1 machines, 1 racks, 1 rooms: in order" in check.out
    assert "column 'colour' is not used" in check.err


def test_help_names_every_command_and_the_exit_codes() -> None:
    text = run("--help").out
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
        assert run(command, "--help").code == 0
    assert "Exit codes:" in text
    assert run("nothing").code == 2


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion(shell: str) -> None:
    assert "kelpfront" in run("completion", shell).out


@pytest.mark.timeout(180)
def test_a_short_bad_day_keeps_the_rules() -> None:
    """Placers, machines and owners as processes, everything of the script in a few seconds."""
    day = ("--seconds", "8", "--machines", "9", "--placers", "3", "--rate", "12", "--seed", "5")
    done = run("bad-day", *day, "--json")
    assert done.code == 0, done.out + done.err
    figures = json.loads(done.out)
    assert figures["without_final"] == 0
    assert set(figures["violations"].values()) == {0}
    assert figures["tasks"] > 50 and figures["final"]["Placed"] > 30
    assert (
        figures["held_when_killed"] + sum(figures["final"].values()) + figures["withdrawn"]
        == figures["tasks"]
    )


def test_the_demo_places_its_job() -> None:
    done = run("demo")
    assert done.code == 0, done.err
    assert done.out.count("Running n0") == 3


def test_a_wrong_placer_is_planted_where_the_command_takes_it_from(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a plant that changes nothing: the judge would be trusted for what it was not shown."""
    monkeypatch.setattr(placer, "PlacerService", placer.PlacerService)  # put back afterwards
    monkeypatch.setattr(sys, "argv", ["wrongserve", "NeverStops", "serve"])
    monkeypatch.setattr(wrongserve, "main", lambda: None)
    wrongserve.serve()
    from kelpfront.service.placer import PlacerService  # as cli/serve.py does when it is called

    planted: Any = PlacerService
    assert planted.keywords["controller_class"] is NeverStops
