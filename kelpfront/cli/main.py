"""`kelpfront`: the group of all commands, and the module that each is imported from.

The other modules of this package define the commands.
"""

from __future__ import annotations

import importlib
from typing import Any

import click

# `MODULE:ATTRIBUTE` of each command, in the order of the help. A command is imported only when it is called,
# so that `kelpfront get` does not load the service.
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
  0  success; for `submit --wait`: every task was placed
  1  failure: an error of the placer, an invalid file, a broken rule
  2  invalid arguments
  3  `submit --wait`: a task was refused, none failed
  4  `submit --wait`: a task failed
  5  the placer could not be reached
"""


class LazyGroup(click.Group):
    """A group whose commands are imported only when they are needed."""

    def list_commands(self, _ctx: click.Context) -> list[str]:
        """Return the names of all commands, without importing any."""
        return list(COMMANDS)

    def get_command(self, _ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Import and return a command; None if no command has this name."""
        location = COMMANDS.get(cmd_name)
        if location is None:
            return None
        module, _, attribute = location.partition(":")
        command: Any = getattr(importlib.import_module(module), attribute)
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
