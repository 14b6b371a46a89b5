"""`kelpfront agent`: runs the node agent, and controls the agent that runs on this host."""

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

from kelpfront.cli.common import EXIT_UNREACHABLE, console, fail, plain_table, set_option
from kelpfront.config import ConfigError
from kelpfront.config.agent import AgentConfig, agent_example, read_agent_config
from kelpfront.http.client import HttpConnection, HttpError
from kelpfront.units import format_duration, format_size

CALL_TIMEOUT_S = 10.0

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
    """Run a node agent, which starts tasks as processes on this host, or query or drain a running agent."""


def load_agent_config(path: Path, overrides: tuple[str, ...]) -> AgentConfig:
    try:
        return read_agent_config(path, overrides)
    except ConfigError as error:
        fail(str(error))


@agent.command()
@agent_config_option
@set_option
def serve(config_path: Path, overrides: tuple[str, ...]) -> None:
    """Run the agent until SIGTERM or Ctrl-C. Its tasks continue to run, and the next agent adopts them.

    Prints a line with its URL to standard output and logs to standard error.
    """
    from kelpfront.agent.errors import AgentError
    from kelpfront.agent.service import AgentService
    from kelpfront.logs import configure_logs

    config = load_agent_config(config_path, overrides)
    configure_logs(config.log.level, config.log.format, machine=config.agent.name)

    async def run() -> None:
        stop = asyncio.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(signal_number, stop.set)
        service = AgentService(config)
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
    """Check an agent's settings file: print every problem with its position and the allowed values."""
    config = load_agent_config(file, overrides)
    click.echo(f"{file}: machine {config.agent.name}, {config.agent.room}/{config.agent.rack}: valid")


@agent.command()
def example() -> None:
    """Print an example of an agent's settings file: every key with default, bounds and meaning."""
    click.echo(agent_example(), nl=False)


@agent.command()
@agent_config_option
@set_option
@json_option
def status(config_path: Path, overrides: tuple[str, ...], as_json: bool) -> None:
    """Show the state of the agent on this host, and what it found when it started."""
    details = _call(load_agent_config(config_path, overrides), "GET", "/v1/agent")
    if as_json:
        click.echo(json.dumps(details, indent=2))
        return
    node_load = details["load"]
    lines = {
        "machine": f"{details['name']} ({details['kind']}, {details['room']}/{details['rack']})",
        "state": f"{details['state']}, start rate {details['warm']:.0%}",
        "pid, boot": f"{details['pid']}, {details['boot']}",
        "tasks": ", ".join(f"{count} {phase}" for phase, count in details["tasks"].items()) or "none",
        "not requested": f"{node_load['free_cores']:g} cores, {node_load['free_memory']:g} memory",
        "unused": f"{node_load['unused_cores']:g} cores, {node_load['unused_memory']:g} memory",
        "placers": ", ".join(details["placers"]) or "none connected",
        "found at start": ", ".join(f"{count} {outcome}" for outcome, count in details["found"].items())
        or "nothing",
        "ready after": f"{details['readyMs']:g} ms",
        "usage sampled": f"every {details['sampling']['periodMs']:g} ms, "
        f"{details['sampling']['lastMs']:g} ms each",
        "orphans": f"{details['orphaned']} stopped; "
        f"after {format_duration(details['orphansAfterMs'] or 0)} without placer",
    }
    for name, text in lines.items():
        click.echo(f"{name:<15} {text}")


@agent.command()
@agent_config_option
@set_option
@json_option
def ps(config_path: Path, overrides: tuple[str, ...], as_json: bool) -> None:
    """List the tasks of the agent on this host, with the resources that they use."""
    tasks = _call(load_agent_config(config_path, overrides), "GET", "/v1/tasks")
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
    """Make the agent on this host refuse new tasks and evict its own, until `undrain`."""
    _set_draining(load_agent_config(config_path, overrides), True)


@agent.command()
@agent_config_option
@set_option
def undrain(config_path: Path, overrides: tuple[str, ...]) -> None:
    """End the drain of the agent on this host."""
    _set_draining(load_agent_config(config_path, overrides), False)


def _set_draining(config: AgentConfig, on: bool) -> None:
    answer = _call(config, "POST", "/v1/drain", msgspec.json.encode({"on": on}))
    click.echo("draining" if answer["draining"] else "ready")


def _call(config: AgentConfig, method: str, path: str, body: bytes = b"") -> Any:
    address_file = Path(config.agent.state) / "agent.json"
    try:
        address = urlsplit(json.loads(address_file.read_text())["url"])
    except (OSError, ValueError, KeyError):
        fail(f"{address_file}: no agent has been started with this state folder", EXIT_UNREACHABLE)

    async def call() -> Any:
        async with asyncio.timeout(CALL_TIMEOUT_S):
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
        fail(f"the agent could not be reached: {error or 'no response'}", EXIT_UNREACHABLE)
