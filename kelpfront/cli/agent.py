"""`kelpfront agent`: the node agent, and commands to the one on this host."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import click
import msgspec

from kelpfront.cli.common import UNREACHABLE, console, fail, plain_table, set_option
from kelpfront.config import ConfigError
from kelpfront.config.agent import AgentConfig, agent_example, read_agent_config
from kelpfront.http.client import HttpConnection, HttpError
from kelpfront.units import format_duration, format_size

CALL_S = 10.0

agent_config_option = click.option(
    "-c",
    "--config",
    "config_path",
    type=click.Path(path_type=Path),
    default="agent.ini",
    show_default=True,
    help="The agent's settings file; `kelpfront agent example` prints one.",
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group()
def agent() -> None:
    """Run a node agent, which starts tasks as processes of this host; ask or drain the one that runs."""


def load(path: Path, overrides: tuple[str, ...]) -> AgentConfig:
    try:
        return read_agent_config(path, overrides)
    except ConfigError as error:
        fail(str(error))


@agent.command()
@agent_config_option
@set_option
def serve(config_path: Path, overrides: tuple[str, ...]) -> None:
    """Run the agent until SIGTERM or Ctrl-C. Its tasks run on, and the next agent knows them.

    The line with its URL goes to standard output, the log to standard error.
    """
    from kelpfront.agent.errors import AgentError
    from kelpfront.agent.service import AgentService
    from kelpfront.logs import configure_logs

    its = load(config_path, overrides)
    configure_logs(its.log.level, its.log.format, machine=its.agent.name)

    async def run() -> None:
        stop = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, stop.set)
        service = AgentService(its)
        await service.start()
        click.echo(json.dumps({"url": service.url, "readyMs": round(service.ready_ms, 1)}))
        sys.stdout.flush()
        await stop.wait()
        await service.close()

    try:
        asyncio.run(run())
    except AgentError as error:
        fail(str(error))


@agent.command()
@click.argument("file", type=click.Path(path_type=Path))
@set_option
def check(file: Path, overrides: tuple[str, ...]) -> None:
    """Check an agent's settings file: every mistake with its place and what is allowed."""
    its = load(file, overrides)
    click.echo(f"{file}: machine {its.agent.name}, {its.agent.room}/{its.agent.rack}: in order")


@agent.command()
def example() -> None:
    """Print an agent's settings file with every key, its default, what is allowed and what it means."""
    click.echo(agent_example(), nl=False)


@agent.command()
@agent_config_option
@set_option
@json_option
def status(config_path: Path, overrides: tuple[str, ...], as_json: bool) -> None:
    """Show what the agent on this host holds, and what it found when it started."""
    shown = _call(load(config_path, overrides), "GET", "/v1/agent")
    if as_json:
        click.echo(json.dumps(shown, indent=2))
        return
    load_ = shown["load"]
    lines = {
        "machine": f"{shown['name']} ({shown['kind']}, {shown['room']}/{shown['rack']})",
        "state": f"{shown['state']}, pace of starts {shown['warm']:.0%}",
        "pid, boot": f"{shown['pid']}, {shown['boot']}",
        "tasks": ", ".join(f"{count} {phase}" for phase, count in shown["tasks"].items()) or "none",
        "not asked for": f"{load_['free_cores']:g} cores, {load_['free_memory']:g} memory",
        "not in use": f"{load_['unused_cores']:g} cores, {load_['unused_memory']:g} memory",
        "placers": ", ".join(shown["placers"]) or "none connected",
        "found at start": ", ".join(f"{n} {fate}" for fate, n in shown["found"].items()) or "nothing",
        "ready after": f"{shown['readyMs']:g} ms",
        "use sampled": f"every {shown['sampling']['periodMs']:g} ms, {shown['sampling']['lastMs']:g} ms each",
        "orphans": f"{shown['orphaned']} stopped; after {format_duration(shown['orphansAfterMs'] or 0)} away",
    }
    for name, text in lines.items():
        click.echo(f"{name:<15} {text}")


@agent.command()
@agent_config_option
@set_option
@json_option
def ps(config_path: Path, overrides: tuple[str, ...], as_json: bool) -> None:
    """List the tasks that the agent on this host holds, with what they use."""
    tasks = _call(load(config_path, overrides), "GET", "/v1/tasks")
    if as_json:
        click.echo(json.dumps(tasks, indent=2))
        return
    table = plain_table("JOB", "TASK", "ATTEMPT", "STATE", "PLACER", "CORES", "MEMORY", "CPU S", "SUPERVISOR")
    for task in tasks:
        memory = task["memoryBytes"]
        table.add_row(
            task["job"],
            str(task["index"]),
            str(task["attempt"]),
            task["phase"],
            task["placer"],
            "" if task["cores"] is None else f"{task['cores']:.2f}",
            "" if memory is None else format_size(memory >> 10 << 10),
            "" if task["cpuSeconds"] is None else f"{task['cpuSeconds']:.2f}",
            str(task["supervisor"] or ""),
        )
    console().print(table)


@agent.command()
@agent_config_option
@set_option
def drain(config_path: Path, overrides: tuple[str, ...]) -> None:
    """Have the agent on this host take nothing new and send its tasks away, until `undrain`."""
    _drain(load(config_path, overrides), True)


@agent.command()
@agent_config_option
@set_option
def undrain(config_path: Path, overrides: tuple[str, ...]) -> None:
    """Take a drain of the agent on this host back."""
    _drain(load(config_path, overrides), False)


def _drain(its: AgentConfig, on: bool) -> None:
    answer = _call(its, "POST", "/v1/drain", msgspec.json.encode({"on": on}))
    click.echo("draining" if answer["draining"] else "ready")


def _call(its: AgentConfig, method: str, path: str, body: bytes = b"") -> Any:
    place = Path(its.agent.state) / "agent.json"
    try:
        address = urlsplit(json.loads(place.read_text())["url"])
    except (OSError, ValueError, KeyError):
        fail(f"{place}: no agent has run with this state folder", UNREACHABLE)

    async def call() -> Any:
        async with asyncio.timeout(CALL_S):
            connection = await HttpConnection.open(address.hostname or "", address.port or 0)
            try:
                reply = await connection.request(method, path, body)
            finally:
                connection.abort()
        answer = msgspec.json.decode(reply.body)
        if reply.status >= 400:
            fail(str(answer.get("error", reply.status)))
        return answer

    try:
        return asyncio.run(call())
    except (HttpError, TimeoutError, msgspec.DecodeError) as error:
        fail(f"the agent could not be reached: {error or 'no answer'}", UNREACHABLE)
