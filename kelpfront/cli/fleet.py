"""`kelpfront lab fleet`: many processes of the program, and what they do to what they share.

Playing and measuring is left to `kelpfront.lab.fleet`.
"""

from __future__ import annotations

import asyncio

import click

from kelpfront.cli.common import print_figures, progress_printer
from kelpfront.cli.scale import scale


@click.group("fleet")
def fleet() -> None:
    """Many placers as processes on loopback."""


fleet.add_command(scale)


@fleet.command("cold-start")
@click.option("--placers", default=16, show_default=True, type=click.IntRange(1, 300))
@click.option("--machines", default=40, show_default=True, type=click.IntRange(1, 5_000))
@click.option(
    "--rate", default=20.0, show_default=True, help="Requests a second that the list service bears."
)
@click.option("--up-after", default=0.0, show_default=True, help="Seconds until the list service is up.")
@click.option("--down-at", default=-1.0, help="Seconds after that at which it goes down for 2 s; -1: never.")
@click.option("--with-file", default=0.5, show_default=True, help="Share of the placers that have a list.")
@click.option("--longest", default=60.0, show_default=True, help="Seconds after which the run is over.")
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
    """Start all placers at once and count what the list service is asked, and when each is ready.

    Exit code 1 if a placer died, was never ready or never told the list.
    """
    from kelpfront.lab.fleet.coldstart import ColdStart
    from kelpfront.lab.fleet.coldstart import cold_start as play

    shape = ColdStart(placers, machines, rate, up_after, down_at, 2.0, with_file, longest)

    print_progress = progress_printer(as_json=as_json)

    figures = asyncio.run(play(shape, print_progress))
    print_figures(figures, as_json=as_json)
    if figures["died"] or None in (figures["ready_s"]["100%"], figures["told_s"]["100%"]):
        raise SystemExit(1)


@fleet.command("restart")
@click.option("--placers", default=10, show_default=True, type=click.IntRange(1, 64))
@click.option("--machines", default=1_100, show_default=True, type=click.IntRange(1, 5_000))
@click.option("--tasks", default=22_000, show_default=True, type=click.IntRange(0, 200_000))
@click.option("--killed", default=0.9, show_default=True, help="Share of the placers that are killed.")
@click.option("--outage", is_flag=True, help="The list service is down while they start again.")
@click.option("--sockets", default=2_048, show_default=True, type=click.IntRange(64), help="Of each placer.")
@click.option("--memory-mb", default=192, show_default=True, type=click.IntRange(1), help="Of each placer.")
@click.option("--share", default=0.25, show_default=True, help="Of a core, for the estimate of the time.")
@click.option("--longest", default=60.0, show_default=True, help="Seconds after which the run has failed.")
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
    """Kill nine in ten placers, start them again and tell when each is ready and what its start costs.

    Exit code 1 if a placer died or a task that was handed over was not taken.
    """
    from kelpfront.lab.fleet.restart import Restart
    from kelpfront.lab.fleet.restart import restart as play

    shape = Restart(placers, machines, tasks, killed, outage, sockets, memory_mb, share, longest)

    print_progress = progress_printer(as_json=as_json)

    figures = asyncio.run(play(shape, print_progress))
    print_figures(figures, as_json=as_json)
    if figures["died"] or figures["found"] != figures["handed_over"]:
        raise SystemExit(1)


@fleet.command("leavers")
@click.option("--placers", default=16, show_default=True, type=click.IntRange(1, 64))
@click.option("--machines", default=60, show_default=True, type=click.IntRange(2, 300))
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(1.0, 600.0))
@click.option("--rate", default=20.0, show_default=True, help="Set-ups a second at each placer.")
@click.option("--leave", default=0.6, show_default=True, type=click.FloatRange(0.0, 1.0))
@click.option("--stops", default=2.0, show_default=True, help="Placers stopped for 0.4 s, a second, in all.")
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
    """Owners that leave before their answer: how long after that does an attempt still begin?

    Exit code 1 if a placer died, or an attempt began more than 100 ms after its owner had left.
    """
    from kelpfront.lab.fleet.leavers import Leavers
    from kelpfront.lab.fleet.leavers import leavers as play

    shape = Leavers(placers, machines, seconds, rate, leave, stops, seed)
    figures = asyncio.run(play(shape, lambda text: click.echo(text, err=True)))
    print_figures(figures, as_json=as_json)
    if figures["died"] or figures["over_100_ms"]:
        raise SystemExit(1)


@fleet.command("cold-ramp")
@click.option("--placers", default=24, show_default=True, type=click.IntRange(1, 60))
@click.option("--machines", default=8, show_default=True, type=click.IntRange(1, 200))
@click.option(
    "--budget", default=9, show_default=True, type=click.IntRange(1, 1_000), help="Offers in a window."
)
@click.option("--load", default=5.0, show_default=True, help="Tasks a second that each placer is sent.")
@click.option(
    "--seconds", default=12.0, show_default=True, type=click.FloatRange(1, 120), help="Length of the ramp."
)
@click.option("--kill-every", default=0.5, show_default=True, help="Seconds between kills; 0: none.")
@click.option("--restarts", default=2, show_default=True, help="Machines that come up cold once more.")
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
    """Let machines come up cold under load and count what all placers together send to each in any window.

    Exit code 1 if a placer died by itself, or a window saw more than N + 2 root N + 2 offers.
    """
    from kelpfront.lab.fleet.coldramp import ColdRamp
    from kelpfront.lab.fleet.coldramp import cold_ramp as play

    shape = ColdRamp(placers, machines, budget, load, seconds, kill_every, restarts, seed)

    print_progress = progress_printer(as_json=as_json)

    figures = asyncio.run(play(shape, print_progress))
    print_figures(figures, as_json=as_json)
    if figures["died"] or figures["worst_window"] > figures["bound"]:
        raise SystemExit(1)
