"""Shared parts of the commands: options, exit codes for errors, and output for people and for programs.

Each command defines how it uses an option and which columns its tables have.
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

# Exit codes; the help of `kelpfront` lists all of them.
EXIT_FAILURE = 1
EXIT_UNREACHABLE = 5
EXIT_INTERRUPTED = 128 + signal.SIGINT  # as shells report a program that SIGINT ended

PIPE_WIDTH = 160  # characters in a line of a table if the output is not a terminal
_RIGHT_ALIGNED_COLUMNS = (
    "TASKS",
    "CORES",
    "MEMORY",
    "FREE",
    "FREE MEM",
    "PLACED",
    "REFUSED",
    "FAILED",
    "CPU S",
)

server_option = click.option(
    "--server",
    envvar="KELPFRONT_SERVER",
    default="http://127.0.0.1:8140",
    show_default=True,
    help="URL of the placer; also read from KELPFRONT_SERVER.",
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
    help="A table, the objects as JSON or YAML, or only their names.",
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
    "--set",
    "overrides",
    multiple=True,
    metavar="SECTION.KEY=VALUE",
    help="Override a value of the settings file.",
)


def fail(message: str, code: int = EXIT_FAILURE) -> NoReturn:
    """Print a message to standard error and exit with a code."""
    click.echo(message, err=True)
    raise SystemExit(code)


def require_lab_packages() -> None:
    """Exit with a message if the packages of the laboratory are not installed."""
    try:
        import hdrh  # noqa: F401
    except ImportError:
        fail("the laboratory needs additional packages: pip install 'kelpfront[lab]'")


def load_config(path: Path, overrides: Iterable[str] = ()) -> Config:
    """Return the settings of a file; if they are invalid, print all problems and exit."""
    try:
        return read_config(path, overrides)
    except ConfigError as error:
        fail(str(error))


def async_command(coroutine: Callable[P, Coroutine[Any, Any, R]]) -> Callable[P, R]:
    """Turn a coroutine function into a command that prints errors of the placer and sets the exit code."""

    @functools.wraps(coroutine)
    def wrapped(*args: P.args, **kwargs: P.kwargs) -> R:
        try:
            return asyncio.run(coroutine(*args, **kwargs))
        except ApiError as error:
            lines = [f"{error.reason}: {error.message}"]
            if len(error.causes) > 1:
                lines += [f"  {cause.field}: {cause.message}" for cause in error.causes]
            fail("\n".join(lines))
        except ServerUnreachableError as error:
            fail(f"the placer could not be reached: {error}", EXIT_UNREACHABLE)
        except KeyboardInterrupt:
            raise SystemExit(EXIT_INTERRUPTED) from None

    return wrapped


def console() -> Console:
    """Return a console with the width of the terminal, or `PIPE_WIDTH` if the output is not a terminal."""
    return Console(width=None if sys.stdout.isatty() else PIPE_WIDTH, highlight=False)


def print_objects(
    output: str, objects: Sequence[dict[str, Any]], table: Callable[[], Table], *, one: bool = False
) -> None:
    """Print objects in the given format; `one` means that a single object was requested, not a list."""
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
    """Return a function that prints progress to standard error; with JSON, only if that is a terminal."""
    is_shown = sys.stderr.isatty() or not as_json

    def print_progress(text: str) -> None:
        if is_shown:
            click.echo(text, err=True)

    return print_progress


def print_figures(figures: Mapping[str, Any], *, as_json: bool) -> None:
    """Print figures as one JSON object: on one line with `as_json`, else indented."""
    click.echo(json.dumps(figures, indent=None if as_json else 2))


def plain_table(*columns: str) -> Table:
    """Return an empty table without borders, with columns of numbers right-aligned."""
    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(
            column,
            justify="right" if column in _RIGHT_ALIGNED_COLUMNS else "left",
            no_wrap=column in ("NAME", "MACHINE"),
        )
    return table
