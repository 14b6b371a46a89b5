"""What the settings of placers and agents share: the base of a section, the log section and file layouts.

A layout lists the sections that a file may have. The sections of a placer are in `model`, those of an agent
in `agent`; `reader` reads files.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field


class Section(BaseModel):
    """A section of a settings file.

    Fields have the names of the keys in the file. The docstring of a section and the descriptions of its
    fields are printed in the commented example, for the people who write the file.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)


class LogSection(Section):
    """The log, on standard error."""

    level: Literal["debug", "info", "warning", "error"] = Field(
        "info", description="Minimum level of the messages that are logged."
    )
    format: Literal["auto", "json", "console"] = Field(
        "auto", description="JSON lines, or text for people; auto: text on a terminal, else JSON lines."
    )


@dataclass(frozen=True, slots=True)
class NamedSection:
    """A kind of section that a file may contain many times, each with a name: `[class web]`.

    Attributes:
        field: name of the settings' field that holds these sections by their names.
        model: the model of one such section.
        required: whether a file must have at least one.
    """

    field: str
    model: type[Section]
    required: bool


@dataclass(frozen=True, slots=True)
class SettingsLayout:
    """The sections that a settings file may have.

    Attributes:
        plain: models of the sections that occur at most once, by heading.
        named: kinds of sections that have a name, by the prefix of their heading (`class`).
    """

    plain: Mapping[str, type[Section]]
    named: Mapping[str, NamedSection] = field(default_factory=dict)
