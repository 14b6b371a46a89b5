"""`kelpfront lab experiment` and `kelpfront lab report`: many runs, and a page made from their results.

Planning, running and drawing is left to `kelpfront.lab.experiments` and `kelpfront.lab.report`.
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
    """Return the text of a scenario: of the laboratory's own by name, else of a file.

    Raises:
        OSError: there is no such file.
    """
    own = DAYS / f"{name}.yaml"
    path = own if "/" not in name and own.exists() else Path(name)
    return path.read_text(encoding="utf-8")


@click.command("experiment")
@click.argument("plan", type=click.Path(path_type=Path))
@click.option(
    "--results", type=click.Path(path_type=Path, dir_okay=False), help="The file to go on with; NAME.sqlite."
)
@click.option("--processes", default=os.cpu_count() or 1, show_default="one a core")
def experiment(plan: Path, results: Path | None, processes: int) -> None:
    """Run the scenarios, variants and seeds of PLAN, a YAML file or the laboratory's own `policies`.

    Results go to an SQLite file here, each as soon as it is there. Run again, it goes on with what
    is missing; runs of other code, days or settings do not count as there. Exit code 1 if a run broke off.
    """
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    from kelpfront.lab.experiments.plan import PlanError, read_plan
    from kelpfront.lab.experiments.results import ResultsError, opened
    from kelpfront.lab.experiments.runner import run_plan

    own = PLANS / f"{plan}.yaml"
    try:
        text = (own if len(plan.parts) == 1 and own.exists() else plan).read_text(encoding="utf-8")
        read = read_plan(text, str(plan), day_text)
    except OSError as error:
        fail(f"{plan}: {error.strerror}; a file, or one of {', '.join(its.stem for its in PLANS.glob('*'))}")
    except (PlanError, UnicodeDecodeError) as error:
        fail(str(error))
    path = results or Path(f"{read.name}.sqlite")
    columns = (
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
    )
    try:
        with (
            opened(path) as stored_results,
            Progress(*columns, console=Console(stderr=True), disable=not sys.stderr.isatty()) as bar,
        ):
            task = bar.add_task(read.name, total=len(read.runs()))

            def print_result(result: Result, done: int, _: int) -> None:
                bar.update(task, completed=done)
                if result.error:
                    place = f"{result.scenario}, {result.variant}, seed {result.seed}"
                    click.echo(f"{place}: {result.error}", err=True)

            run_count, failed_count = run_plan(read, stored_results, processes, print_result)
    except (ResultsError, RuntimeError) as error:
        fail(str(error))
    click.echo(f"{path}: {len(read.runs())} runs, {run_count} of them now, {failed_count} broke off")
    if failed_count:
        raise SystemExit(1)


@click.command("report")
@click.argument("results", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--out", type=click.Path(path_type=Path, file_okay=False), help="Folder; beside the results.")
@click.option("--seed", type=int, help="Whose day is drawn second by second; the first if absent.")
@click.option("--beside", default="", help="The variant drawn next to the baseline; the first if absent.")
def report(results: Path, out: Path | None, seed: int | None, beside: str) -> None:
    """Make a page and pictures of an experiment's results."""
    from kelpfront.lab.experiments.results import ResultsError, opened
    from kelpfront.lab.report.page import ReportError, make

    try:
        with opened(results) as stored_results:
            for path in make(stored_results, out or results.with_suffix(""), seed, beside):
                click.echo(str(path))
    except (ResultsError, ReportError) as error:
        fail(str(error))
