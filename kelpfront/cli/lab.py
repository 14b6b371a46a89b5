"""Commands of the laboratory."""

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
    """Experiments on the whole program, with processes on loopback."""


POLICIES = ("rules", "random", "least-loaded", "no-guardrails", "perfect")
for command in (load, experiment, report, fleet, *COSTS):
    lab.add_command(command)


@lab.command("agent-restarts")
@click.option("--seed", default=1, show_default=True, help="Of all chance.")
@click.option("--restarts", default=50, show_default=True, help="Kills of an agent, over all agents.")
@click.option("--rate", default=40.0, show_default=True, help="Tasks a second.")
@click.option("--seconds", default=60.0, show_default=True, help="How long work comes in.")
@click.option("--agents", default=2, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
@click.option("--keep", type=click.Path(path_type=Path), help="Leave what was written in this folder.")
def agent_restarts(
    seed: int, restarts: int, rate: float, seconds: float, agents: int, as_json: bool, keep: Path | None
) -> None:
    """Kill node agents again and again under load, and count from what the tasks themselves wrote.

    Exit code 1 if a task was lost or started twice, or an exit was not told.
    """
    from kelpfront.lab.restarts import Restarts, RestartsShape
    from kelpfront.logs import configure_logs

    configure_logs("warning", "auto")
    shape = RestartsShape(seed, restarts, rate, seconds, agents)
    interactive = sys.stderr.isatty() or not as_json

    def say(text: str) -> None:
        if interactive:
            click.echo(text, err=True)

    with contextlib.ExitStack() as stack:
        if keep is None:
            keep = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="kelpfront-agents-")))
        figures = asyncio.run(Restarts(shape, keep, say).run())
    click.echo(json.dumps(figures, indent=None if as_json else 2))
    if any(figures[name] for name in ("lost", "duplicated", "unreported_exits", "violations")):
        raise SystemExit(1)


@lab.command("fronts")
@click.option("--tasks", default=2000, show_default=True, help="Tasks of the mix, by each way.")
@click.option("--both", default=200, show_default=True, help="Unsafe jobs by both protocols at once.")
@click.option("--machines", default=12, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--level", default="", help="Pin the placers to a level of reduced service, one job at a time.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def fronts(tasks: int, both: int, machines: int, seed: int, level: str, as_json: bool) -> None:
    """Drive the same work through each client library and compare how it ends, task by task.

    Exit code 1 if an end differs, something started twice or an answer is missing.
    """
    from kelpfront.lab.fronts import Fronts, FrontsShape
    from kelpfront.logs import configure_logs

    configure_logs("error", "auto")

    def say(text: str) -> None:
        if sys.stderr.isatty() or not as_json:
            click.echo(text, err=True)

    figures = asyncio.run(Fronts(FrontsShape(seed, tasks, machines, both, level), say).run())
    click.echo(json.dumps(figures, indent=None if as_json else 2))
    if any(figures[name] for name in ("differences", "double_starts", "violations")):
        raise SystemExit(1)


@lab.command("reconnect")
@click.option("--clients", default=1000, show_default=True)
@click.option("--spread", default=5.0, show_default=True, help="Seconds over which they are to come back.")
@click.option("--down", default=1.0, show_default=True, help="Seconds until the placer is started again.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def reconnect(clients: int, spread: float, down: float, seed: int, as_json: bool) -> None:
    """Kill and restart a placer with many clients connected, half by each protocol, and see them come back.

    Exit code 1 if a try was made after its deadline, a client did not come back in the stated time, some
    100 ms held more than three times its even share, or retries were more than their budget.
    """
    from kelpfront.client.retry import RETRY_BURST, RETRY_SHARE
    from kelpfront.lab.process import raise_file_limit
    from kelpfront.lab.reconnect import HerdShape, Reconnect
    from kelpfront.logs import configure_logs

    configure_logs("error", "auto")
    raise_file_limit()

    def say(text: str) -> None:
        if sys.stderr.isatty() or not as_json:
            click.echo(text, err=True)

    with tempfile.TemporaryDirectory(prefix="kelpfront-herd-") as folder:
        shape = HerdShape(seed, clients, spread, down)
        figures = asyncio.run(Reconnect(shape, Path(folder), say).run())
    click.echo(json.dumps(figures, indent=None if as_json else 2))
    over_budget = figures["retries"] > RETRY_SHARE * figures["first_tries"] + RETRY_BURST * clients
    wrong = figures["retries_after_deadline"] or figures["within_interval"] < clients
    if wrong or over_budget or figures["worst_100ms"] > 3:
        raise SystemExit(1)


@lab.command("levels")
@click.option(
    "--script", "scripts", multiple=True, help="A script's name, or demand-N; all scripts if absent."
)
@click.option("--scheme", "schemes", multiple=True, type=click.Choice(["levels", "off", "bound", "aimd"]))
@click.option("--goodput", is_flag=True, help="Demand of 1, 2, 4 and 10 times what the fleet takes.")
@click.option("--seed", default=1, show_default=True)
@click.option("--processes", default=os.cpu_count() or 1, show_default="one a core", help="Runs at a time.")
@click.option("--plot", "plot_to", type=click.Path(path_type=Path), help="Draw worth and levels as PNG.")
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
    """Judge levels of reduced service in virtual time, beside none and two textbook schemes.

    Exit code 1 if a rule was broken, or levels changed more often than the script's limit.
    """
    from kelpfront.lab.levels import SCHEMES, plot, run_all
    from kelpfront.lab.levelscripts import SCRIPTS

    names = list(scripts) or ([] if goodput else list(SCRIPTS))
    names += [f"demand-{times}" for times in (1, 2, 4, 10)] if goodput else []
    for name in names:
        if name not in SCRIPTS and not re.fullmatch(r"demand-[0-9.]+", name):
            fail(f"--script: {name!r} is not one of {', '.join(SCRIPTS)}, demand-N")
    chosen = tuple(scheme for scheme in SCHEMES if not schemes or scheme in schemes)

    def say(text: str) -> None:
        if sys.stderr.isatty() or not as_json:
            click.echo(text, err=True)

    results = run_all(names, chosen, seed, say, processes)
    if plot_to is not None:
        plot(results, plot_to)
    for result in results:
        del result["timeline"]
    if as_json:
        click.echo(json.dumps({"results": results}))
    else:
        _levels_table(results)
    if any(one["violations"] or one["changes"] > one["changes_most"] for one in results):
        raise SystemExit(1)


def _levels_table(results: list[dict[str, Any]]) -> None:
    columns = "SCRIPT SCHEME WORTH PLACED DEAR-IN-AIM DEAR-PLACED REFUSED-SOON CHANGES ENTER-S LEAVE-S BROKEN"
    table = plain_table(*columns.split())
    for one in results:
        table.add_row(
            one["script"],
            one["scheme"],
            str(one["worth"]),
            f"{one['placed']}/{one['asked']}",
            f"{one['dear_in_aim']:.1%}",
            f"{one['dear_placed']:.1%}",
            f"{one['refused_soon']:.0%}",
            f"{one['changes']}/{one['changes_most']:g}",
            " ".join(map(str, one["enter_s"])),
            " ".join(map(str, one["leave_s"])),
            str(one["violations"]),
        )
    console().print(table)


# ---- Virtual time -----------------------------------------------------------------------------------------


def _read_day(name: str, changes: tuple[str, ...] = ()) -> Day:
    """A day of the laboratory's own by name, or of a file; with FIELD=VALUE put over its fields."""
    from kelpfront.lab.timeline.script import ScriptError, read_day

    try:
        text = day_text(name)
        return read_day(_changed(text, changes), str(name))
    except OSError as error:
        fail(f"{name}: {error.strerror}; a file, or one of {', '.join(_own_days())}")
    except UnicodeDecodeError as error:
        fail(f"{name}: is not UTF-8: {error.reason}")
    except ScriptError as error:
        fail(str(error))


def _changed(text: str, changes: tuple[str, ...]) -> str:
    """A day's YAML with FIELD=VALUE put over its fields; what is no YAML is left for its reader to tell."""
    import yaml

    if not changes:
        return text
    try:
        data = yaml.safe_load(text)
        for change in changes:
            field, mark, value = change.partition("=")
            if not mark or not isinstance(data, dict):
                fail(f"--day: {change!r} is not FIELD=VALUE")
            data[field] = yaml.safe_load(value)
    except yaml.YAMLError as error:
        fail(f"--day: is not YAML: {getattr(error, 'problem', error)}")
    return yaml.safe_dump(data, sort_keys=False)


def _own_days() -> list[str]:
    return sorted(path.stem for path in (Path(__file__).parent.parent / "lab" / "days").glob("*.yaml"))


@lab.command("emulate")
@click.argument("day")
@click.option("--seed", default=1, show_default=True)
@click.option("--log", is_flag=True, help="Show what the program logs, with virtual seconds.")
@click.option("--policy", type=click.Choice(POLICIES), default="rules", show_default=True)
@set_option
@click.option("--sockets", is_flag=True, help="In real time, on sockets of this host; decided by the rules.")
@click.option("--day", "changes", multiple=True, metavar="FIELD=VALUE", help="Put over a field of the day.")
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

    DAY is a file, or one of the laboratory's own: bad, calm, clocks, kinds, partition, rolling, room,
    silent, stalled. The same day and seed give the same digest on every machine. Exit code 1 if a rule was
    broken.
    """
    from kelpfront.config import ConfigError
    from kelpfront.lab.policies import controller_for
    from kelpfront.lab.timeline.emulation import play

    def show(line: dict[str, Any]) -> None:
        click.echo(json.dumps(line), err=True)

    its = _read_day(day, changes)
    if sockets:
        from kelpfront.lab.timeline.script import ScriptError
        from kelpfront.lab.timeline.sockets import play_on_sockets
        from kelpfront.logs import configure_logs

        configure_logs("error", "auto")
        try:
            figures = play_on_sockets(its, seed)
        except ScriptError as error:
            fail(str(error))
        click.echo(json.dumps(figures, indent=None if as_json else 2))
        if figures["violations"]:
            raise SystemExit(1)
        return
    began = time.perf_counter()
    try:
        played = play(its, seed, show if log else None, controller_for(policy), overrides)
    except ConfigError as error:
        fail(f"--set: {error}")
    figures = played.figures
    took, virtual = time.perf_counter() - began, its.seconds + its.settle_s
    for text in played.blocked:
        click.echo(f"a callback blocked the loop for {text}", err=True)
    peak = getrusage(RUSAGE_SELF).ru_maxrss / 1024
    click.echo(f"{virtual:g} virtual s in {took:.1f} s ({virtual / took:.2f} a s), {peak:.0f} MiB", err=True)
    click.echo(json.dumps(figures, indent=None if as_json else 2))
    if figures["violations"] or figures["reached_outside"]:
        raise SystemExit(1)


@lab.group("script")
def script() -> None:
    """Days for `lab emulate`: YAML files."""


@script.command("check")
@click.argument("files", nargs=-1, required=True)
def check_script(files: tuple[str, ...]) -> None:
    """Check days without playing them; every problem is named with its place."""
    for name in files:
        day = _read_day(name)
        its = day.script
        click.echo(
            f"{name}: {its.seconds:g} s, {its.machines} machines, {its.placers} placers, "
            f"{len(its.faults)} faults, {len(its.kills)} kills, {len(its.partitions)} partitions"
        )


@script.command("schema")
def script_schema() -> None:
    """Print the JSON schema of a day, for editors."""
    from kelpfront.lab.timeline.script import schema

    click.echo(json.dumps(schema(), indent=2))


@lab.command("bound")
@click.argument("day")
@click.option("--seed", default=1, show_default=True)
@click.option("--slot", default=500.0, show_default=True, help="Milliseconds of one step of time.")
@click.option("--exact", is_flag=True, help="Single machines and whole tasks; for short days only.")
@click.option("--policy", type=click.Choice(POLICIES), default="rules", show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def bound(day: str, seed: int, slot: float, exact: bool, policy: str, as_json: bool) -> None:
    """Play DAY and say how far its worth is from the best that an optimiser finds with hindsight.

    The bound errs to the high side: no placer can reach it, since it knows what will come and go.
    """
    from kelpfront.lab.bound import BoundError, best, machines_of, work_of
    from kelpfront.lab.policies import controller_for
    from kelpfront.lab.timeline.emulation import play

    if not 10.0 <= slot <= 60_000.0:
        fail(f"--slot: {slot:g} is not between 10 and 60000")
    played = play(_read_day(day), seed, controller_class=controller_for(policy))
    work = work_of(played.lines, played.config, 1.0, 1.0)
    try:
        found = best(work, machines_of(played.lines, played.config), slot, "exact" if exact else "pool")
    except BoundError as error:
        fail(str(error))
    reached = played.figures["measures"]["worth"]
    figures = {
        "day": played.figures["day"],
        "policy": policy,
        "seed": seed,
        "worth": round(reached),
        "bound": round(found.worth),
        "share": round(reached / found.worth, 4) if found.worth else 1.0,
        "placed": played.figures["answers"].get("Placed", 0),
        "bound_placed": round(found.placed, 1),
        "asked": len(work),
        "variables": found.variables,
    }
    click.echo(json.dumps(figures, indent=None if as_json else 2))


@lab.command("traces")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True, dir_okay=False)
)
@click.option("--slowest", default=3, show_default=True, help="Of those that were placed.")
@click.option("--failed", default=3, show_default=True, help="Of those that were refused, failed or lost.")
@click.option("--task", default="", help="Only this one, by its uid.")
def traces(files: tuple[Path, ...], slowest: int, failed: int, task: str) -> None:
    """Show traces of tasks that a placer wrote ([tracing] file) as waterfalls: where their time went.

    Bars are to the scale of the time to the answer; times are milliseconds from the submission.
    """
    from kelpfront.lab.traces import TracesError, chosen, read_traces, waterfall

    try:
        found = read_traces(files)
    except TracesError as error:
        fail(str(error))
    shown = chosen(found, slowest, failed, task)
    if not shown:
        fail("no trace of that task" if task else "no traces in these files")
    for one in shown:
        table = plain_table("WHAT", "MS", "")
        for row in waterfall(one):
            table.add_row(*row)
        console().print(table)
        click.echo()


@lab.command("search")
@click.option("--runs", default=100, show_default=True, help="Random days, one a seed.")
@click.option("--seed", default=1, show_default=True, help="The first.")
@click.option("--wrong", default="", help="Search with a placer that is wrong on purpose, by its name.")
@click.option("--planted", is_flag=True, help="Say after how many runs each wrong placer is found.")
@click.option("--processes", default=os.cpu_count() or 1, show_default="one a core")
@click.option("--most", default=5, show_default=True, help="Stop at so many days that break a rule.")
@click.option("--keep", type=click.Path(path_type=Path), help="Write these days, made small, to a folder.")
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
    """Play random days in virtual time and judge each by the rules; what fails is made small.

    Exit code 1 if a day broke a rule; with --planted, if a wrong placer was not found.
    """
    from kelpfront.lab.timeline.search import find_all_planted, search
    from kelpfront.lab.timeline.search import keep as keep_day
    from kelpfront.lab.wrongplacers import WRONG

    if wrong and wrong not in WRONG:
        fail(f"--wrong: {wrong!r} is not one of {', '.join(WRONG)}")

    def say(text: str) -> None:
        if sys.stderr.isatty() or not as_json:
            click.echo(text, err=True)

    if planted:
        every = find_all_planted(seed, runs, processes, say)
        click.echo(json.dumps([{"name": p.name, "runs": p.runs, "rule": p.rule} for p in every]))
        if any(p.runs is None for p in every):
            raise SystemExit(1)
        return
    done, found = search(seed, runs, wrong, processes, most, say)
    for one in found:
        if keep is not None:
            click.echo(f"kept as {keep_day(one, keep)}", err=True)
    days = [
        {"seed": one.seed, "rule": one.rule, "example": one.example, "shrunk_in": one.runs, "day": one.data}
        for one in found
    ]
    click.echo(json.dumps({"runs": done, "found": days}, indent=None if as_json else 2))
    if found:
        raise SystemExit(1)
