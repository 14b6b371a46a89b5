"""What the settings of all programs share: the base of a section, the log's section, and layouts of files.

A layout says which sections a file may have. The sections of a placer and of an agent are left to `model`
and `agent`, reading a file to `reader`.
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

    level: Literal["debug", "info", "warning", "error"] = Field("info", description="The least shown.")
    format: Literal["auto", "json", "console"] = Field(
        "auto", description="JSON lines, or for people; auto: for people on a terminal."
    )


@dataclass(frozen=True, slots=True)
class NamedSection:
    """Sections of one kind that a file may have many of, each with a name: `[class web]`.

    Attributes:
        field: the field of the settings that holds them, by name.
        model: what one of them holds.
        required: whether a file must have at least one.
    """

    field: str
    model: type[Section]
    required: bool


@dataclass(frozen=True, slots=True)
class SettingsLayout:
    """The sections that a settings file may have.

    Attributes:
        plain: sections that stand once, by their name.
        named: sections that stand once for each name, by the prefix of their heading (`class`).
    """

    plain: Mapping[str, type[Section]]
    named: Mapping[str, NamedSection] = field(default_factory=dict)
