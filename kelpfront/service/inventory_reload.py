"""Reads the inventory file of a placer at the start and again when the file has changed.

The controller applies the inventory to its machines and tasks.
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
    """Attributes that show whether a file was changed or replaced; all zero if the file does not exist."""

    modified_ns: int
    size: int
    inode: int


class InventoryReloader:
    """Reads the inventory file again when it has changed, and applies its contents.

    Args:
        config: contains the path of the file.
        apply: called with each inventory that was read without errors.
    """

    def __init__(self, config: Config, apply: Callable[[Inventory], None]) -> None:
        self._config = config
        self._apply = apply
        self._path = Path(config.placer.inventory)
        self._stamp = FileStamp(0, 0, 0)

    def mark_current(self) -> None:
        """Record that the current version of the file is the one in use."""
        self._stamp = _read_stamp(self._path)

    async def reload_if_changed(self) -> None:
        """Reload the file if it has changed since it was last read."""
        stamp = _read_stamp(self._path)
        if stamp != self._stamp:
            self._stamp = stamp
            await self.reload()

    async def reload(self) -> None:
        """Read the file in a thread and apply it; the problems of an invalid file are only logged."""
        try:
            inventory = await asyncio.to_thread(load_inventory, self._config)
        except InventoryError as error:
            for problem in error.problems:
                log.error("inventory rejected", problem=str(problem))  # noqa: TRY400 - an error in the file
            return
        self._apply(inventory)
        log.info("inventory applied", machines=len(inventory.hosts))


def load_inventory(config: Config) -> Inventory:
    """Read the inventory file named in the settings. Raises InventoryError if the file is invalid."""
    sizes = {name: KindSize(kind.cores, kind.memory) for name, kind in config.kinds.items()}
    inventory, warnings = read_inventory(Path(config.placer.inventory), sizes, config.cluster.rooms or ())
    for warning in warnings:
        log.warning("inventory warning", problem=str(warning))
    return inventory


def _read_stamp(path: Path) -> FileStamp:
    with contextlib.suppress(OSError):
        status = path.stat()
        return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)
    return FileStamp(0, 0, 0)
