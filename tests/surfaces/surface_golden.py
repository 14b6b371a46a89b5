"""Access to the golden files, and rendering of parsed values without their field names."""

from __future__ import annotations

import dataclasses
import json
import math
from enum import Enum, IntEnum
from pathlib import Path
from typing import Any

import msgspec
from pydantic import BaseModel

GOLDEN = Path(__file__).with_name("golden")
SEED = 7
BOOT = "boot-1"


def golden(name: str) -> bytes:
    return (GOLDEN / name).read_bytes()


def values(value: Any) -> Any:
    """Convert a parsed value to JSON data, with fields and enum members by position instead of by name."""
    if isinstance(value, IntEnum):
        return int(value)
    if isinstance(value, Enum):
        return list(type(value)).index(value)
    if isinstance(value, BaseModel):
        return [values(getattr(value, name)) for name in type(value).model_fields]
    if isinstance(value, msgspec.Struct):
        return [values(getattr(value, name)) for name in value.__struct_fields__]
    if dataclasses.is_dataclass(value):
        return [values(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, dict):
        return {str(key): values(item) for key, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(values(item) for item in value)
    if isinstance(value, list | tuple):
        return [values(item) for item in value]
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    return value if value is None or isinstance(value, str | int | float) else str(value)


def as_json(value: Any) -> bytes:
    return json.dumps(values(value), indent=1).encode() + b"\n"


def as_hex(lines: list[tuple[str, bytes]]) -> bytes:
    return "".join(f"{name} {data.hex()}\n" for name, data in lines).encode()


def from_hex(data: bytes) -> dict[str, bytes]:
    rows = (line.split(" ") for line in data.decode().splitlines())
    return {name: bytes.fromhex(digits) for name, digits in rows}
