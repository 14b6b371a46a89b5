"""Describes settings files: the values that a key allows, and the commented example.

Both are generated from the models of the sections, so they always match what the reader accepts.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from pydantic.fields import FieldInfo

from kelpfront.config.section import Section
from kelpfront.config.values import ValueType


@dataclass(frozen=True, slots=True)
class ExampleSection:
    """A section of an example: its heading without brackets, its model, and the values that it sets."""

    heading: str
    model: type[Section]
    values: Mapping[str, str] = field(default_factory=dict)


def describe_allowed(info: FieldInfo) -> str:
    """Return a description of the values that a key allows; empty if its type has none."""
    value_type = _find_value_type(info.metadata)
    if value_type is not None:
        return value_type.allowed
    return _describe_annotation(info.annotation)


def commented_example(program: str, sections: Iterable[ExampleSection]) -> str:
    """Return a settings file: every key with its default, its bounds and its meaning.

    Keys with a value in `sections` are set; all others are commented out.
    """
    header = f"# Settings of {program}. Every key is listed; keys that are commented out show their default."
    blocks = [header]
    blocks.extend(_format_section(section) for section in sections)
    return "\n\n".join(blocks) + "\n"


def _format_section(section: ExampleSection) -> str:
    explanation = (section.model.__doc__ or "").strip()
    lines = [f"[{section.heading}]"]
    lines.extend(f"# {line}" for line in explanation.splitlines())
    for key, info in section.model.model_fields.items():
        lines.append(f"# {info.description} ({describe_allowed(info)})")
        lines.append(_format_key(key, info, section.values))
    return "\n".join(lines)


def _format_key(key: str, info: FieldInfo, values: Mapping[str, str]) -> str:
    if key in values:
        return f"{key} = {values[key]}"
    has_default = not info.is_required() and info.default is not None
    if not has_default:
        return f"# {key} ="
    value_type = _find_value_type(info.metadata)
    default = str(info.default) if value_type is None else value_type.format(info.default)
    return f"# {key} = {default}"


def _find_value_type(metadata: Iterable[Any]) -> ValueType[Any] | None:
    for item in metadata:
        if isinstance(item, ValueType):
            return item
    return None


def _describe_annotation(annotation: Any) -> str:
    origin = typing.get_origin(annotation)
    if origin is typing.Literal:
        return ", ".join(map(str, typing.get_args(annotation)))
    if origin is typing.Annotated:
        value_type = _find_value_type(typing.get_args(annotation)[1:])
        return "" if value_type is None else value_type.allowed
    if origin in (typing.Union, types.UnionType):
        members = [member for member in typing.get_args(annotation) if member is not type(None)]
        descriptions = [_describe_annotation(member) for member in members]
        return " or ".join(description for description in descriptions if description)
    return ""
