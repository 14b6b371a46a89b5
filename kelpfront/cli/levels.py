"""Commands about levels of reduced service, and a placer's status at a glance.

When a placer changes its level is left to `kelpfront.degradation`.
"""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import click

from kelpfront.api.meta import JOBS, LEVELS, MACHINES, Object
from kelpfront.cli.common import console, output_option, plain_table, print_objects, run, server_option
from kelpfront.client import Client
from kelpfront.degradation import Level
from kelpfront.units import format_duration, parse_duration

LEVEL_NAMES = [level.api_name for level in Level]


async def _level(client: Client) -> Object:
    """The one level that a placer serves: its own."""
    objects, _ = await client.list_objects(LEVELS, None, "", "")
    if not objects:
        raise click.ClickException("the placer does not tell a level yet")
    return objects[0]


def _print_state(level: Object) -> None:
    status = level["status"]
    out = console()
    style = "green" if status["level"] == "full" else "yellow"
    if status["level"] in ("essential", "holding"):
        style = "red"
    out.print(f"[bold]{level['metadata']['name']}[/]  [{style}]{status['level']}[/]  since {status['since']}")
    out.print(f"  {status['meaning']}")
    out.print(f"  because: {status['why']}")


@click.group()
def levels() -> None:
    """Levels of reduced service: why a placer is at its level, and holding one for a time."""


@levels.command()
@server_option
@output_option
@run
async def explain(server: str, output: str) -> None:
    """Say what is given up now, why, and what would have to change to leave the level."""
    async with Client(server) as client:
        level = await _level(client)
    if output != "table":
        print_objects(output, [level], lambda: plain_table(), one=True)
        return
    _print_state(level)
    status = level["status"]
    out = console()
    for title, key in (
        ("given up", "givenUp"),
        ("to leave it", "leavesWhen"),
        ("over a bound now", "calls"),
    ):
        if lines := status.get(key):
            out.print(f"  {title}:")
            for line in lines:
                out.print(f"    - {line}")
    used = status["changesInHour"]
    limit = status["changesMost"]
    out.print(f"  changes of level in the last hour: {used} of {limit}")
    if status["changes"]:
        table = plain_table("AT", "BEFORE", "AFTER", "WHY")
        for change in status["changes"][-10:]:
            table.add_row(change["at"], change["before"], change["after"], change["why"])
        out.print(table)


@levels.command()
@server_option
@click.argument("level", type=click.Choice(LEVEL_NAMES))
@click.option("--for", "for_", default="10m", show_default=True, help="How long, such as 30m.")
@run
async def pin(server: str, level: str, for_: str) -> None:
    """Hold a level for a time, whatever the placer sees. Each placer is told by itself."""
    try:
        for_ms = parse_duration(for_)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--for") from None
    await _pin(server, {"level": level, "for": format_duration(for_ms)})


@levels.command()
@server_option
@run
async def unpin(server: str) -> None:
    """Take a pin back: the placer goes by what it sees again."""
    await _pin(server, None)


async def _pin(server: str, wanted: Object | None) -> None:
    async with Client(server) as client:
        name = (await _level(client))["metadata"]["name"]
        its = await client.patch(LEVELS, None, name, {"spec": {"pin": wanted}})
    until = its["status"].get("pinnedUntil")
    click.echo(f"level/{name} {its['status']['level']}" + (f", pinned until {until}" if until else ""))


@click.command()
@server_option
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@run
async def status(server: str, as_json: bool) -> None:
    """Show a placer at a glance: its level of service, its machines and its jobs."""
    async with Client(server) as client:
        level = await _level(client)
        machines, _ = await client.list_objects(MACHINES, None, "", "")
        jobs, _ = await client.list_objects(JOBS, None, "", "")
    states: Counter[str] = Counter(machine["status"]["state"] for machine in machines)
    phases: Counter[str] = Counter(job["status"]["phase"] for job in jobs)
    waiting = sum(cls["waiting"] for cls in level["status"]["classes"])
    summary: dict[str, Any] = {
        "placer": level["metadata"]["name"],
        "level": level["status"]["level"],
        "since": level["status"]["since"],
        "why": level["status"]["why"],
        "givenUp": level["status"].get("givenUp", []),
        "machines": dict(states),
        "jobs": dict(phases),
        "tasksWaiting": waiting,
        "turnedAway": level["status"]["turnedAway"],
    }
    if as_json:
        click.echo(json.dumps(summary, indent=2))
        return
    _print_state(level)
    for line in summary["givenUp"]:
        click.echo(f"    - {line}")
    for title, counts in (
        ("machines", states),
        ("jobs", phases),
        ("turned away", summary["turnedAway"]),
    ):
        text = ", ".join(f"{count} {name}" for name, count in sorted(counts.items())) or "none"
        click.echo(f"  {title:<12} {text}")
    click.echo(f"  {'tasks':<12} {waiting} wait for their answer")
