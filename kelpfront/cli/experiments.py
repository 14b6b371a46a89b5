"""`kelpfront lab experiment` and `kelpfront lab report`: many runs, and a page with their results.

`kelpfront.lab.experiments` plans and executes the runs; `kelpfront.lab.report` writes the page.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import click

from kelpfront.cli.common import fail

if TYPE_CHECKING:
    from kelpfront.lab.experiments.results import Result

PACKAGE = Path(__file__).parent.parent
DAYS = PACKAGE / "lab" / "days"
PLANS = PACKAGE / "lab" / "plans"


def day_text(name: str) -> str:
    """Return the text of a scenario: a built-in one by its name, else that of a file.

    Raises:
        OSError: the file cannot be read.
    """
    builtin_path = DAYS / f"{name}.yaml"
    path = builtin_path if "/" not in name and builtin_path.exists() else Path(name)
    return path.read_text(encoding="utf-8")


@click.command("experiment")
@click.argument("plan", type=click.Path(path_type=Path))
@click.option(
    "--results",
    type=click.Path(path_type=Path, dir_okay=False),
    help="File of the results, which is continued if it exists; NAME.sqlite by default.",
)
@click.option("--processes", default=os.cpu_count() or 1, show_default="one a core")
def experiment(plan: Path, results: Path | None, processes: int) -> None:
    """Run the scenarios, variants and seeds of PLAN, a YAML file or the built-in `policies`.

    Each result is written to an SQLite file in this folder as soon as its run ends. When called again, the
    command only executes runs without a result for the same code, days and settings. Exit code 1 if a run
    failed.
    """
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    from kelpfront.lab.experiments.plan import PlanError, read_plan
    from kelpfront.lab.experiments.results import ResultsError, opened
    from kelpfront.lab.experiments.runner import run_plan

    builtin_path = PLANS / f"{plan}.yaml"
    try:
        text = (builtin_path if len(plan.parts) == 1 and builtin_path.exists() else plan).read_text(
            encoding="utf-8"
        )
        parsed_plan = read_plan(text, str(plan), day_text)
    except OSError as error:
        fail(f"{plan}: {error.strerror}; a file or one of {', '.join(path.stem for path in PLANS.glob('*'))}")
    except (PlanError, UnicodeDecodeError) as error:
        fail(str(error))
    path = results or Path(f"{parsed_plan.name}.sqlite")
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
    )
    try:
        with (
            opened(path) as stored_results,
            Progress(*columns, console=Console(stderr=True), disable=not sys.stderr.isatty()) as progress,
        ):
            task = progress.add_task(parsed_plan.name, total=len(parsed_plan.runs()))

            def print_result(result: Result, done: int, _: int) -> None:
                progress.update(task, completed=done)
                if result.error:
                    run_name = f"{result.scenario}, {result.variant}, seed {result.seed}"
                    click.echo(f"{run_name}: {result.error}", err=True)

            run_count, failed_count = run_plan(parsed_plan, stored_results, processes, print_result)
    except (ResultsError, RuntimeError) as error:
        fail(str(error))
    click.echo(f"{path}: {len(parsed_plan.runs())} runs, {run_count} of them now, {failed_count} broke off")
    if failed_count:
        raise SystemExit(1)


@click.command("report")
@click.argument("results", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    help="Folder of the page; by default next to the results.",
)
@click.option("--seed", type=int, help="Seed of the run that is plotted over time; the first if absent.")
@click.option(
    "--beside", default="", help="Variant that is plotted next to the baseline; the first if absent."
)
def report(results: Path, out: Path | None, seed: int | None, beside: str) -> None:
    """Write a page with plots of an experiment's results."""
    from kelpfront.lab.experiments.results import ResultsError, opened
    from kelpfront.lab.report.page import ReportError, make

    try:
        with opened(results) as stored_results:
            for path in make(stored_results, out or results.with_suffix(""), seed, beside):
                click.echo(str(path))
    except (ResultsError, ReportError) as error:
        fail(str(error))
