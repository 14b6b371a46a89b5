"""`kelpfront config`, `inventory` and `completion`: check files, and print examples and shell scripts.

`kelpfront.config` and `kelpfront.inventory` read and check the files.
"""

from __future__ import annotations

from pathlib import Path

import click
from click.shell_completion import get_completion_class

from kelpfront.cli.common import config_option, fail, load_config, set_option
from kelpfront.config import build_cluster, placer_example
from kelpfront.inventory import InventoryError, KindSize, read_inventory


@click.group()
def config() -> None:
    """Check a settings file, or print an example."""


@config.command("check")
@click.argument("file", type=click.Path(path_type=Path))
@set_option
def config_check(file: Path, overrides: tuple[str, ...]) -> None:
    """Check a settings file: print every problem with its position and the allowed values."""
    settings = load_config(file, overrides)
    try:
        build_cluster(settings)
    except ValueError as error:
        fail(f"{file}: {error}")
    click.echo(f"{file}: {len(settings.classes)} classes, {len(settings.kinds)} kinds: valid")


@config.command("example")
def config_example() -> None:
    """Print an example of a settings file: every key with its default, its bounds and its meaning."""
    click.echo(placer_example(), nl=False)


@click.group()
def inventory() -> None:
    """Check an inventory, the list of machines."""


@inventory.command("check")
@click.argument("file", type=click.Path(path_type=Path))
@config_option
def inventory_check(file: Path, config_path: Path) -> None:
    """Check an inventory file (.csv, .yaml) against the kinds and rooms of the settings."""
    settings = load_config(config_path)
    kinds = {name: KindSize(kind.cores, kind.memory) for name, kind in settings.kinds.items()}
    try:
        machine_inventory, warnings = read_inventory(file, kinds, settings.cluster.rooms or ())
    except InventoryError as error:
        fail(str(error))
    for warning in warnings:
        click.echo(f"warning: {warning}", err=True)
    rooms = {host.room for host in machine_inventory.hosts.values()}
    racks = {(host.room, host.rack) for host in machine_inventory.hosts.values()}
    click.echo(
        f"{file}: {len(machine_inventory.hosts)} machines, {len(racks)} racks, {len(rooms)} rooms: valid"
    )


@click.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the completion script for a shell, to be sourced in its startup file."""
    from kelpfront.cli.main import main

    completion_class = get_completion_class(shell)
    assert completion_class is not None
    script = completion_class(main, {}, "kelpfront", "_KELPFRONT_COMPLETE")
    click.echo(script.source())
