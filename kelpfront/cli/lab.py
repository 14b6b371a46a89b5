"""Commands of the laboratory."""

from __future__ import annotations

import click


@click.command("bad-day")
def bad_day() -> None:
    """Not here yet."""
    raise click.ClickException("not here yet")


@click.command()
def demo() -> None:
    """Not here yet."""
    raise click.ClickException("not here yet")
