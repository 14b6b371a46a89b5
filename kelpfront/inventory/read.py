"""Reads an inventory file in the format of its extension.

This is the package's only module that does I/O. The readers parse the text and the builder validates it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from pathlib import Path
from typing import NamedTuple

from kelpfront.inventory.builder import InventoryBuilder, KindSize
from kelpfront.inventory.csv_reader import read_csv
from kelpfront.inventory.model import Inventory, InventoryError, Problem
from kelpfront.inventory.yaml_reader import read_yaml

MAX_BYTES = 64 << 20  # per file; 100,000 hosts take less
READERS = {".csv": read_csv, ".yaml": read_yaml, ".yml": read_yaml}


class ReadResult(NamedTuple):
    """An inventory, and the warnings about its file."""

    inventory: Inventory
    warnings: list[Problem]


def read_inventory(path: Path, kinds: Mapping[str, KindSize], rooms: Collection[str] = ()) -> ReadResult:
    """Read the hosts of a file.

    `kinds` and `rooms` are those of the settings; if `rooms` is empty, any room is allowed. Raises
    InventoryError with all problems of a file that cannot be used.
    """
    reader = READERS.get(path.suffix.lower())
    if reader is None:
        raise _unusable(path, f"{path.suffix or 'no file extension'}: expected one of {', '.join(READERS)}")
    text = _read_text(path)
    builder = InventoryBuilder(str(path), kinds, frozenset(rooms))
    reader(text, builder)
    return ReadResult(builder.finish(), builder.problems.warnings)


def _read_text(path: Path) -> str:
    try:
        if path.stat().st_size > MAX_BYTES:
            raise _unusable(path, f"is larger than {MAX_BYTES} bytes")
        text = path.read_bytes().decode("utf-8-sig")
    except OSError as error:
        raise _unusable(path, error.strerror or str(error)) from error
    except UnicodeDecodeError as error:
        raise _unusable(path, f"invalid UTF-8 at byte {error.start}") from error
    if "\0" in text:
        raise _unusable(path, "contains a NUL character")
    return text


def _unusable(path: Path, message: str) -> InventoryError:
    return InventoryError([Problem(str(path), 0, 0, "", message)])
