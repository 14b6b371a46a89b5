"""`kelpfront lab fleet scale`: the cost of a placer at the size of a whole fleet.

`kelpfront.lab.fleet.scale` runs and measures.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import click

from kelpfront.cli.common import fail, progress_printer

SWEEPS = (
    "held",
    "machines",
    "placers",
    "events",
    "starts",
    "tasks",
    "machines-events",
    "machines-starts",
    "peak",
    "failures",
)


@click.command("scale")
@click.option("--machines", default=100, show_default=True, help="Number of simulated machines.")
@click.option("--tasks", default=500, show_default=True, help="Running tasks, over the fleet.")
@click.option("--placers", default=4, show_default=True)
@click.option(
    "--real",
    default=2,
    show_default=True,
    help="Number of placers that run as measured processes; the others are simulated.",
)
@click.option("--regions", default=2, show_default=True)
@click.option("--zones", default=7, show_default=True)
@click.option(
    "--starts",
    default=0.0,
    show_default=True,
    help="Task starts per second, over the fleet; as many tasks end.",
)
@click.option("--events", default=0.0, show_default=True, help="Events of the machine list per second.")
@click.option("--seconds", default=10.0, show_default=True, help="Duration of the measurement in seconds.")
@click.option("--settle", default=6.0, show_default=True, help="Seconds under load before the measurement.")
@click.option(
    "--delay-ms", default=20.0, show_default=True, help="One-way delay between the regions' list services."
)
@click.option("--drains", default=3, show_default=True, help="Machines drained during the measurement.")
@click.option(
    "--watchers",
    default=0,
    show_default=True,
    help="Watchers in each region; 0: placers test machines themselves.",
)
@click.option("--restart/--no-restart", default=True, show_default=True, help="Kill a placer at the end.")
@click.option(
    "--fault",
    "faults",
    multiple=True,
    help="KIND@START+DURATION in seconds; KIND is worker, rack, zone or link.",
)
@click.option("--sweep", "sweeps", multiple=True, type=click.Choice([*SWEEPS, "all"]))
@click.option("--into", type=click.Path(path_type=Path), default=Path("docs/capacity"), show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def scale(sweeps: tuple[str, ...], into: Path, as_json: bool, **options: Any) -> None:
    """Measure real placers among simulated machines, simulated placers and a list service in each region.

    With --sweep, the named series of runs is written to the folder --into, with fitted lines and a plot.
    Exit code 1 if a process died or the messages on the sockets break a rule.
    """
    from kelpfront.lab.fleet.scale.shape import Fault, Shape, ShapeError
    from kelpfront.lab.fleet.scale.table import slope_table, table

    print_progress = progress_printer(as_json=as_json)

    if sweeps:
        from kelpfront.lab.fleet.scale.sweep import play_sweeps

        selected_sweeps = SWEEPS if "all" in sweeps else tuple(dict.fromkeys(sweeps))
        summary = asyncio.run(play_sweeps(selected_sweeps, into, print_progress))
        slopes = summary.pop("slopes")
        click.echo(json.dumps(summary) if as_json else slope_table(slopes))
        for violation in summary["breaks"]:
            click.echo(violation, err=True)
        if summary["breaks"]:
            raise SystemExit(1)
        return
    from kelpfront.lab.fleet.scale.run import breaks, play

    try:
        faults = tuple(Fault.of(text) for text in options.pop("faults"))
        shape = Shape(**options, faults=faults)
    except ShapeError as error:
        fail(str(error))
    figures = asyncio.run(play(shape, print_progress))
    violations = breaks(figures)
    click.echo(json.dumps(figures | {"breaks": violations}) if as_json else table(figures))
    for violation in violations:
        click.echo(violation, err=True)
    if violations:
        raise SystemExit(1)
