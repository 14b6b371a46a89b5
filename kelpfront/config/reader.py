"""Reading of INI files, with every mistake found at once, and the commented example."""

from __future__ import annotations

import configparser
import re
import types
import typing
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic import ValidationError
from pydantic.fields import FieldInfo

from kelpfront.config.model import (
    NAMED_SECTIONS,
    OPTIONAL_SECTIONS,
    PLAIN_SECTIONS,
    Checked,
    ClusterSection,
    Config,
    PlacerSection,
    Section,
)

COMMAND_LINE = "command line"


@dataclass(frozen=True, slots=True)
class ConfigProblem:
    """One mistake: where it is, what is wrong, and what is allowed."""

    file: str
    line: int
    section: str
    key: str
    message: str
    allowed: str = ""

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        if self.section:
            place += f": [{self.section}]"
        if self.key:
            place += f" {self.key}"
        text = f"{place}: {self.message}"
        return f"{text}; allowed: {self.allowed}" if self.allowed else text


class ConfigError(ValueError):
    """Settings that cannot be used; `problems` are all that was found."""

    def __init__(self, problems: Iterable[ConfigProblem]) -> None:
        self.problems = tuple(problems)
        super().__init__("\n".join(map(str, self.problems)))


def read_config(path: Path, overrides: Iterable[str] = ()) -> Config:
    """The settings of a file, with `SECTION.KEY=VALUE` put over them; ConfigError names all mistakes."""
    return parse_config(read_text(path), str(path), overrides)


def read_text(path: Path) -> str:
    """A settings file's text; ConfigError where it cannot be read."""
    try:
        return path.read_text(encoding="utf-8-sig")
    except OSError as error:
        raise ConfigError([ConfigProblem(str(path), 0, "", "", error.strerror or str(error))]) from None
    except UnicodeDecodeError as error:
        raise ConfigError([ConfigProblem(str(path), 0, "", "", f"is not UTF-8: {error.reason}")]) from None


def parse_config(text: str, source: str, overrides: Iterable[str] = ()) -> Config:
    """As `read_config`, of text."""
    sections = IniSections(text, source, overrides)
    found = sections.read(PLAIN_SECTIONS, NAMED_SECTIONS)
    problem = sections.problem
    for name, cls in found.get("classes", {}).items():
        wanted = None if cls is None else cls.needs_kind
        if wanted is not None and wanted not in found.get("kinds", {}):
            kinds = ", ".join(found.get("kinds", {}))
            problem(f"class {name}", "needs_kind", f"{wanted!r} is no kind", kinds)
    placer, cluster = found.get("placer", PlacerSection()), found.get("cluster", ClusterSection())
    if placer is not None and cluster is not None and placer.number >= cluster.placers:
        problem("placer", "number", f"{placer.number} of {cluster.placers} placers", "less than their number")
    sections.check()
    return Config(**found)


class IniSections:
    """The sections of a settings file, with what is put over them, and the mistakes found in them."""

    def __init__(self, text: str, source: str, overrides: Iterable[str] = ()) -> None:
        self._source, self._lines = source, _lines(text)
        self.problems: list[ConfigProblem] = []
        self._overridden: set[tuple[str, str]] = set()
        self._sections = _parsed(text, source)
        for override in overrides:
            place, equals, value = override.partition("=")
            section, dot, key = place.rpartition(".")
            if not (equals and dot and section.strip() and key.strip()):
                message = f"{override!r} is not SECTION.KEY=VALUE"
                self.problems.append(ConfigProblem(COMMAND_LINE, 0, "", "", message))
                continue
            self._sections.setdefault(section.strip(), {})[key.strip()] = value.strip()
            self._overridden.add((section.strip(), key.strip()))

    def problem(self, section: str, key: str, message: str, allowed: str = "") -> None:
        if (section, key) in self._overridden:
            self.problems.append(ConfigProblem(COMMAND_LINE, 0, section, key, message, allowed))
        else:
            line = self._lines.get((section, key)) or self._lines.get((section, ""), 0)
            self.problems.append(ConfigProblem(self._source, line, section, key, message, allowed))

    def read(
        self,
        plain: Mapping[str, type[Section]],
        named: Mapping[str, tuple[str, type[Section]]],
    ) -> dict[str, Any]:
        """Sections as their models; one with a mistake is None."""
        found: dict[str, Any] = {}
        for name, values in self._sections.items():
            kind, _, label = name.partition(" ")
            if name in plain:
                found[name] = _section(plain[name], name, values, self.problem)
            elif kind in named and label.strip():
                field, model = named[kind]
                found.setdefault(field, {})[label.strip()] = _section(model, name, values, self.problem)
            else:
                known = [*plain, *(f"{kind} NAME" for kind in named)]
                self.problem(name, "", "unknown section", ", ".join(f"[{one}]" for one in known))
        for kind, (field, _) in named.items():
            if field not in found and kind not in OPTIONAL_SECTIONS:
                self.problem("", "", f"no [{kind} NAME] section; at least one is needed")
        return found

    def check(self) -> None:
        """ConfigError where there are mistakes."""
        if self.problems:
            raise ConfigError(self.problems)


def _parsed(text: str, source: str) -> dict[str, dict[str, str]]:
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        inline_comment_prefixes=("#", ";"),
        default_section="\0none",
    )
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        raise ConfigError(_syntax(error, source)) from None
    return {name: dict(parser.items(name)) for name in parser.sections()}


def _section(model: type[Section], name: str, values: Mapping[str, str], problem: Any) -> Section | None:
    try:
        return model(**values)
    except ValidationError as error:
        for mistake in error.errors(include_url=False, include_context=False, include_input=False):
            key = str(mistake["loc"][0]) if mistake["loc"] else ""
            info = model.model_fields.get(key)
            if mistake["type"] == "extra_forbidden":
                problem(name, key, "unknown key", ", ".join(model.model_fields))
            elif mistake["type"] == "missing":
                problem(name, key, "is missing", "" if info is None else allowed_of(info))
            elif mistake["type"] == "literal_error":
                problem(name, key, f"{values[key]!r} is unknown", "" if info is None else allowed_of(info))
            else:
                message = mistake["msg"].removeprefix("Value error, ")
                problem(name, key, message, "" if info is None else allowed_of(info))
        return None


def _syntax(error: configparser.Error, source: str) -> list[ConfigProblem]:
    match error:
        case configparser.DuplicateOptionError():
            return [ConfigProblem(source, error.lineno or 0, error.section, error.option, "is there twice")]
        case configparser.DuplicateSectionError():
            return [ConfigProblem(source, error.lineno or 0, error.section, "", "is there twice")]
        case configparser.MissingSectionHeaderError():
            return [ConfigProblem(source, error.lineno, "", "", "a [section] is expected before this line")]
        case configparser.ParsingError():
            return [
                ConfigProblem(source, line, "", "", f"KEY = VALUE or [SECTION] is expected, not {text}")
                for line, text in error.errors
            ]
    return [ConfigProblem(source, 0, "", "", str(error))]


def _lines(text: str) -> dict[tuple[str, str], int]:
    """Where sections (with an empty key) and keys stand."""
    places: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), 1):
        if match := re.match(r"\[(.+)\]", line):
            section = match[1]
            places.setdefault((section, ""), number)
        elif match := re.match(r"([^\s#;=][^=]*?)\s*=", line):
            places.setdefault((section, match[1].lower()), number)
    return places


def allowed_of(info: FieldInfo) -> str:
    """What a key takes, in words."""
    for item in info.metadata:
        if isinstance(item, Checked):
            return item.allowed
    return _allowed_by_type(info.annotation)


def _allowed_by_type(annotation: Any) -> str:
    origin = typing.get_origin(annotation)
    if origin is typing.Literal:
        return ", ".join(map(str, typing.get_args(annotation)))
    if origin is typing.Annotated:
        checks = [item for item in typing.get_args(annotation)[1:] if isinstance(item, Checked)]
        return checks[0].allowed if checks else ""
    if origin in (typing.Union, types.UnionType):
        texts = [_allowed_by_type(arg) for arg in typing.get_args(annotation) if arg is not type(None)]
        return " or ".join(text for text in texts if text)
    return ""


def _shown(info: FieldInfo, value: Any) -> str:
    for item in info.metadata:
        if isinstance(item, Checked):
            return item.show(value)
    return str(value)


EXAMPLE_VALUES: dict[str, dict[str, str]] = {
    "kind small": {"cores": "24", "memory": "48"},
    "kind large": {"cores": "48", "memory": "96"},
    "class web": {"effect": "safe", "aim": "1s", "deadline": "5s", "priority": "0"},
    "class ingest": {
        "effect": "keyed",
        "group": "room",
        "window": "8s",
        "aim": "700ms",
        "deadline": "5s",
        "worth": "3",
        "start_worth": "8s",
        "priority": "2",
        "apart": "rack",
        "together": "3",
        "calm": "0.8",
    },
    "class blend": {
        "effect": "unsafe",
        "aim": "600ms",
        "deadline": "8s",
        "worth": "2",
        "start_worth": "12s",
        "priority": "2",
        "calm": "0.8",
    },
    "owner climate": {"weight": "1.0"},
}


def example() -> str:
    """A whole settings file with every key, its default, its bounds and its meaning."""
    sections = [(name, model, dict[str, str]()) for name, model in PLAIN_SECTIONS.items()]
    for name, values in EXAMPLE_VALUES.items():
        sections.append((name, NAMED_SECTIONS[name.partition(" ")[0]][1], values))
    return commented("a kelpfront placer", sections)


def commented(of: str, sections: Iterable[tuple[str, type[Section], Mapping[str, str]]]) -> str:
    """A settings file with every key of some sections; the values given are set, the rest commented out."""
    head = f"# Settings of {of}. Every key is shown; those with '#' before them have the default."
    return "\n\n".join([head, *(_example_section(*section) for section in sections)]) + "\n"


def _example_section(name: str, model: type[Section], values: Mapping[str, str]) -> str:
    lines = [f"[{name}]", *(f"# {line}" for line in (model.__doc__ or "").strip().splitlines())]
    for key, info in model.model_fields.items():
        lines.append(f"# {info.description} ({allowed_of(info)})")
        if key in values:
            lines.append(f"{key} = {values[key]}")
        else:
            default = info.default
            required = info.is_required() or default is None
            lines.append(f"# {key} =" if required else f"# {key} = {_shown(info, default)}")
    return "\n".join(lines)
