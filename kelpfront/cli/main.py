"""`kelpfront`: the group of all commands."""

from __future__ import annotations

import importlib
from typing import Any

import click

# Where each command is. They are imported when called: `kelpfront get` need not load the service.
COMMANDS = {
    "serve": "kelpfront.cli.serve:serve",
    "machines": "kelpfront.cli.serve:machines",
    "platform": "kelpfront.cli.platform:platform",
    "agent": "kelpfront.cli.agent:agent",
    "submit": "kelpfront.cli.jobs:submit",
    "get": "kelpfront.cli.jobs:get",
    "describe": "kelpfront.cli.jobs:describe",
    "logs": "kelpfront.cli.jobs:logs",
    "watch": "kelpfront.cli.jobs:watch",
    "delete": "kelpfront.cli.jobs:delete",
    "status": "kelpfront.cli.levels:status",
    "levels": "kelpfront.cli.levels:levels",
    "drain": "kelpfront.cli.jobs:drain",
    "undrain": "kelpfront.cli.jobs:undrain",
    "inventory": "kelpfront.cli.files:inventory",
    "config": "kelpfront.cli.files:config",
    "bad-day": "kelpfront.cli.rehearse:bad_day",
    "lab": "kelpfront.cli.lab:lab",
    "demo": "kelpfront.cli.rehearse:demo",
    "completion": "kelpfront.cli.files:completion",
}

EXIT_CODES = """
\b
Exit codes:
  0  done; for `submit --wait`: every task was placed
  1  not done: an error of the server, a fault in a file, a rule broken
  2  wrong use of the command line
  3  `submit --wait`: a task was refused, none failed
  4  `submit --wait`: a task failed
  5  the placer could not be reached
"""


class LazyGroup(click.Group):
    def list_commands(self, ctx: click.Context) -> list[str]:
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        place = COMMANDS.get(cmd_name)
        if place is None:
            return None
        module, _, name = place.partition(":")
        command: Any = getattr(importlib.import_module(module), name)
        assert isinstance(command, click.Command)
        return command


@click.group(
    cls=LazyGroup,
    epilog=EXIT_CODES,
    context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100},
)
@click.version_option(package_name="kelpfront")
def main() -> None:
    """A scheduler that places long-running work on a cluster's machines.

    Many copies (placers) run side by side and share nothing.
    """
