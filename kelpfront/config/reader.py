"""Reads settings files: applies overrides, checks every section, and reports all problems at once.

`ini` parses the INI format, and the type of a key checks its value. Checks that involve several sections are
here for a placer and in `agent` for an agent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pydantic import ValidationError
from pydantic_core import ErrorDetails

from kelpfront.config.description import describe_allowed
from kelpfront.config.ini import KeyName, parse_ini, read_text
from kelpfront.config.model import PLACER_LAYOUT, ClassSection, ClusterSection, Config, PlacerSection
from kelpfront.config.problems import ConfigError, ConfigProblem
from kelpfront.config.section import Section, SettingsLayout

COMMAND_LINE = "command line"  # replaces the file name in problems of overrides

_VALUE_ERROR_PREFIX = "Value error, "  # prefix that pydantic adds to the message of a ValueError


@dataclass(slots=True)
class ParsedSections:
    """The sections of a file as instances of their models; an invalid section is None.

    Attributes:
        plain: sections without a name of their own, by heading.
        named: sections with a name, by the field of the settings that holds them and by that name.
    """

    plain: dict[str, Section | None] = field(default_factory=dict)
    named: dict[str, dict[str, Section | None]] = field(default_factory=dict)

    def as_fields(self) -> dict[str, Any]:
        """Return the sections as keyword arguments of the settings' model."""
        return {**self.plain, **self.named}


def read_config(path: Path, overrides: Iterable[str] = ()) -> Config:
    """Return the settings of a placer's file; overrides, as `SECTION.KEY=VALUE`, replace values of the file.

    Raises:
        ConfigError: the settings are invalid; the error lists all problems.
    """
    return parse_config(read_text(path), str(path), overrides)


def parse_config(text: str, source: str, overrides: Iterable[str] = ()) -> Config:
    """Return the settings of a text, as `read_config` does for a file; `source` names it in problems."""
    reader = SettingsReader(text, source, overrides)
    sections = reader.parse_sections(PLACER_LAYOUT)
    _check_required_kinds(sections, reader)
    _check_replica_index(sections, reader)
    reader.raise_if_any()
    return Config(**sections.as_fields())


def _check_required_kinds(sections: ParsedSections, reader: SettingsReader) -> None:
    kinds = sections.named.get("kinds", {})
    for name, section in sections.named.get("classes", {}).items():
        if not isinstance(section, ClassSection) or section.needs_kind is None:
            continue
        if section.needs_kind not in kinds:
            message = f"unknown kind {section.needs_kind!r}"
            reader.report(KeyName(f"class {name}", "needs_kind"), message, ", ".join(kinds))


def _check_replica_index(sections: ParsedSections, reader: SettingsReader) -> None:
    placer = sections.plain.get("placer", PlacerSection())
    cluster = sections.plain.get("cluster", ClusterSection())
    if not (isinstance(placer, PlacerSection) and isinstance(cluster, ClusterSection)):
        return  # one of them is invalid, which is already reported
    if placer.number >= cluster.placers:
        message = f"{placer.number} is too large for {cluster.placers} placers"
        reader.report(KeyName("placer", "number"), message, "numbers less than [cluster] placers")


class SettingsReader:
    """Reads one settings file, with the overrides of the command line, and collects its problems.

    Raises:
        ConfigError: the text is not valid INI.
    """

    def __init__(self, text: str, source: str, overrides: Iterable[str] = ()) -> None:
        self._source = source
        self._file = parse_ini(text, source)
        self._problems: list[ConfigProblem] = []
        self._overridden: set[KeyName] = set()
        for override in overrides:
            self._apply_override(override)

    def report(self, name: KeyName, message: str, allowed: str = "") -> None:
        """Add a problem of a key, of a section if the key is empty, or of the file if both are empty."""
        is_override = name in self._overridden
        problem = ConfigProblem(
            file=COMMAND_LINE if is_override else self._source,
            line=0 if is_override else self._file.line_of(name),
            section=name.section,
            key=name.key,
            message=message,
            allowed=allowed,
        )
        self._problems.append(problem)

    def raise_if_any(self) -> None:
        """Raise ConfigError with the problems found so far, if there are any."""
        if self._problems:
            raise ConfigError(self._problems)

    def parse_sections(self, layout: SettingsLayout) -> ParsedSections:
        """Return the sections as instances of their models, and report what the layout does not allow."""
        sections = ParsedSections()
        for heading, values in self._file.sections.items():
            prefix, _, rest = heading.partition(" ")
            name = rest.strip()
            if heading in layout.plain:
                sections.plain[heading] = self._parse_section(heading, layout.plain[heading], values)
            elif prefix in layout.named and name:
                named = layout.named[prefix]
                by_name = sections.named.setdefault(named.field, {})
                by_name[name] = self._parse_section(heading, named.model, values)
            else:
                self._report_unknown_section(heading, layout)
        self._report_missing_sections(sections, layout)
        return sections

    def _apply_override(self, override: str) -> None:
        target, equals, value = override.partition("=")
        section, dot, key = target.rpartition(".")
        name = KeyName(section.strip(), key.strip())
        is_complete = equals and dot and name.section and name.key
        if not is_complete:
            message = f"{override!r} is not SECTION.KEY=VALUE"
            self._problems.append(ConfigProblem(file=COMMAND_LINE, message=message))
            return
        self._file.sections.setdefault(name.section, {})[name.key] = value.strip()
        self._overridden.add(name)

    def _parse_section(self, heading: str, model: type[Section], values: Mapping[str, str]) -> Section | None:
        try:
            return model(**values)
        except ValidationError as error:
            for details in error.errors(include_url=False, include_context=False, include_input=False):
                self._report_invalid_value(heading, model, values, details)
            return None

    def _report_invalid_value(
        self, heading: str, model: type[Section], values: Mapping[str, str], details: ErrorDetails
    ) -> None:
        key = str(details["loc"][0]) if details["loc"] else ""
        name = KeyName(heading, key)
        info = model.model_fields.get(key)
        allowed = "" if info is None else describe_allowed(info)
        match details["type"]:
            case "extra_forbidden":
                self.report(name, "unknown key", ", ".join(model.model_fields))
            case "missing":
                self.report(name, "is missing", allowed)
            case "literal_error":
                self.report(name, f"unknown value {values[key]!r}", allowed)
            case _:
                self.report(name, details["msg"].removeprefix(_VALUE_ERROR_PREFIX), allowed)

    def _report_unknown_section(self, heading: str, layout: SettingsLayout) -> None:
        known = [f"[{name}]" for name in layout.plain]
        known.extend(f"[{prefix} NAME]" for prefix in layout.named)
        self.report(KeyName(heading, ""), "unknown section", ", ".join(known))

    def _report_missing_sections(self, sections: ParsedSections, layout: SettingsLayout) -> None:
        for prefix, named in layout.named.items():
            if named.required and named.field not in sections.named:
                message = f"no [{prefix} NAME] section; at least one is required"
                self.report(KeyName("", ""), message)
