"""`kelpfront lab load`: the load generator."""

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
@click.option("--server", "servers", multiple=True, help="URL of a placer; may be repeated.")
@click.option(
    "-c",
    "--config",
    "config_path",
    type=click.Path(path_type=Path),
    help="Settings file of the placers, which defines the classes.",
)
@click.option(
    "--machines", default=24, show_default=True, help="Number of stand-in machines if no --server is given."
)
@click.option("--placers", default=1, show_default=True, help="Number of placers if no --server is given.")
@click.option(
    "--form", type=click.Choice(["poisson", "bursts", "diurnal"]), default="poisson", show_default=True
)
@click.option("--rate", default=100.0, show_default=True, help="Mean number of jobs per second.")
@click.option("--seconds", default=20.0, show_default=True, help="How long jobs are sent, in seconds.")
@click.option(
    "--period", default=10.0, show_default=True, help="Period of bursts or of the daily cycle, in seconds."
)
@click.option("--peak", default=4.0, show_default=True, help="Ratio of the highest to the lowest rate.")
@click.option(
    "--trace", type=click.Path(path_type=Path, exists=True, dir_okay=False), help="Replay a CSV file."
)
@click.option("--mix", multiple=True, metavar="CLASS=SHARE", help="Share of a class; equal shares if absent.")
@click.option(
    "--workers",
    default=min(4, os.cpu_count() or 1),
    show_default="4, or the cores",
    help="Number of worker processes.",
)
@click.option("--seed", default=1, show_default=True)
@click.option("--ramp", "ramp_to", type=float, help="Find the highest sustained rate, up to this one.")
@click.option("--exact", default=0.05, show_default=True, help="Relative precision of --ramp.")
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
    """Send jobs to placers in an open loop from several processes, and measure latencies.

    Without --server, the command starts placers and stand-in machines on loopback. Latencies count from the
    scheduled send time of a job, so they include the time that jobs wait while a placer stalls. A rate is
    sustained if no job was rejected or left without an answer and the p99 of every class is within its aim.
    Exit code 1 if a job was left without an answer.
    """
    from kelpfront.lab.load.arrivals import Profile, TraceError, read_trace
    from kelpfront.lab.load.ramp import Ramp
    from kelpfront.lab.load.runner import Load, LoadShape, local_cluster
    from kelpfront.lab.process import raise_file_limit
    from kelpfront.logs import configure_logs

    configure_logs("error", "auto")
    raise_file_limit()
    if servers and config_path is None:
        fail("--config: required with --server, for the classes of the placers")
    if workers < 1:
        fail(f"--workers: must be at least 1, got {workers}")
    try:
        Profile(form, rate, seconds, period, peak)  # type: ignore[arg-type]
        ramp = Ramp(rate, ramp_to, exact) if ramp_to is not None else None
    except ValueError as error:
        fail(f"--{error}")
    shows_progress = sys.stderr.isatty() or not as_json

    async def run() -> dict[str, Any]:
        with tempfile.TemporaryDirectory(prefix="kelpfront-load-") as folder:
            work_folder = Path(folder)
            async with AsyncExitStack() as stack:
                if servers:
                    assert config_path is not None
                    urls, config = servers, load_config(config_path)
                else:
                    urls, config = await stack.enter_async_context(
                        local_cluster(work_folder, machines, placers)
                    )
                shares = _parse_mix(mix, list(config.classes))
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
                    return await Load(urls, config, work_folder).ramp(
                        shape, ramp, lambda text: click.echo(text, err=True) if shows_progress else None
                    )
                with _progress_bar(shows_progress) as show:
                    return await Load(urls, config, work_folder, show).run(shape)

    figures = asyncio.run(run())
    if as_json:
        click.echo(json.dumps(figures))
    elif ramp is not None:
        click.echo(f"sustained: {figures['kept']:g} jobs per second")
    else:
        _print_table(figures)
    if ramp is None and figures["counts"].get("without_final"):
        raise SystemExit(1)


def _parse_mix(options: Sequence[str], classes: Sequence[str]) -> dict[str, float]:
    shares: dict[str, float] = {}
    for option in options:
        name, _, share_text = option.partition("=")
        try:
            share = float(share_text)
        except ValueError:
            share = -1.0
        if name not in classes or not 0.0 <= share < float("inf"):
            fail(
                f"--mix: expected CLASS=SHARE, a class of {', '.join(classes)} and at least 0, got {option!r}"
            )
        shares[name] = share
    if shares and not any(shares.values()):
        fail("--mix: at least one share must be greater than 0")
    return shares


@contextmanager
def _progress_bar(is_shown: bool) -> Iterator[Callable[[dict[str, int]], None]]:
    """Yield a function that updates a progress bar with counts of jobs; it is drawn only if `is_shown`."""
    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    count_column = TextColumn("{task.completed}/{task.total} answered, {task.fields[open]} open")
    columns = (BarColumn(), count_column, TimeElapsedColumn())
    with Progress(*columns, console=Console(stderr=True), disable=not is_shown) as progress:
        task = progress.add_task("jobs", total=None, open=0)

        def show(counts: dict[str, int]) -> None:
            progress.update(
                task, total=counts["all"], completed=counts.get("answered", 0), open=counts.get("open", 0)
            )

        yield show


COLUMNS = "CLASS DUE SENT PLACED REFUSED FAILED REJECTED NO-ANSWER P50-MS P99-MS P99.9-MS MAX-MS AIM-MS"


def _print_table(figures: dict[str, Any]) -> None:
    table = plain_table(*COLUMNS.split())
    for name, class_figures in figures["classes"].items():
        counts, latencies_ms = class_figures["counts"], class_figures["from_due_ms"]
        keys = ("due", "sent", "Placed", "Refused", "Failed", "turned_away", "without_final")
        table.add_row(
            name,
            *(str(counts.get(key, 0)) for key in keys),
            *(
                f"{latencies_ms[key]:.1f}" if key in latencies_ms else "-"
                for key in ("p50", "p99", "p99.9", "max")
            ),
            f"{class_figures['aim_ms']:.0f}",
        )
    console().print(table)
    late_count = figures["counts"].get("sent_late", 0)
    click.echo(
        f"jobs/s: {figures['rate']:.1f} due, {figures['answers_a_second']:g} answered; {late_count} sent late"
    )
    for text, count in figures["errors"].items():
        click.echo(f"{count} times: {text}")
