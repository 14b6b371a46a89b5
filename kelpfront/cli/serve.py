"""`kelpfront serve` and `kelpfront machines`: run a placer, or stand-in machines for tests, until a signal.

`kelpfront.service` implements the placer, `kelpfront.lab.standins` the stand-in machines.
"""

from __future__ import annotations

import asyncio
import importlib.util
import json
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Literal

import click
import msgspec

from kelpfront.cli.common import config_option, fail, load_config, set_option
from kelpfront.config import Config
from kelpfront.inventory import InventoryError

if TYPE_CHECKING:
    from kelpfront.lab.recording import Recorder
    from kelpfront.lab.standins import Fault, Fleet
    from kelpfront.service.placer import PlacerService

RECORDING_FLUSH_S = 0.5  # time between two flushes: what a crash may lose of a recording


@click.command()
@config_option
@set_option
@click.option(
    "--inventory",
    type=click.Path(path_type=Path),
    help="Inventory file to use in place of the one in the settings.",
)
def serve(config_path: Path, overrides: tuple[str, ...], inventory: Path | None) -> None:
    """Run a placer until SIGTERM or Ctrl-C.

    The placer then accepts no more jobs, answers those that it has, and exits with 0. Prints a line with
    its URL to standard output and logs to standard error.
    """
    from kelpfront.logs import configure_logs
    from kelpfront.service.inventory_reload import load_inventory
    from kelpfront.service.placer import PlacerService

    settings = load_config(config_path, overrides)
    if settings.placer.grpc is not None and importlib.util.find_spec("grpc") is None:
        fail("[placer] grpc: the gRPC API needs additional packages: pip install 'kelpfront[grpc]'")
    if settings.tracing.file is not None and importlib.util.find_spec("opentelemetry") is None:
        fail("[tracing] file: tracing needs additional packages: pip install 'kelpfront[tracing]'")
    settings = _with_inventory(settings, inventory or config_path.parent / settings.placer.inventory)
    configure_logs(settings.log.level, settings.log.format, placer=settings.placer.name)
    try:
        hosts = load_inventory(settings)
    except InventoryError as error:
        fail(str(error))

    async def run() -> None:
        service = PlacerService(settings, hosts)
        await service.run(lambda started: click.echo(json.dumps(addresses(started))))

    try:
        asyncio.run(run())
    except OSError as error:
        fail(f"{settings.placer.listen}: {error.strerror or error}")


def _with_inventory(settings: Config, path: Path) -> Config:
    placer = settings.placer.model_copy(update={"inventory": str(path)})
    return settings.model_copy(update={"placer": placer})


def addresses(service: PlacerService) -> dict[str, str]:
    """Return the URLs and targets at which a placer is reached, as `serve` prints them."""
    urls = {"url": service.url}
    if service.grpc_target:
        urls["grpc"] = service.grpc_target
    return urls


@click.command()
@config_option
@set_option
@click.option(
    "--inventory",
    type=click.Path(path_type=Path),
    help="Inventory file to use in place of the one in the settings.",
)
@click.option("--room", "rooms", multiple=True, help="Run only the machines of this room; may be repeated.")
@click.option(
    "--write-inventory",
    type=click.Path(path_type=Path),
    help="Listen on free ports of 127.0.0.1 and write an inventory with them.",
)
@click.option("--model", "model_text", default="{}", help="Behaviour of the stand-ins, as JSON.")
@click.option(
    "--faults", "faults_path", type=click.Path(path_type=Path), help="File of faults by time, as JSON."
)
@click.option(
    "--record", type=click.Path(path_type=Path), help="File for a recording of the messages on the sockets."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--cold", is_flag=True, help="Start the machines in slow start.")
@click.option(
    "--copies",
    type=click.Path(path_type=Path),
    help="Folder of idempotency keys, shared with the node agents of the same rooms.",
)
@click.option(
    "--protocol",
    type=click.Choice(["http", "grpc"]),
    default="http",
    show_default=True,
    help="Protocol between machines and placers.",
)
def machines(
    config_path: Path,
    overrides: tuple[str, ...],
    inventory: Path | None,
    rooms: tuple[str, ...],
    write_inventory: Path | None,
    model_text: str,
    faults_path: Path | None,
    record: Path | None,
    seed: int,
    cold: bool,
    copies: Path | None,
    protocol: Literal["http", "grpc"],
) -> None:
    """Run stand-in machines for tests: the real protocol, simulated tasks, scripted faults."""
    from kelpfront.agent.idempotency_records import FileIdempotencyRecords
    from kelpfront.clock import CommonClock
    from kelpfront.inventory import Inventory
    from kelpfront.lab.recording import Recorder
    from kelpfront.lab.setup import write_csv
    from kelpfront.lab.standins import Fault, Fleet, FleetModel
    from kelpfront.logs import configure_logs
    from kelpfront.service.inventory_reload import load_inventory

    settings = load_config(config_path, overrides)
    settings = _with_inventory(settings, inventory or config_path.parent / settings.placer.inventory)
    configure_logs(settings.log.level, settings.log.format)
    try:
        hosts = [host for host in load_inventory(settings).hosts.values() if not rooms or host.room in rooms]
        model = msgspec.json.decode(model_text, type=FleetModel)
        faults = (
            [] if faults_path is None else msgspec.json.decode(faults_path.read_bytes(), type=list[Fault])
        )
    except InventoryError as error:
        fail(str(error))
    except msgspec.DecodeError as error:
        fail(f"--model or --faults: {error}")

    async def run() -> None:
        stop = _stop_on_signals()
        recorder = Recorder("machines", record)
        idempotency_records = None if copies is None else FileIdempotencyRecords(copies)
        fleet = Fleet(
            settings, hosts, model, seed, CommonClock().now, recorder, idempotency_records, protocol
        )
        ports = None
        if write_inventory is None:
            ports = {host.name: int(host.address.rpartition(":")[2]) for host in hosts}
        listening_hosts = await fleet.start(ports, cold)
        if write_inventory is not None:
            write_csv(write_inventory, Inventory("", {host.name: host for host in listening_hosts}))
        click.echo(json.dumps({"machines": len(listening_hosts)}))
        sys.stdout.flush()
        await _play_faults(fleet, faults, recorder, stop)

    try:
        asyncio.run(run())
    except OSError as error:
        fail(f"machines: {error.strerror or error}")


def _stop_on_signals() -> asyncio.Event:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    return stop


async def _play_faults(
    fleet: Fleet, faults: Sequence[Fault], recorder: Recorder, stop: asyncio.Event
) -> None:
    """Play the faults and flush the recording periodically, until the program receives a signal."""
    # The times of faults count from a line on standard input, or from now if that is a terminal or closed.
    if faults and not sys.stdin.isatty():
        await asyncio.to_thread(sys.stdin.readline)
    fleet.play(faults)
    while not stop.is_set():
        recorder.flush()
        try:
            await asyncio.wait_for(stop.wait(), RECORDING_FLUSH_S)
        except TimeoutError:
            continue
    fleet.close()
    recorder.close()
