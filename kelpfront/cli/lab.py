"""`kelpfront lab`: the commands of the laboratory, with those that run whole clusters or play scenarios."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import sys
import tempfile
import time
from pathlib import Path
from resource import RUSAGE_SELF, getrusage
from typing import TYPE_CHECKING, Any

import click

from kelpfront.cli.common import console, fail, plain_table, set_option
from kelpfront.cli.costs import COSTS
from kelpfront.cli.experiments import day_text, experiment, report
from kelpfront.cli.fleet import fleet
from kelpfront.cli.load import load

if TYPE_CHECKING:
    from kelpfront.lab.timeline.script import Day


@click.group()
def lab() -> None:
    """Run experiments on the whole program, with processes on loopback or in virtual time."""


POLICIES = ("rules", "random", "least-loaded", "no-guardrails", "perfect")
for command in (load, experiment, report, fleet, *COSTS):
    lab.add_command(command)


@lab.command("agent-restarts")
@click.option("--seed", default=1, show_default=True, help="Seed of all random numbers.")
@click.option("--restarts", default=50, show_default=True, help="Number of kills, over all agents.")
@click.option("--rate", default=40.0, show_default=True, help="Tasks per second.")
@click.option("--seconds", default=60.0, show_default=True, help="How long tasks are submitted, in seconds.")
@click.option("--agents", default=2, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option("--keep", type=click.Path(path_type=Path), help="Keep the files of the run in this folder.")
def agent_restarts(
    seed: int, restarts: int, rate: float, seconds: float, agents: int, as_json: bool, keep: Path | None
) -> None:
    """Kill node agents repeatedly under load, and check the starts and exits that the tasks recorded.

    Exit code 1 if a task was lost or started twice, or an exit was not reported.
    """
    from kelpfront.lab.restarts import Restarts, RestartsShape
    from kelpfront.logs import configure_logs

    configure_logs("warning", "auto")
    shape = RestartsShape(seed, restarts, rate, seconds, agents)
    shows_progress = sys.stderr.isatty() or not as_json

    def print_progress(text: str) -> None:
        if shows_progress:
            click.echo(text, err=True)

    with contextlib.ExitStack() as stack:
        if keep is None:
            keep = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="kelpfront-agents-")))
        figures = asyncio.run(Restarts(shape, keep, print_progress).run())
    click.echo(json.dumps(figures, indent=None if as_json else 2))
    if any(figures[name] for name in ("lost", "duplicated", "unreported_exits", "violations")):
        raise SystemExit(1)


@lab.command("fronts")
@click.option("--tasks", default=2000, show_default=True, help="Tasks of the mix, for each client library.")
@click.option(
    "--both", default=200, show_default=True, help="Unsafe jobs submitted by both protocols at once."
)
@click.option("--machines", default=12, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--level", default="", help="Pin the placers to this level of reduced service and send one job at a time."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def fronts(tasks: int, both: int, machines: int, seed: int, level: str, as_json: bool) -> None:
    """Submit the same work through each client library and compare the outcome of each task.

    Exit code 1 if an outcome differs, a task started twice or an answer is missing.
    """
    from kelpfront.lab.fronts import Fronts, FrontsShape
    from kelpfront.logs import configure_logs

    configure_logs("error", "auto")

    def print_progress(text: str) -> None:
        if sys.stderr.isatty() or not as_json:
            click.echo(text, err=True)

    figures = asyncio.run(Fronts(FrontsShape(seed, tasks, machines, both, level), print_progress).run())
    click.echo(json.dumps(figures, indent=None if as_json else 2))
    if any(figures[name] for name in ("differences", "double_starts", "violations")):
        raise SystemExit(1)


@lab.command("reconnect")
@click.option("--clients", default=1000, show_default=True)
@click.option(
    "--spread",
    default=5.0,
    show_default=True,
    help="Seconds over which clients have to spread their reconnections.",
)
@click.option("--down", default=1.0, show_default=True, help="Seconds until the placer is restarted.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def reconnect(clients: int, spread: float, down: float, seed: int, as_json: bool) -> None:
    """Kill and restart a placer with many connected clients, half per protocol, and check how they reconnect.

    Exit code 1 if a retry came after its deadline, a client did not reconnect within twice --spread of the
    restart, some 100 ms had more than three times their even share of reconnections, or retries exceeded
    their budget.
    """
    from kelpfront.client.retry import RETRY_BURST, RETRY_SHARE
    from kelpfront.lab.process import raise_file_limit
    from kelpfront.lab.reconnect import HerdShape, Reconnect
    from kelpfront.logs import configure_logs

    configure_logs("error", "auto")
    raise_file_limit()

    def print_progress(text: str) -> None:
        if sys.stderr.isatty() or not as_json:
            click.echo(text, err=True)

    with tempfile.TemporaryDirectory(prefix="kelpfront-herd-") as folder:
        shape = HerdShape(seed, clients, spread, down)
        figures = asyncio.run(Reconnect(shape, Path(folder), print_progress).run())
    click.echo(json.dumps(figures, indent=None if as_json else 2))
    over_budget = figures["retries"] > RETRY_SHARE * figures["first_tries"] + RETRY_BURST * clients
    has_late_clients = figures["retries_after_deadline"] or figures["within_interval"] < clients
    if has_late_clients or over_budget or figures["worst_100ms"] > 3:
        raise SystemExit(1)


@lab.command("levels")
@click.option(
    "--script", "scripts", multiple=True, help="Name of a script, or demand-N; all scripts if absent."
)
@click.option("--scheme", "schemes", multiple=True, type=click.Choice(["levels", "off", "bound", "aimd"]))
@click.option(
    "--goodput", is_flag=True, help="Run with 1, 2, 4 and 10 times the demand that the fleet can handle."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--processes", default=os.cpu_count() or 1, show_default="one a core", help="Concurrent runs.")
@click.option(
    "--plot", "plot_to", type=click.Path(path_type=Path), help="Plot worth and levels to a PNG file."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def levels(
    scripts: tuple[str, ...],
    schemes: tuple[str, ...],
    goodput: bool,
    seed: int,
    processes: int,
    plot_to: Path | None,
    as_json: bool,
) -> None:
    """Compare levels of reduced service in virtual time with no levels and two textbook schemes.

    Exit code 1 if a rule was broken, or levels changed more often than the script allows.
    """
    from kelpfront.lab.levels import SCHEMES, plot, run_all
    from kelpfront.lab.levelscripts import SCRIPTS

    names = list(scripts) or ([] if goodput else list(SCRIPTS))
    names += [f"demand-{times}" for times in (1, 2, 4, 10)] if goodput else []
    for name in names:
        if name not in SCRIPTS and not re.fullmatch(r"demand-[0-9.]+", name):
            fail(f"--script: {name!r} is not one of {', '.join(SCRIPTS)} or demand-N")
    selected_schemes = tuple(scheme for scheme in SCHEMES if not schemes or scheme in schemes)

    def print_progress(text: str) -> None:
        if sys.stderr.isatty() or not as_json:
            click.echo(text, err=True)

    results = run_all(names, selected_schemes, seed, print_progress, processes)
    if plot_to is not None:
        plot(results, plot_to)
    for result in results:
        del result["timeline"]
    if as_json:
        click.echo(json.dumps({"results": results}))
    else:
        _print_levels_table(results)
    if any(result["violations"] or result["changes"] > result["changes_most"] for result in results):
        raise SystemExit(1)


def _print_levels_table(results: list[dict[str, Any]]) -> None:
    columns = "SCRIPT SCHEME WORTH PLACED TOP-IN-AIM TOP-PLACED REFUSED-SOON CHANGES ENTER-S LEAVE-S BROKEN"
    table = plain_table(*columns.split())
    for result in results:
        table.add_row(
            result["script"],
            result["scheme"],
            str(result["worth"]),
            f"{result['placed']}/{result['asked']}",
            f"{result['dear_in_aim']:.1%}",
            f"{result['dear_placed']:.1%}",
            f"{result['refused_soon']:.0%}",
            f"{result['changes']}/{result['changes_most']:g}",
            " ".join(map(str, result["enter_s"])),
            " ".join(map(str, result["leave_s"])),
            str(result["violations"]),
        )
    console().print(table)


# ---- Days played in virtual time --------------------------------------------------------------------------


def _read_day(name: str, changes: tuple[str, ...] = ()) -> Day:
    """Return a built-in day by its name, or the day of a file, with its fields overridden by FIELD=VALUE."""
    from kelpfront.lab.timeline.script import ScriptError, read_day

    try:
        text = day_text(name)
        return read_day(_override_fields(text, changes), str(name))
    except OSError as error:
        fail(f"{name}: {error.strerror}; expected a file or one of {', '.join(_builtin_days())}")
    except UnicodeDecodeError as error:
        fail(f"{name}: is not UTF-8: {error.reason}")
    except ScriptError as error:
        fail(str(error))


def _override_fields(text: str, changes: tuple[str, ...]) -> str:
    """Return the YAML of a day with its fields overridden by FIELD=VALUE; without any, the same text."""
    import yaml

    if not changes:
        return text
    try:
        data = yaml.safe_load(text)
        for change in changes:
            field, equals, value = change.partition("=")
            if not equals or not isinstance(data, dict):
                fail(f"--day: {change!r} is not FIELD=VALUE")
            data[field] = yaml.safe_load(value)
    except yaml.YAMLError as error:
        fail(f"--day: is not YAML: {getattr(error, 'problem', error)}")
    return yaml.safe_dump(data, sort_keys=False)


def _builtin_days() -> list[str]:
    return sorted(path.stem for path in (Path(__file__).parent.parent / "lab" / "days").glob("*.yaml"))


@lab.command("emulate")
@click.argument("day")
@click.option("--seed", default=1, show_default=True)
@click.option("--log", is_flag=True, help="Print the log of the program, with virtual seconds.")
@click.option("--policy", type=click.Choice(POLICIES), default="rules", show_default=True)
@set_option
@click.option(
    "--sockets", is_flag=True, help="Play in real time, on sockets of this host, with the policy `rules`."
)
@click.option("--day", "changes", multiple=True, metavar="FIELD=VALUE", help="Override a field of the day.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def emulate_day(
    day: str,
    seed: int,
    log: bool,
    policy: str,
    overrides: tuple[str, ...],
    sockets: bool,
    changes: tuple[str, ...],
    as_json: bool,
) -> None:
    """Play a day in virtual time: real placers, machines and clients on a network in memory.

    DAY is a file, or one of the built-in days: bad, calm, clocks, kinds, partition, rolling, room,
    silent, stalled. The same day and seed give the same digest on every machine. Exit code 1 if a rule was
    broken.
    """
    from kelpfront.config import ConfigError
    from kelpfront.lab.policies import controller_for
    from kelpfront.lab.timeline.emulation import play

    def print_log_line(line: dict[str, Any]) -> None:
        click.echo(json.dumps(line), err=True)

    loaded_day = _read_day(day, changes)
    if sockets:
        from kelpfront.lab.timeline.script import ScriptError
        from kelpfront.lab.timeline.sockets import play_on_sockets
        from kelpfront.logs import configure_logs

        configure_logs("error", "auto")
        try:
            figures = play_on_sockets(loaded_day, seed)
        except ScriptError as error:
            fail(str(error))
        click.echo(json.dumps(figures, indent=None if as_json else 2))
        if figures["violations"]:
            raise SystemExit(1)
        return
    started_s = time.perf_counter()
    try:
        played = play(loaded_day, seed, print_log_line if log else None, controller_for(policy), overrides)
    except ConfigError as error:
        fail(f"--set: {error}")
    figures = played.figures
    elapsed_s, virtual_s = time.perf_counter() - started_s, loaded_day.seconds + loaded_day.settle_s
    for text in played.blocked:
        click.echo(f"a callback blocked the event loop for {text}", err=True)
    peak_mib = getrusage(RUSAGE_SELF).ru_maxrss / 1024
    click.echo(
        f"{virtual_s:g} virtual s in {elapsed_s:.1f} s ({virtual_s / elapsed_s:.2f}/s), {peak_mib:.0f} MiB",
        err=True,
    )
    click.echo(json.dumps(figures, indent=None if as_json else 2))
    if figures["violations"] or figures["reached_outside"]:
        raise SystemExit(1)


@lab.group("script")
def script() -> None:
    """Check days for `lab emulate`, which are YAML files, or print their schema."""


@script.command("check")
@click.argument("files", nargs=-1, required=True)
def check_script(files: tuple[str, ...]) -> None:
    """Check days without playing them; print problems with their position."""
    for name in files:
        day = _read_day(name)
        fields = day.script
        click.echo(
            f"{name}: {fields.seconds:g} s, {fields.machines} machines, {fields.placers} placers, "
            f"{len(fields.faults)} faults, {len(fields.kills)} kills, {len(fields.partitions)} partitions"
        )


@script.command("schema")
def script_schema() -> None:
    """Print the JSON schema of a day, for editors."""
    from kelpfront.lab.timeline.script import schema

    click.echo(json.dumps(schema(), indent=2))


@lab.command("bound")
@click.argument("day")
@click.option("--seed", default=1, show_default=True)
@click.option("--slot", default=500.0, show_default=True, help="Length of one time step in milliseconds.")
@click.option("--exact", is_flag=True, help="Model single machines and whole tasks; for short days only.")
@click.option("--policy", type=click.Choice(POLICIES), default="rules", show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def bound(day: str, seed: int, slot: float, exact: bool, policy: str, as_json: bool) -> None:
    """Play DAY and compare its worth with the optimum that an optimiser finds with hindsight.

    The bound is an overestimate: no placer can reach it, since the optimiser knows all future events.
    """
    from kelpfront.lab.bound import BoundError, best, machines_of, work_of
    from kelpfront.lab.policies import controller_for
    from kelpfront.lab.timeline.emulation import play

    if not 10.0 <= slot <= 60_000.0:
        fail(f"--slot: {slot:g} is not between 10 and 60000")
    played = play(_read_day(day), seed, controller_class=controller_for(policy))
    requested_work = work_of(played.lines, played.config, 1.0, 1.0)
    try:
        optimum = best(
            requested_work, machines_of(played.lines, played.config), slot, "exact" if exact else "pool"
        )
    except BoundError as error:
        fail(str(error))
    achieved_worth = played.figures["measures"]["worth"]
    figures = {
        "day": played.figures["day"],
        "policy": policy,
        "seed": seed,
        "worth": round(achieved_worth),
        "bound": round(optimum.worth),
        "share": round(achieved_worth / optimum.worth, 4) if optimum.worth else 1.0,
        "placed": played.figures["answers"].get("Placed", 0),
        "bound_placed": round(optimum.placed, 1),
        "asked": len(requested_work),
        "variables": optimum.variables,
    }
    click.echo(json.dumps(figures, indent=None if as_json else 2))


@lab.command("traces")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True, dir_okay=False)
)
@click.option("--slowest", default=3, show_default=True, help="Number of the slowest placed tasks to show.")
@click.option(
    "--failed", default=3, show_default=True, help="Number of refused, failed or lost tasks to show."
)
@click.option("--task", default="", help="Show only the task with this uid.")
def traces(files: tuple[Path, ...], slowest: int, failed: int, task: str) -> None:
    """Show traces of tasks that a placer wrote ([tracing] file) as waterfalls of how their time was spent.

    Bars are scaled to the time to the answer; times are milliseconds from the submission.
    """
    from kelpfront.lab.traces import TracesError, chosen, read_traces, waterfall

    try:
        all_traces = read_traces(files)
    except TracesError as error:
        fail(str(error))
    selected = chosen(all_traces, slowest, failed, task)
    if not selected:
        fail("no trace of that task" if task else "no traces in these files")
    for trace in selected:
        table = plain_table("SPAN", "MS", "")
        for row in waterfall(trace):
            table.add_row(*row)
        console().print(table)
        click.echo()


@lab.command("search")
@click.option("--runs", default=100, show_default=True, help="Number of random days, each with its own seed.")
@click.option("--seed", default=1, show_default=True, help="Seed of the first day.")
@click.option("--wrong", default="", help="Name of a deliberately faulty placer to search with.")
@click.option("--planted", is_flag=True, help="Report after how many runs each faulty placer is detected.")
@click.option("--processes", default=os.cpu_count() or 1, show_default="one a core")
@click.option("--most", default=5, show_default=True, help="Stop after this many days that break a rule.")
@click.option("--keep", type=click.Path(path_type=Path), help="Write these days, minimised, to a folder.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def search_days(
    runs: int,
    seed: int,
    wrong: str,
    planted: bool,
    processes: int,
    most: int,
    keep: Path | None,
    as_json: bool,
) -> None:
    """Play random days in virtual time, check each against the rules and minimise those that break one.

    Exit code 1 if a day broke a rule; with --planted, if a faulty placer was not detected.
    """
    from kelpfront.lab.timeline.search import find_all_planted, search
    from kelpfront.lab.timeline.search import keep as write_day
    from kelpfront.lab.wrongplacers import WRONG

    if wrong and wrong not in WRONG:
        fail(f"--wrong: {wrong!r} is not one of {', '.join(WRONG)}")

    def print_progress(text: str) -> None:
        if sys.stderr.isatty() or not as_json:
            click.echo(text, err=True)

    if planted:
        detections = find_all_planted(seed, runs, processes, print_progress)
        click.echo(
            json.dumps([{"name": found.name, "runs": found.runs, "rule": found.rule} for found in detections])
        )
        if any(found.runs is None for found in detections):
            raise SystemExit(1)
        return
    run_count, violating_days = search(seed, runs, wrong, processes, most, print_progress)
    for violating_day in violating_days:
        if keep is not None:
            click.echo(f"kept as {write_day(violating_day, keep)}", err=True)
    days = [
        {
            "seed": found.seed,
            "rule": found.rule,
            "example": found.example,
            "shrunk_in": found.runs,
            "day": found.data,
        }
        for found in violating_days
    ]
    click.echo(json.dumps({"runs": run_count, "found": days}, indent=None if as_json else 2))
    if violating_days:
        raise SystemExit(1)
