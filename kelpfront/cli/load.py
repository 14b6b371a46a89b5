"""`kelpfront lab load`: the load tool."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
from collections.abc import Callable, Iterator, Sequence
from contextlib import AsyncExitStack, contextmanager
from pathlib import Path
from typing import Any

import click

from kelpfront.cli.common import console, fail, load_config, plain_table


@click.command("load")
@click.option("--server", "servers", multiple=True, help="A placer's address; several may be given.")
@click.option(
    "-c",
    "--config",
    "config_path",
    type=click.Path(path_type=Path),
    help="The placers' settings, for classes.",
)
@click.option("--machines", default=24, show_default=True, help="Stand-ins, where no --server is given.")
@click.option("--placers", default=1, show_default=True, help="Where no --server is given.")
@click.option(
    "--form", type=click.Choice(["poisson", "bursts", "diurnal"]), default="poisson", show_default=True
)
@click.option("--rate", default=100.0, show_default=True, help="Jobs a second in the mean.")
@click.option("--seconds", default=20.0, show_default=True, help="How long jobs come in.")
@click.option("--period", default=10.0, show_default=True, help="Seconds of one burst or one day.")
@click.option("--peak", default=4.0, show_default=True, help="The highest rate over the lowest.")
@click.option("--trace", type=click.Path(path_type=Path, exists=True, dir_okay=False), help="Replay a CSV.")
@click.option("--mix", multiple=True, metavar="CLASS=SHARE", help="Classes; all alike if absent.")
@click.option(
    "--workers", default=min(4, os.cpu_count() or 1), show_default="4, or the cores", help="Processes."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--ramp", "ramp_to", type=float, help="Find the highest rate that is kept, at most this.")
@click.option("--exact", default=0.05, show_default=True, help="How near --ramp comes, as a share.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def load(
    servers: tuple[str, ...],
    config_path: Path | None,
    machines: int,
    placers: int,
    form: str,
    rate: float,
    seconds: float,
    period: float,
    peak: float,
    trace: Path | None,
    mix: tuple[str, ...],
    workers: int,
    seed: int,
    ramp_to: float | None,
    exact: float,
    as_json: bool,
) -> None:
    """Send jobs to placers in an open loop, from several processes, and measure from when each was due.

    Without --server it brings up a placer and stand-ins on loopback. Latencies count from the time at which a
    job was due to be sent, so a placer that stalls is charged for all that waited. A rate is kept when no job
    was turned away or left without its answer and the p99 of every class is within its aim. Exit code 1 if a
    job was left without its answer.
    """
    from kelpfront.lab.load.arrivals import Profile, TraceError, read_trace
    from kelpfront.lab.load.ramp import Ramp
    from kelpfront.lab.load.runner import Load, LoadShape, local_cluster
    from kelpfront.lab.process import raise_file_limit
    from kelpfront.logs import configure_logs

    configure_logs("error", "auto")
    raise_file_limit()
    if servers and config_path is None:
        fail("--config: the placers' settings are needed with --server, for their classes")
    if workers < 1:
        fail(f"--workers: {workers} is not 1 or more")
    try:
        Profile(form, rate, seconds, period, peak)  # type: ignore[arg-type]
        ramp = Ramp(rate, ramp_to, exact) if ramp_to is not None else None
    except ValueError as error:
        fail(f"--{error}")
    interactive = sys.stderr.isatty() or not as_json

    async def run() -> dict[str, Any]:
        with tempfile.TemporaryDirectory(prefix="kelpfront-load-") as folder:
            work = Path(folder)
            async with AsyncExitStack() as stack:
                if servers:
                    assert config_path is not None
                    urls, config = servers, load_config(config_path)
                else:
                    urls, config = await stack.enter_async_context(local_cluster(work, machines, placers))
                shares = _mix(mix, list(config.classes))
                if trace is not None:
                    try:
                        read_trace(trace.read_text(encoding="utf-8"), str(trace), list(config.classes))
                    except (TraceError, UnicodeDecodeError) as error:
                        fail(str(error))
                shape = LoadShape(
                    form=form,  # type: ignore[arg-type]
                    rate=rate,
                    seconds=seconds,
                    period_s=period,
                    peak=peak,
                    trace="" if trace is None else str(trace.resolve()),
                    mix=shares,
                    workers=workers,
                    seed=seed,
                )
                if ramp is not None:
                    return await Load(urls, config, work).ramp(
                        shape, ramp, lambda text: click.echo(text, err=True) if interactive else None
                    )
                with _progress(interactive) as show:
                    return await Load(urls, config, work, show).run(shape)

    figures = asyncio.run(run())
    if as_json:
        click.echo(json.dumps(figures))
    elif ramp is not None:
        click.echo(f"kept: {figures['kept']:g} jobs a second")
    else:
        _table(figures)
    if ramp is None and figures["counts"].get("without_final"):
        raise SystemExit(1)


def _mix(given: Sequence[str], classes: Sequence[str]) -> dict[str, float]:
    shares: dict[str, float] = {}
    for one in given:
        name, _, text = one.partition("=")
        try:
            share = float(text)
        except ValueError:
            share = -1.0
        if name not in classes or not 0.0 <= share < float("inf"):
            fail(f"--mix: {one!r} is not CLASS=SHARE, with a class of {', '.join(classes)} and 0 or more")
        shares[name] = share
    if shares and not any(shares.values()):
        fail("--mix: one share at least has to be over 0")
    return shares


@contextmanager
def _progress(shown: bool) -> Iterator[Callable[[dict[str, int]], None]]:
    """A bar on a terminal; nothing elsewhere."""
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    counted = TextColumn("{task.completed}/{task.total} answered, {task.fields[open]} open")
    columns = (BarColumn(), counted, TimeElapsedColumn())
    with Progress(*columns, console=Console(stderr=True), disable=not shown) as bar:
        task = bar.add_task("jobs", total=None, open=0)

        def show(told: dict[str, int]) -> None:
            bar.update(task, total=told["all"], completed=told.get("answered", 0), open=told.get("open", 0))

        yield show


COLUMNS = "CLASS DUE SENT PLACED REFUSED FAILED TURNED-AWAY NO-ANSWER P50-MS P99-MS P99.9-MS MAX-MS AIM-MS"


def _table(figures: dict[str, Any]) -> None:
    table = plain_table(*COLUMNS.split())
    for name, one in figures["classes"].items():
        counts, took = one["counts"], one["from_due_ms"]
        keys = ("due", "sent", "Placed", "Refused", "Failed", "turned_away", "without_final")
        table.add_row(
            name,
            *(str(counts.get(key, 0)) for key in keys),
            *(f"{took[key]:.1f}" if key in took else "-" for key in ("p50", "p99", "p99.9", "max")),
            f"{one['aim_ms']:.0f}",
        )
    console().print(table)
    late = figures["counts"].get("sent_late", 0)
    click.echo(
        f"{figures['rate']:.1f} due and {figures['answers_a_second']:g} answered a second; {late} sent late"
    )
    for text, count in figures["errors"].items():
        click.echo(f"{count} times: {text}")
