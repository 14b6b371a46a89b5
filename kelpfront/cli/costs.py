"""Commands of the laboratory that measure what a part of the program costs.

Measuring is left to the modules of `kelpfront.lab`; here are options, their checks and the output.
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
@click.option("--tasks", default="0,100,500", show_default=True, help="Numbers of tasks that it holds.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def agent_cost(tasks: str, as_json: bool) -> None:
    """Measure one node agent: starts a second, a durable start, its CPU and memory, its restart."""
    from kelpfront.lab.agentcost import AgentCost
    from kelpfront.logs import configure_logs

    configure_logs("warning", "auto")
    try:
        counts = [int(text) for text in tasks.split(",")]
    except ValueError:
        fail(f"--tasks: {tasks!r}; whole numbers with commas between are expected")

    print_progress = progress_printer(as_json=as_json)

    with tempfile.TemporaryDirectory(prefix="kelpfront-agent-cost-") as folder:
        figures = asyncio.run(AgentCost(counts, Path(folder), print_progress).run())
    print_figures(figures, as_json=as_json)


@click.command("protocols")
@click.option("--machines", default=81, show_default=True)
@click.option("--seconds", default=3.0, show_default=True, help="Of one round.")
@click.option("--rounds", default=5, show_default=True, help="Of each way, by turns.")
@click.option("--at-a-time", default=32, show_default=True, help="Jobs without their answer.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def protocols(machines: int, seconds: float, rounds: int, at_a_time: int, as_json: bool) -> None:
    """Measure what a job costs by REST, gRPC and a Bindings stream, and offers by HTTP and by streams."""
    from kelpfront.lab.process import raise_file_limit
    from kelpfront.lab.protocols import Protocols
    from kelpfront.logs import configure_logs

    configure_logs("error", "auto")
    raise_file_limit()

    print_progress = progress_printer(as_json=as_json)

    with tempfile.TemporaryDirectory(prefix="kelpfront-protocols-") as folder:
        measuring = Protocols(machines, seconds, rounds, at_a_time, Path(folder), print_progress)
        figures = asyncio.run(measuring.run())
    print_figures(figures, as_json=as_json)


@click.command("store-cost")
@click.option("--groups", default="1,10,100", show_default=True, help="Records of one commit.")
@click.option("--commits", default=200, show_default=True, help="Of one round.")
@click.option("--rounds", default=5, show_default=True)
@click.option(
    "--folder", type=click.Path(path_type=Path, file_okay=False, exists=True), help="On which disk."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def store_cost(groups: str, commits: int, rounds: int, folder: Path | None, as_json: bool) -> None:
    """Measure durable commits of kelpfront's own log beside SQLite (WAL, full sync) and LMDB."""
    from kelpfront.lab.storecost import measure_store

    require_lab_packages()
    if not re.fullmatch(r"[1-9][0-9]{0,3}(,[1-9][0-9]{0,3})*", groups):
        fail(f"--groups: {groups!r} is not numbers from 1 to 9999 with commas between them")

    def print_progress(text: str) -> None:
        if sys.stderr.isatty():
            click.echo(text, err=True)

    found = measure_store(
        [int(group) for group in groups.split(",")], commits, rounds, folder, print_progress
    )
    print_figures({"results": found}, as_json=as_json)


@click.command("core-cost")
@click.option("--machines", default="100,400,1100,2200", show_default=True, help="With the middle --tasks.")
@click.option("--tasks", default="0,1375,2750,5500,8000", show_default=True, help="With the --at machines.")
@click.option("--at", default=1100, show_default=True, type=click.IntRange(1, 5_000), help="Machines.")
@click.option("--events", default=300, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--rounds", default=5, show_default=True, type=click.IntRange(1, 100))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def core_cost(machines: str, tasks: str, at: int, events: int, rounds: int, as_json: bool) -> None:
    """Measure a placer's core without sockets: rest, list events, starts, joining, memory, message sizes."""
    from kelpfront.lab.corecost import measure_core, message_bytes, resident_mb

    for name, text in (("--machines", machines), ("--tasks", tasks)):
        if not re.fullmatch(r"[0-9]{1,4}(,[0-9]{1,4})*", text):
            fail(f"{name}: {text!r} is not numbers up to 9999 with commas between them")
    counts, loads = [int(one) for one in machines.split(",")], [int(one) for one in tasks.split(",")]
    if 0 in counts:
        fail("--machines: at least 1 is wanted")

    print_progress = progress_printer(as_json=as_json)

    middle = sorted(loads)[len(loads) // 2]
    sizes = dict.fromkeys([(count, middle) for count in counts] + [(at, load) for load in loads])
    results = measure_core(list(sizes), events, rounds, print_progress)
    figures = {"results": results, "message_bytes": message_bytes(), "resident_mb": resident_mb()}
    print_figures(figures, as_json=as_json)


@click.command("growth")
@click.option("--sizes", default="10,81,300,1000,3000,5000", show_default=True, help="Machines.")
@click.option("--tasks", default=40, show_default=True, help="In one round of one size.")
@click.option("--rounds", default=5, show_default=True)
@click.option("--plot", "plot_to", type=click.Path(path_type=Path), help="Draw both costs as PNG.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def growth(sizes: str, tasks: int, rounds: int, plot_to: Path | None, as_json: bool) -> None:
    """Measure how the cost of a decision, and of machines that come up, grows with the fleet: no sockets."""
    from kelpfront.lab.growth import measure_growth, plot_growth

    if not re.fullmatch(r"[1-9][0-9]{0,4}(,[1-9][0-9]{0,4})*", sizes):
        fail(f"--sizes: {sizes!r} is not numbers from 1 to 99999 with commas between them")

    print_progress = progress_printer(as_json=as_json)

    results = measure_growth([int(size) for size in sizes.split(",")], tasks, rounds, print_progress)
    if plot_to is not None:
        plot_growth(results, plot_to)
    print_figures({"results": results}, as_json=as_json)


@click.command("capacity")
@click.option("--write", is_flag=True, help="Make the page's tables anew.")
@click.option("--check", is_flag=True, help="Exit code 1 if the page's tables are not those of the data.")
@click.option("--docs", type=click.Path(path_type=Path, file_okay=False, exists=True), default=Path("docs"))
def capacity(write: bool, check: bool, docs: Path) -> None:
    """Work out what each role needs at the sizes to be carried, and print the ledger by margin."""
    from kelpfront.lab.capacitybook import CapacityError
    from kelpfront.lab.capacitypage import PAGE, filled, ledger_table, load, tables

    try:
        worked = load(docs / "capacity")
        if not (write or check):
            click.echo(ledger_table(worked), nl=False)
            return
        old = (docs / PAGE).read_text(encoding="utf-8")
        new = filled(old, tables(worked))
    except (CapacityError, OSError) as error:
        fail(str(error))
    if write:
        (docs / PAGE).write_text(new, encoding="utf-8")
    elif new != old:
        fail(
            f"{docs / PAGE}: its tables are not those of the data; kelpfront lab capacity --write makes them"
        )


COSTS = (agent_cost, protocols, store_cost, core_cost, growth, capacity)
