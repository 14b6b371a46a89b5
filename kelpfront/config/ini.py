"""Reads the INI format: the values of keys by section as text, and the line number of each.

`reader` interprets and checks the sections and keys.
"""

from __future__ import annotations

import configparser
import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from kelpfront.config.problems import ConfigError, ConfigProblem

# The parser copies the keys of its default section into all others. No heading has this name, so there is no
# default section.
_NO_DEFAULT_SECTION = "\0none"

_SECTION_LINE = re.compile(r"\[(.+)\]")
_KEY_LINE = re.compile(r"([^\s#;=][^=]*?)\s*=")


class KeyName(NamedTuple):
    """A key of a section, or the section itself where `key` is empty."""

    section: str
    key: str


@dataclass(frozen=True, slots=True)
class IniFile:
    """The contents of a file: the values by section and key, and the line numbers of sections and keys."""

    sections: dict[str, dict[str, str]]
    lines: Mapping[KeyName, int]

    def line_of(self, name: KeyName) -> int:
        """Return the line of a key, or of its section if the key has none, or 0 if neither has one."""
        section = KeyName(name.section, "")
        return self.lines.get(name) or self.lines.get(section, 0)


def read_text(path: Path) -> str:
    """Return the text of a settings file, without a byte order mark.

    Raises:
        ConfigError: the file cannot be read, or is not UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8-sig")
    except OSError as error:
        problem = ConfigProblem(file=str(path), message=error.strerror or str(error))
        raise ConfigError([problem]) from error
    except UnicodeDecodeError as error:
        problem = ConfigProblem(file=str(path), message=f"is not UTF-8: {error.reason}")
        raise ConfigError([problem]) from error


def parse_ini(text: str, source: str) -> IniFile:
    """Return the contents of a file's text; `source` names the file in problems.

    Raises:
        ConfigError: the text is not valid INI, or a section or key is defined twice.
    """
    parser = configparser.ConfigParser(
        interpolation=None,
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        inline_comment_prefixes=("#", ";"),
        default_section=_NO_DEFAULT_SECTION,
    )
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        raise ConfigError(_syntax_problems(error, source)) from error
    sections = {name: dict(parser.items(name)) for name in parser.sections()}
    return IniFile(sections, _find_lines(text))


def _syntax_problems(error: configparser.Error, source: str) -> list[ConfigProblem]:
    match error:
        case configparser.DuplicateOptionError():
            problem = ConfigProblem(
                file=source,
                line=error.lineno or 0,
                section=error.section,
                key=error.option,
                message="is defined twice",
            )
            return [problem]
        case configparser.DuplicateSectionError():
            problem = ConfigProblem(
                file=source, line=error.lineno or 0, section=error.section, message="is defined twice"
            )
            return [problem]
        case configparser.MissingSectionHeaderError():
            message = "expected a [section] before this line"
            return [ConfigProblem(file=source, line=error.lineno, message=message)]
        case configparser.ParsingError():
            return [
                ConfigProblem(
                    file=source, line=line, message=f"expected KEY = VALUE or [SECTION], got {text}"
                )
                for line, text in error.errors
            ]
    return [ConfigProblem(file=source, message=str(error))]


def _find_lines(text: str) -> dict[KeyName, int]:
    """Return the first line of each section and key, which the parser does not record."""
    lines: dict[KeyName, int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), 1):
        if heading := _SECTION_LINE.match(line):
            section = heading[1]
            lines.setdefault(KeyName(section, ""), number)
        elif assignment := _KEY_LINE.match(line):
            key = assignment[1].lower()  # the parser converts keys to lower case too
            lines.setdefault(KeyName(section, key), number)
    return lines
