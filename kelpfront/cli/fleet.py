"""`kelpfront lab fleet`: experiments with many placers as processes, and their load on shared services.

`kelpfront.lab.fleet` runs and measures the experiments.
"""

from __future__ import annotations

import asyncio

import click

from kelpfront.cli.common import print_figures, progress_printer
from kelpfront.cli.scale import scale


@click.group("fleet")
def fleet() -> None:
    """Run experiments with many placers as processes on loopback."""


fleet.add_command(scale)


@fleet.command("cold-start")
@click.option("--placers", default=16, show_default=True, type=click.IntRange(1, 300))
@click.option("--machines", default=40, show_default=True, type=click.IntRange(1, 5_000))
@click.option(
    "--rate", default=20.0, show_default=True, help="Requests per second that the list service can handle."
)
@click.option("--up-after", default=0.0, show_default=True, help="Seconds until the list service starts.")
@click.option(
    "--down-at",
    default=-1.0,
    help="Seconds after its start at which the list service goes down for 2 s; -1: never.",
)
@click.option(
    "--with-file", default=0.5, show_default=True, help="Share of the placers that have the list in a file."
)
@click.option("--longest", default=60.0, show_default=True, help="Maximum duration of the run in seconds.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def cold_start(
    placers: int,
    machines: int,
    rate: float,
    up_after: float,
    down_at: float,
    with_file: float,
    longest: float,
    as_json: bool,
) -> None:
    """Start all placers at once, count requests to the list service and measure when each placer is ready.

    Exit code 1 if a placer died, did not become ready or did not receive the list.
    """
    from kelpfront.lab.fleet.coldstart import ColdStart
    from kelpfront.lab.fleet.coldstart import cold_start as run_cold_start

    shape = ColdStart(placers, machines, rate, up_after, down_at, 2.0, with_file, longest)

    print_progress = progress_printer(as_json=as_json)

    figures = asyncio.run(run_cold_start(shape, print_progress))
    print_figures(figures, as_json=as_json)
    if figures["died"] or None in (figures["ready_s"]["100%"], figures["told_s"]["100%"]):
        raise SystemExit(1)


@fleet.command("restart")
@click.option("--placers", default=10, show_default=True, type=click.IntRange(1, 64))
@click.option("--machines", default=1_100, show_default=True, type=click.IntRange(1, 5_000))
@click.option("--tasks", default=22_000, show_default=True, type=click.IntRange(0, 200_000))
@click.option("--killed", default=0.9, show_default=True, help="Share of the placers that are killed.")
@click.option("--outage", is_flag=True, help="Keep the list service down while the placers restart.")
@click.option(
    "--sockets",
    default=2_048,
    show_default=True,
    type=click.IntRange(64),
    help="Limit on the sockets of each placer.",
)
@click.option(
    "--memory-mb",
    default=192,
    show_default=True,
    type=click.IntRange(1),
    help="Memory limit of each placer in MB.",
)
@click.option(
    "--share",
    default=0.25,
    show_default=True,
    help="Share of a core per placer, to estimate the time to ready.",
)
@click.option("--longest", default=60.0, show_default=True, help="Timeout of the run in seconds.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def restart(
    placers: int,
    machines: int,
    tasks: int,
    killed: float,
    outage: bool,
    sockets: int,
    memory_mb: int,
    share: float,
    longest: float,
    as_json: bool,
) -> None:
    """Kill most placers (--killed), restart them and measure the time to ready and the cost of each start.

    Exit code 1 if a placer died or a task that was handed over was not adopted.
    """
    from kelpfront.lab.fleet.restart import Restart
    from kelpfront.lab.fleet.restart import restart as run_restart

    shape = Restart(placers, machines, tasks, killed, outage, sockets, memory_mb, share, longest)

    print_progress = progress_printer(as_json=as_json)

    figures = asyncio.run(run_restart(shape, print_progress))
    print_figures(figures, as_json=as_json)
    if figures["died"] or figures["found"] != figures["handed_over"]:
        raise SystemExit(1)


@fleet.command("leavers")
@click.option("--placers", default=16, show_default=True, type=click.IntRange(1, 64))
@click.option("--machines", default=60, show_default=True, type=click.IntRange(2, 300))
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(1.0, 600.0))
@click.option("--rate", default=20.0, show_default=True, help="Requests per second to each placer.")
@click.option("--leave", default=0.6, show_default=True, type=click.FloatRange(0.0, 1.0))
@click.option(
    "--stops",
    default=2.0,
    show_default=True,
    help="Pauses of a placer for 0.4 s, per second, over all placers.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def leavers(
    placers: int,
    machines: int,
    seconds: float,
    rate: float,
    leave: float,
    stops: float,
    seed: int,
    as_json: bool,
) -> None:
    """Measure how long after its owner disconnected an attempt can still begin.

    Exit code 1 if a placer died, or an attempt began more than 100 ms after its owner had disconnected.
    """
    from kelpfront.lab.fleet.leavers import Leavers
    from kelpfront.lab.fleet.leavers import leavers as run_leavers

    shape = Leavers(placers, machines, seconds, rate, leave, stops, seed)
    figures = asyncio.run(run_leavers(shape, lambda text: click.echo(text, err=True)))
    print_figures(figures, as_json=as_json)
    if figures["died"] or figures["over_100_ms"]:
        raise SystemExit(1)


@fleet.command("cold-ramp")
@click.option("--placers", default=24, show_default=True, type=click.IntRange(1, 60))
@click.option("--machines", default=8, show_default=True, type=click.IntRange(1, 200))
@click.option(
    "--budget",
    default=9,
    show_default=True,
    type=click.IntRange(1, 1_000),
    help="Offers to a cold machine in one window.",
)
@click.option("--load", default=5.0, show_default=True, help="Tasks per second sent to each placer.")
@click.option(
    "--seconds",
    default=12.0,
    show_default=True,
    type=click.FloatRange(1, 120),
    help="Duration of the ramp in seconds.",
)
@click.option(
    "--kill-every", default=0.5, show_default=True, help="Seconds between kills of a placer; 0: no kills."
)
@click.option("--restarts", default=2, show_default=True, help="Machines that restart cold during the run.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def cold_ramp(
    placers: int,
    machines: int,
    budget: int,
    load: float,
    seconds: float,
    kill_every: float,
    restarts: int,
    seed: int,
    as_json: bool,
) -> None:
    """Start cold machines under load and count the offers of all placers to each machine in any window.

    Exit code 1 if a placer died without being killed, or a window had more than N + 2 root N + 2 offers,
    where N is --budget.
    """
    from kelpfront.lab.fleet.coldramp import ColdRamp
    from kelpfront.lab.fleet.coldramp import cold_ramp as run_cold_ramp

    shape = ColdRamp(placers, machines, budget, load, seconds, kill_every, restarts, seed)

    print_progress = progress_printer(as_json=as_json)

    figures = asyncio.run(run_cold_ramp(shape, print_progress))
    print_figures(figures, as_json=as_json)
    if figures["died"] or figures["worst_window"] > figures["bound"]:
        raise SystemExit(1)
