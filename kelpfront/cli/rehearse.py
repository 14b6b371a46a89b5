"""`kelpfront bad-day` and `kelpfront demo`: run a whole cluster on loopback.

`kelpfront.lab` runs the clusters and checks the rules.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from kelpfront.cli.common import console, fail, print_figures, progress_printer, require_lab_packages

MAX_PRINTED_VIOLATIONS = 20  # more would scroll the figures off the screen


@click.command("bad-day")
@click.option("--seed", default=1, show_default=True, help="Seed of the script and of all random numbers.")
@click.option("--placers", default=4, show_default=True)
@click.option("--machines", default=24, show_default=True)
@click.option("--rate", default=40.0, show_default=True, help="Tasks per second.")
@click.option("--seconds", default=40.0, show_default=True, help="How long tasks are submitted, in seconds.")
@click.option(
    "--agents",
    default=0,
    show_default=True,
    help="Number of machines that run a node agent in place of a stand-in.",
)
@click.option(
    "--protocol",
    type=click.Choice(["http", "grpc"]),
    default="http",
    show_default=True,
    help="Protocol between stand-ins and placers.",
)
@click.option("--quiet-day", is_flag=True, help="Inject no faults, for measurements.")
@click.option("--wrong", default="", help="Name of a deliberately faulty placer to run.")
@click.option("--model", "model_text", default="{}", help="Behaviour of the stand-ins, as JSON.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option(
    "--keep", type=click.Path(path_type=Path), help="Keep the recording and the logs in this folder."
)
def bad_day(
    seed: int,
    placers: int,
    machines: int,
    rate: float,
    seconds: float,
    agents: int,
    protocol: str,
    quiet_day: bool,
    wrong: str,
    model_text: str,
    as_json: bool,
    keep: Path | None,
) -> None:
    """Play a scripted day of faults on loopback and check it against the five rules.

    Placers, stand-in machines and owners run as separate processes. The check uses only a recording of the
    messages on the machines' and owners' sockets. Exit code 1 if a rule was broken or a task was left without
    an answer.
    """
    import msgspec

    from kelpfront.lab.badday import play
    from kelpfront.lab.script import DayShape
    from kelpfront.lab.standins import FleetModel
    from kelpfront.lab.wrongplacers import WRONG
    from kelpfront.logs import configure_logs

    require_lab_packages()
    configure_logs("warning", "auto")
    if wrong and wrong not in WRONG:
        fail(f"--wrong: {wrong!r} is not one of {', '.join(WRONG)}")
    shape = DayShape(seed, placers, machines, rate, seconds)
    print_progress = progress_printer(as_json=as_json)

    try:
        model = msgspec.json.decode(model_text, type=FleetModel)
    except msgspec.DecodeError as error:
        fail(f"--model: {error}")
    verdict, figures = asyncio.run(
        play(
            shape,
            keep,
            model,
            quiet=quiet_day,
            say=print_progress,
            agents=agents,
            protocol=protocol,
            wrong=wrong,
        )
    )
    print_figures(figures, as_json=as_json)
    for violation in verdict.violations[:MAX_PRINTED_VIOLATIONS]:
        click.echo(f"{violation.rule}: {violation.text}", err=True)
    if verdict.violations or verdict.without_final or any(figures["exit_codes"]):
        raise SystemExit(1)


@click.command()
@click.option("--keep", is_flag=True, help="Keep the cluster running until Ctrl-C, and print its URL.")
def demo(keep: bool) -> None:
    """Run a small cluster on loopback, submit a job and follow it."""
    from kelpfront.api.meta import JOBS, MACHINES
    from kelpfront.cli.tables import objects_table
    from kelpfront.client import Client
    from kelpfront.lab.demo import run_demo

    async def print_tables(client: Client) -> None:
        for resource in (JOBS, MACHINES):
            objects, _ = await client.list_objects(resource)
            click.echo()
            console().print(objects_table(resource, objects, wide=resource.namespaced))

    try:
        placed = asyncio.run(run_demo(keep, click.echo, print_tables))
    except KeyboardInterrupt:
        return
    if not placed:
        raise SystemExit(1)
