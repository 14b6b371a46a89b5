"""What commands share: options, errors as exit codes, and output for people and for programs.

What an option means to a command, and which columns its tables have, is left to the command.
"""

from __future__ import annotations

import asyncio
import functools
import json
import signal
import sys
from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any, NoReturn, ParamSpec, TypeVar

import click
import yaml
from rich.console import Console
from rich.table import Table

from kelpfront.api.errors import ApiError
from kelpfront.client import ServerUnreachableError
from kelpfront.config import Config, ConfigError, read_config

P = ParamSpec("P")
R = TypeVar("R")

# Exit codes; all are listed in the help of `kelpfront`.
NOT_DONE = 1
UNREACHABLE = 5
INTERRUPTED = 128 + signal.SIGINT  # as shells report a program that the signal ended

PIPE_WIDTH = 160  # columns of a table that goes to no terminal, where there is no width to fit
_NUMBER_COLUMNS = ("TASKS", "CORES", "MEMORY", "FREE", "FREE MEM", "PLACED", "REFUSED", "FAILED", "CPU S")

server_option = click.option(
    "--server",
    envvar="KELPFRONT_SERVER",
    default="http://127.0.0.1:8140",
    show_default=True,
    help="The placer's address; also from KELPFRONT_SERVER.",
)
namespace_option = click.option(
    "-n", "--namespace", envvar="KELPFRONT_NAMESPACE", default="default", show_default=True
)
output_option = click.option(
    "-o",
    "--output",
    type=click.Choice(["table", "json", "yaml", "name"]),
    default="table",
    show_default=True,
    help="A table for people, or the objects.",
)
labels_option = click.option("-l", "--selector", default="", help="Only objects whose labels match.")
fields_option = click.option("--field-selector", default="", help="Only objects whose fields match.")
config_option = click.option(
    "-c",
    "--config",
    "config_path",
    type=click.Path(path_type=Path),
    default="kelpfront.ini",
    show_default=True,
    help="The settings file.",
)
set_option = click.option(
    "--set", "overrides", multiple=True, metavar="SECTION.KEY=VALUE", help="Put over the settings file's."
)


def fail(message: str, code: int = NOT_DONE) -> NoReturn:
    """Print a message on standard error and end the program."""
    click.echo(message, err=True)
    raise SystemExit(code)


def require_lab_packages() -> None:
    """End the program with a message if the packages of the laboratory are not installed."""
    try:
        import hdrh  # noqa: F401
    except ImportError:
        fail("the laboratory needs more packages: pip install 'kelpfront[lab]'")


def load_config(path: Path, overrides: Iterable[str] = ()) -> Config:
    """Return the settings of a file; end the program with all their mistakes if they cannot be used."""
    try:
        return read_config(path, overrides)
    except ConfigError as error:
        fail(str(error))


def run(call: Callable[P, Coroutine[Any, Any, R]]) -> Callable[P, R]:
    """Make a command of a coroutine; errors of the server and its absence become messages and exit codes."""

    @functools.wraps(call)
    def wrapped(*args: P.args, **kwargs: P.kwargs) -> R:
        try:
            return asyncio.run(call(*args, **kwargs))
        except ApiError as error:
            lines = [f"{error.reason}: {error.message}"]
            if len(error.causes) > 1:
                lines += [f"  {cause.field}: {cause.message}" for cause in error.causes]
            fail("\n".join(lines))
        except ServerUnreachableError as error:
            fail(f"the placer could not be reached: {error}", UNREACHABLE)
        except KeyboardInterrupt:
            raise SystemExit(INTERRUPTED) from None

    return wrapped


def console() -> Console:
    """Return a console that is as wide as the terminal."""
    return Console(width=None if sys.stdout.isatty() else PIPE_WIDTH, highlight=False)


def print_objects(
    output: str, objects: Sequence[dict[str, Any]], table: Callable[[], Table], *, one: bool = False
) -> None:
    """Print objects in the chosen form; `one` says that a single object was asked for, and not a list."""
    match output:
        case "json":
            data = objects[0] if one else {"kind": "List", "apiVersion": "v1", "items": list(objects)}
            click.echo(json.dumps(data, indent=2))
        case "yaml":
            text = yaml.safe_dump_all(list(objects), sort_keys=False, explicit_start=len(objects) > 1)
            click.echo(text, nl=False)
        case "name":
            for obj in objects:
                click.echo(f"{obj['kind'].lower()}/{obj['metadata']['name']}")
        case _:
            console().print(table())


def progress_printer(*, as_json: bool) -> Callable[[str], None]:
    """Return what prints a line of progress on standard error: for people, or beside JSON on a terminal."""
    is_shown = sys.stderr.isatty() or not as_json

    def print_progress(text: str) -> None:
        if is_shown:
            click.echo(text, err=True)

    return print_progress


def print_figures(figures: Mapping[str, Any], *, as_json: bool) -> None:
    """Print figures as one JSON object: on one line for programs, indented for people."""
    click.echo(json.dumps(figures, indent=None if as_json else 2))


def plain_table(*columns: str) -> Table:
    """Return an empty table without lines, with numbers to the right."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(
            column,
            justify="right" if column in _NUMBER_COLUMNS else "left",
            no_wrap=column in ("NAME", "MACHINE"),
        )
    return table
