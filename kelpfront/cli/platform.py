"""`kelpfront platform`: a placer in service on a platform.

The program itself is `python -m kelpfront.platform`.
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
    help="The platform's configuration file (JSON); LB_CONFIG names it too.",
)
def platform(path: Path) -> None:
    """Serve owners as the platform prescribes, until SIGTERM; SIGHUP reads the configuration anew."""
    from kelpfront.platform.__main__ import serve

    sys.exit(serve(path))
