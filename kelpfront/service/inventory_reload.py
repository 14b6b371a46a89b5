"""The inventory file of a placer: read at the start, and again when the file has changed.

What an inventory means for machines and tasks is decided by the controller.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import structlog

from kelpfront.config import Config
from kelpfront.inventory import Inventory, InventoryError, KindSize, read_inventory

log = structlog.get_logger("kelpfront.controller")


class FileStamp(NamedTuple):
    """What tells that a file was changed or replaced; zeros where there is none."""

    modified_ns: int
    size: int
    inode: int


class InventoryReloader:
    """Reads the inventory file again when it has changed, and hands over what it holds.

    Args:
        config: names the file.
        apply: called with each inventory that could be read.
    """

    def __init__(self, config: Config, apply: Callable[[Inventory], None]) -> None:
        self._config = config
        self._apply = apply
        self._path = Path(config.placer.inventory)
        self._stamp = FileStamp(0, 0, 0)

    def mark_current(self) -> None:
        """Take the file as it is now for the one that is in use."""
        self._stamp = _stamp_of(self._path)

    async def reload_if_changed(self) -> None:
        """Reload the file if it is not the one that was read last."""
        stamp = _stamp_of(self._path)
        if stamp != self._stamp:
            self._stamp = stamp
            await self.reload()

    async def reload(self) -> None:
        """Read the file, in a thread; a faulty file is logged and changes nothing."""
        try:
            inventory = await asyncio.to_thread(load_inventory, self._config)
        except InventoryError as error:
            for problem in error.problems:
                log.error("inventory rejected", problem=str(problem))  # noqa: TRY400 - the file's fault
            return
        self._apply(inventory)
        log.info("inventory applied", machines=len(inventory.hosts))


def load_inventory(config: Config) -> Inventory:
    """Read the inventory that the settings name. Raises InventoryError where it cannot be used."""
    sizes = {name: KindSize(kind.cores, kind.memory) for name, kind in config.kinds.items()}
    inventory, warnings = read_inventory(Path(config.placer.inventory), sizes, config.cluster.rooms or ())
    for warning in warnings:
        log.warning("inventory warning", problem=str(warning))
    return inventory


def _stamp_of(path: Path) -> FileStamp:
    with contextlib.suppress(OSError):
        status = path.stat()
        return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)
    return FileStamp(0, 0, 0)
