"""An inventory file to an inventory: all of it, or none."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from pathlib import Path

from kelpfront.inventory.build import Builder, KindSize
from kelpfront.inventory.csvfile import read_csv
from kelpfront.inventory.model import Inventory, InventoryError, Problem
from kelpfront.inventory.yamlfile import read_yaml

MAX_BYTES = 64 << 20
READERS = {".csv": read_csv, ".yaml": read_yaml, ".yml": read_yaml}


def read_inventory(
    path: Path, kinds: Mapping[str, KindSize], rooms: Collection[str] = ()
) -> tuple[Inventory, list[Problem]]:
    """The hosts of a file, and warnings; InventoryError names all mistakes of one that cannot be used.

    `kinds` are those of the settings; `rooms` too, where they name any.
    """

    def refuse(message: str) -> InventoryError:
        return InventoryError([Problem(str(path), 0, 0, "", message)])

    reader = READERS.get(path.suffix.lower())
    if reader is None:
        raise refuse(f"{path.suffix or 'no ending'}: one of {', '.join(READERS)} is expected")
    try:
        if path.stat().st_size > MAX_BYTES:
            raise refuse(f"over {MAX_BYTES} bytes")
        text = path.read_bytes().decode("utf-8-sig")
    except OSError as error:
        raise refuse(error.strerror or str(error)) from None
    except UnicodeDecodeError as error:
        raise refuse(f"is not UTF-8 at byte {error.start}") from None
    builder = Builder(str(path), kinds, frozenset(rooms))
    if "\0" in text:
        raise refuse("holds a NUL character")
    reader(text, builder)
    return builder.finish(), builder.warnings
