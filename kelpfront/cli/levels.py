"""Commands for levels of reduced service, and a summary of a placer's status.

`kelpfront.degradation` decides when a placer changes its level.
"""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import click

from kelpfront.api.meta import JOBS, LEVELS, MACHINES, Object
from kelpfront.cli.common import (
    async_command,
    console,
    output_option,
    plain_table,
    print_objects,
    server_option,
)
from kelpfront.client import Client
from kelpfront.degradation import Level
from kelpfront.units import format_duration, parse_duration

LEVEL_NAMES = [level.api_name for level in Level]


async def _read_level(client: Client) -> Object:
    """Return the only level object that a placer serves: its own."""
    objects, _ = await client.list_objects(LEVELS, None, "", "")
    if not objects:
        raise click.ClickException("the placer does not report its level yet")
    return objects[0]


def _print_state(level: Object) -> None:
    status = level["status"]
    out = console()
    style = "green" if status["level"] == "full" else "yellow"
    if status["level"] in ("essential", "holding"):
        style = "red"
    out.print(f"[bold]{level['metadata']['name']}[/]  [{style}]{status['level']}[/]  since {status['since']}")
    out.print(f"  {status['meaning']}")
    out.print(f"  reason: {status['why']}")


@click.group()
def levels() -> None:
    """Explain the level of reduced service of a placer, or pin a level for a time."""


@levels.command()
@server_option
@output_option
@async_command
async def explain(server: str, output: str) -> None:
    """Explain which service is reduced now, why, and what has to change to leave the level."""
    async with Client(server) as client:
        level = await _read_level(client)
    if output != "table":
        print_objects(output, [level], lambda: plain_table(), one=True)
        return
    _print_state(level)
    status = level["status"]
    out = console()
    for title, key in (
        ("reduced", "givenUp"),
        ("left when", "leavesWhen"),
        ("limits exceeded now", "calls"),
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
@click.option("--for", "for_", default="10m", show_default=True, help="Duration, such as 30m.")
@async_command
async def pin(server: str, level: str, for_: str) -> None:
    """Pin this placer to a level for a time, whatever its load; other placers are not affected."""
    try:
        duration_ms = parse_duration(for_)
    except ValueError as error:
        raise click.BadParameter(str(error), param_hint="--for") from None
    await _set_pin(server, {"level": level, "for": format_duration(duration_ms)})


@levels.command()
@server_option
@async_command
async def unpin(server: str) -> None:
    """Remove a pin, so that the placer chooses its level by its load again."""
    await _set_pin(server, None)


async def _set_pin(server: str, pin_spec: Object | None) -> None:
    async with Client(server) as client:
        name = (await _read_level(client))["metadata"]["name"]
        updated = await client.patch(LEVELS, None, name, {"spec": {"pin": pin_spec}})
    until = updated["status"].get("pinnedUntil")
    click.echo(f"level/{name} {updated['status']['level']}" + (f", pinned until {until}" if until else ""))


@click.command()
@server_option
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@async_command
async def status(server: str, as_json: bool) -> None:
    """Show a summary of a placer: its level of service, its machines and its jobs."""
    async with Client(server) as client:
        level = await _read_level(client)
        machines, _ = await client.list_objects(MACHINES, None, "", "")
        jobs, _ = await client.list_objects(JOBS, None, "", "")
    states: Counter[str] = Counter(machine["status"]["state"] for machine in machines)
    phases: Counter[str] = Counter(job["status"]["phase"] for job in jobs)
    waiting = sum(task_class["waiting"] for task_class in level["status"]["classes"])
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
        ("rejected", summary["turnedAway"]),
    ):
        text = ", ".join(f"{count} {name}" for name, count in sorted(counts.items())) or "none"
        click.echo(f"  {title:<12} {text}")
    click.echo(f"  {'tasks':<12} {waiting} waiting for an answer")
