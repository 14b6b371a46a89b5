"""Reads an inventory file by its ending: all of it, or none.

This is the package's only module that does I/O; what the file says is left to the readers and the builder.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from pathlib import Path
from typing import NamedTuple

from kelpfront.inventory.builder import InventoryBuilder, KindSize
from kelpfront.inventory.csv_reader import read_csv
from kelpfront.inventory.model import Inventory, InventoryError, Problem
from kelpfront.inventory.yaml_reader import read_yaml

MAX_BYTES = 64 << 20  # of a file; a hundred thousand hosts take less
READERS = {".csv": read_csv, ".yaml": read_yaml, ".yml": read_yaml}


class ReadResult(NamedTuple):
    """An inventory, and what is doubtful in its file without making it unusable."""

    inventory: Inventory
    warnings: list[Problem]


def read_inventory(path: Path, kinds: Mapping[str, KindSize], rooms: Collection[str] = ()) -> ReadResult:
    """Read the hosts of a file.

    `kinds` are those of the settings, and `rooms` too, where they name any. Raises InventoryError with all
    that is wrong with a file that cannot be used.
    """
    reader = READERS.get(path.suffix.lower())
    if reader is None:
        raise _unusable(path, f"{path.suffix or 'no ending'}: one of {', '.join(READERS)} is expected")
    text = _read_text(path)
    builder = InventoryBuilder(str(path), kinds, frozenset(rooms))
    reader(text, builder)
    return ReadResult(builder.finish(), builder.problems.warnings)


def _read_text(path: Path) -> str:
    try:
        if path.stat().st_size > MAX_BYTES:
            raise _unusable(path, f"over {MAX_BYTES} bytes")
        text = path.read_bytes().decode("utf-8-sig")
    except OSError as error:
        raise _unusable(path, error.strerror or str(error)) from error
    except UnicodeDecodeError as error:
        raise _unusable(path, f"is not UTF-8 at byte {error.start}") from error
    if "\0" in text:
        raise _unusable(path, "holds a NUL character")
    return text


def _unusable(path: Path, message: str) -> InventoryError:
    return InventoryError([Problem(str(path), 0, 0, "", message)])
