"""Commands of the laboratory that measure the cost of parts of the program.

This module parses options and prints results; the modules of `kelpfront.lab` measure.
"""

from __future__ import annotations

import asyncio
import re
import sys
import tempfile
from pathlib import Path

import click

from kelpfront.cli.common import fail, print_figures, progress_printer, require_lab_packages


@click.command("agent-cost")
@click.option(
    "--tasks", default="0,100,500", show_default=True, help="Numbers of tasks that the agent holds."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def agent_cost(tasks: str, as_json: bool) -> None:
    """Measure one node agent: starts per second, a durable start, CPU, memory and restart."""
    from kelpfront.lab.agentcost import AgentCost
    from kelpfront.logs import configure_logs

    configure_logs("warning", "auto")
    try:
        counts = [int(text) for text in tasks.split(",")]
    except ValueError:
        fail(f"--tasks: expected whole numbers separated by commas, got {tasks!r}")

    print_progress = progress_printer(as_json=as_json)

    with tempfile.TemporaryDirectory(prefix="kelpfront-agent-cost-") as folder:
        figures = asyncio.run(AgentCost(counts, Path(folder), print_progress).run())
    print_figures(figures, as_json=as_json)


@click.command("protocols")
@click.option("--machines", default=81, show_default=True)
@click.option("--seconds", default=3.0, show_default=True, help="Duration of one round in seconds.")
@click.option("--rounds", default=5, show_default=True, help="Rounds of each protocol, alternating.")
@click.option("--at-a-time", default=32, show_default=True, help="Jobs in flight at a time.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def protocols(machines: int, seconds: float, rounds: int, at_a_time: int, as_json: bool) -> None:
    """Measure the cost of a job by REST, gRPC and a Bindings stream, and of offers by HTTP and by streams."""
    from kelpfront.lab.process import raise_file_limit
    from kelpfront.lab.protocols import Protocols
    from kelpfront.logs import configure_logs

    configure_logs("error", "auto")
    raise_file_limit()

    print_progress = progress_printer(as_json=as_json)

    with tempfile.TemporaryDirectory(prefix="kelpfront-protocols-") as folder:
        benchmark = Protocols(machines, seconds, rounds, at_a_time, Path(folder), print_progress)
        figures = asyncio.run(benchmark.run())
    print_figures(figures, as_json=as_json)


@click.command("store-cost")
@click.option("--groups", default="1,10,100", show_default=True, help="Numbers of records in one commit.")
@click.option("--commits", default=200, show_default=True, help="Commits in one round.")
@click.option("--rounds", default=5, show_default=True)
@click.option(
    "--folder",
    type=click.Path(path_type=Path, file_okay=False, exists=True),
    help="Folder on the disk to measure.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def store_cost(groups: str, commits: int, rounds: int, folder: Path | None, as_json: bool) -> None:
    """Measure durable commits of kelpfront's log, compared with SQLite (WAL, full sync) and LMDB."""
    from kelpfront.lab.storecost import measure_store

    require_lab_packages()
    if not re.fullmatch(r"[1-9][0-9]{0,3}(,[1-9][0-9]{0,3})*", groups):
        fail(f"--groups: expected numbers from 1 to 9999 separated by commas, got {groups!r}")

    def print_progress(text: str) -> None:
        if sys.stderr.isatty():
            click.echo(text, err=True)

    results = measure_store(
        [int(group) for group in groups.split(",")], commits, rounds, folder, print_progress
    )
    print_figures({"results": results}, as_json=as_json)


@click.command("core-cost")
@click.option(
    "--machines",
    default="100,400,1100,2200",
    show_default=True,
    help="Numbers of machines, with the median of --tasks.",
)
@click.option(
    "--tasks",
    default="0,1375,2750,5500,8000",
    show_default=True,
    help="Numbers of tasks, with --at machines.",
)
@click.option(
    "--at", default=1100, show_default=True, type=click.IntRange(1, 5_000), help="Machines for --tasks."
)
@click.option("--events", default=300, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--rounds", default=5, show_default=True, type=click.IntRange(1, 100))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def core_cost(machines: str, tasks: str, at: int, events: int, rounds: int, as_json: bool) -> None:
    """Measure a placer's core without sockets: idle, list events, starts, joins, memory, message sizes."""
    from kelpfront.lab.corecost import measure_core, message_bytes, resident_mb

    for name, text in (("--machines", machines), ("--tasks", tasks)):
        if not re.fullmatch(r"[0-9]{1,4}(,[0-9]{1,4})*", text):
            fail(f"{name}: expected numbers up to 9999 separated by commas, got {text!r}")
    counts, loads = [int(count) for count in machines.split(",")], [int(load) for load in tasks.split(",")]
    if 0 in counts:
        fail("--machines: must be at least 1")

    print_progress = progress_printer(as_json=as_json)

    median_load = sorted(loads)[len(loads) // 2]
    sizes = dict.fromkeys([(count, median_load) for count in counts] + [(at, load) for load in loads])
    results = measure_core(list(sizes), events, rounds, print_progress)
    figures = {"results": results, "message_bytes": message_bytes(), "resident_mb": resident_mb()}
    print_figures(figures, as_json=as_json)


@click.command("growth")
@click.option("--sizes", default="10,81,300,1000,3000,5000", show_default=True, help="Numbers of machines.")
@click.option("--tasks", default=40, show_default=True, help="Tasks in one round for one number of machines.")
@click.option("--rounds", default=5, show_default=True)
@click.option("--plot", "plot_to", type=click.Path(path_type=Path), help="Draw both costs as PNG.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def growth(sizes: str, tasks: int, rounds: int, plot_to: Path | None, as_json: bool) -> None:
    """Measure how the cost of a decision and of a starting machine grows with the fleet, without sockets."""
    from kelpfront.lab.growth import measure_growth, plot_growth

    if not re.fullmatch(r"[1-9][0-9]{0,4}(,[1-9][0-9]{0,4})*", sizes):
        fail(f"--sizes: expected numbers from 1 to 99999 separated by commas, got {sizes!r}")

    print_progress = progress_printer(as_json=as_json)

    results = measure_growth([int(size) for size in sizes.split(",")], tasks, rounds, print_progress)
    if plot_to is not None:
        plot_growth(results, plot_to)
    print_figures({"results": results}, as_json=as_json)


@click.command("capacity")
@click.option("--write", is_flag=True, help="Regenerate the tables of the page.")
@click.option(
    "--check", is_flag=True, help="Exit with code 1 if the tables of the page do not match the data."
)
@click.option("--docs", type=click.Path(path_type=Path, file_okay=False, exists=True), default=Path("docs"))
def capacity(write: bool, check: bool, docs: Path) -> None:
    """Compute the capacity that each role needs at the planned sizes, and print the needs by margin."""
    from kelpfront.lab.capacitybook import CapacityError
    from kelpfront.lab.capacitypage import PAGE, filled, ledger_table, load, tables

    try:
        capacity_model = load(docs / "capacity")
        if not (write or check):
            click.echo(ledger_table(capacity_model), nl=False)
            return
        old = (docs / PAGE).read_text(encoding="utf-8")
        new = filled(old, tables(capacity_model))
    except (CapacityError, OSError) as error:
        fail(str(error))
    if write:
        (docs / PAGE).write_text(new, encoding="utf-8")
    elif new != old:
        fail(f"{docs / PAGE}: its tables do not match the data; run kelpfront lab capacity --write")


COSTS = (agent_cost, protocols, store_cost, core_cost, growth, capacity)
