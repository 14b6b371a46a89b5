"""Commands of the laboratory."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import tempfile
from pathlib import Path

import click

from kelpfront.cli.common import fail


@click.group()
def lab() -> None:
    """Experiments on the whole program, with processes on loopback."""


def need_packages() -> None:
    try:
        import hdrh  # noqa: F401
    except ImportError:
        fail("the laboratory needs more packages: pip install 'kelpfront[lab]'")


@lab.command("agent-restarts")
@click.option("--seed", default=1, show_default=True, help="Of all chance.")
@click.option("--restarts", default=50, show_default=True, help="Kills of an agent, over all agents.")
@click.option("--rate", default=40.0, show_default=True, help="Tasks a second.")
@click.option("--seconds", default=60.0, show_default=True, help="How long work comes in.")
@click.option("--agents", default=2, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option("--keep", type=click.Path(path_type=Path), help="Leave what was written in this folder.")
def agent_restarts(
    seed: int, restarts: int, rate: float, seconds: float, agents: int, as_json: bool, keep: Path | None
) -> None:
    """Kill node agents again and again under load, and count from what the tasks themselves wrote.

    Exit code 1 if a task was lost or started twice, or an exit was not told.
    """
    from kelpfront.lab.restarts import Restarts, RestartsShape
    from kelpfront.service.logs import configure_logs

    configure_logs("warning", "auto")
    shape = RestartsShape(seed, restarts, rate, seconds, agents)
    interactive = sys.stderr.isatty() or not as_json

    def say(text: str) -> None:
        if interactive:
            click.echo(text, err=True)

    with contextlib.ExitStack() as stack:
        if keep is None:
            keep = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="kelpfront-agents-")))
        figures = asyncio.run(Restarts(shape, keep, say).run())
    click.echo(json.dumps(figures, indent=None if as_json else 2))
    if any(figures[name] for name in ("lost", "duplicated", "unreported_exits", "violations")):
        raise SystemExit(1)


@lab.command("agent-cost")
@click.option("--tasks", default="0,100,500", show_default=True, help="Numbers of tasks that it holds.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def agent_cost(tasks: str, as_json: bool) -> None:
    """Measure one node agent: starts a second, a durable start, its CPU and memory, its restart."""
    from kelpfront.lab.agentcost import AgentCost

    try:
        counts = [int(text) for text in tasks.split(",")]
    except ValueError:
        fail(f"--tasks: {tasks!r}; whole numbers with commas between are expected")

    def say(text: str) -> None:
        if sys.stderr.isatty() or not as_json:
            click.echo(text, err=True)

    with tempfile.TemporaryDirectory(prefix="kelpfront-agent-cost-") as folder:
        figures = asyncio.run(AgentCost(counts, Path(folder), say).run())
    click.echo(json.dumps(figures, indent=None if as_json else 2))


@click.command("bad-day")
@click.option("--seed", default=1, show_default=True, help="Of the script and of all chance.")
@click.option("--placers", default=4, show_default=True)
@click.option("--machines", default=24, show_default=True)
@click.option("--rate", default=40.0, show_default=True, help="Tasks a second.")
@click.option("--seconds", default=40.0, show_default=True, help="How long work comes in.")
@click.option("--agents", default=0, show_default=True, help="Machines that are node agents, not stand-ins.")
@click.option("--quiet-day", is_flag=True, help="Nothing goes wrong: for measuring.")
@click.option("--model", "model_text", default="{}", help="How the stand-ins behave, as JSON.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Leave the recording and the logs in this folder."
)
def bad_day(
    seed: int,
    placers: int,
    machines: int,
    rate: float,
    seconds: float,
    agents: int,
    quiet_day: bool,
    model_text: str,
    as_json: bool,
    keep: Path | None,
) -> None:
    """Play a scripted bad day on loopback and judge it by the five rules.

    Placers, stand-in machines and owners run as processes of their own. What goes over the sockets on the
    machines' and owners' side is recorded, and judged from that alone. Exit code 1 if a rule was broken or a
    task was left without its answer.
    """
    import msgspec

    from kelpfront.lab.badday import play
    from kelpfront.lab.fleet import FleetModel
    from kelpfront.lab.script import DayShape
    from kelpfront.service.logs import configure_logs

    need_packages()
    configure_logs("warning", "auto")
    shape = DayShape(seed, placers, machines, rate, seconds)
    interactive = sys.stderr.isatty() or not as_json

    def say(text: str) -> None:
        if interactive:
            click.echo(text, err=True)

    try:
        model = msgspec.json.decode(model_text, type=FleetModel)
    except msgspec.DecodeError as error:
        fail(f"--model: {error}")
    verdict, figures = asyncio.run(play(shape, keep, model, quiet=quiet_day, say=say, agents=agents))
    click.echo(json.dumps(figures, indent=None if as_json else 2))
    for violation in verdict.violations[:20]:
        click.echo(f"{violation.rule}: {violation.text}", err=True)
    if verdict.violations or verdict.without_final or any(figures["exit_codes"]):
        raise SystemExit(1)


@click.command()
@click.option("--keep", is_flag=True, help="Leave it up, and print its URL, until Ctrl-C.")
def demo(keep: bool) -> None:
    """Run a small cluster on loopback: a job is placed and followed."""
    from kelpfront.api.meta import JOBS, MACHINES
    from kelpfront.cli.common import console
    from kelpfront.cli.jobs import objects_table
    from kelpfront.client import Client
    from kelpfront.lab.demo import run_demo

    async def show(client: Client) -> None:
        for resource in (JOBS, MACHINES):
            objects, _ = await client.list_objects(resource)
            click.echo()
            console().print(objects_table(resource, objects, wide=resource.namespaced))

    try:
        placed = asyncio.run(run_demo(keep, click.echo, show))
    except KeyboardInterrupt:
        return
    if not placed:
        raise SystemExit(1)
