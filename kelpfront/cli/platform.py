"""`kelpfront platform`: runs a placer on a platform.

The program is `python -m kelpfront.platform`.
"""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.command()
@click.option(
    "--config",
    "path",
    type=click.Path(dir_okay=False, path_type=Path),
    envvar="LB_CONFIG",
    required=True,
    help="The platform's configuration file (JSON); also read from LB_CONFIG.",
)
def platform(path: Path) -> None:
    """Serve owners over the protocol of the platform until SIGTERM; SIGHUP reloads the configuration."""
    from kelpfront.platform.__main__ import serve

    sys.exit(serve(path))
