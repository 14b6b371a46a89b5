"""Reads inventories in CSV: a header line, then one host per line.

Comments, quoted fields, a byte order mark, CRLF line endings, and semicolons or tabs as separators are
accepted. The builder validates the entries.
"""

from __future__ import annotations

import csv
import difflib
import io
import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from kelpfront.inventory.builder import InventoryBuilder
from kelpfront.inventory.entries import (
    MAX_HOSTS,
    OPTIONAL_COLUMNS,
    REQUIRED_COLUMNS,
    HostEntry,
    SourceValue,
    position_after,
)
from kelpfront.inventory.problems import ProblemReport

MAX_CONTINUATION_LINES = 20  # of one quoted field, so that an unclosed quote does not consume the whole file
HOST_COLUMN = "host"
KNOWN_COLUMNS = (HOST_COLUMN, *REQUIRED_COLUMNS, *OPTIONAL_COLUMNS)
ALIASES = {
    "host": HOST_COLUMN,
    "hostname": HOST_COLUMN,
    "name": HOST_COLUMN,
    "node": HOST_COLUMN,
    "machine": HOST_COLUMN,
    "cell": "rack",
    "zone": "room",
    "cpu": "cores",
    "cpus": "cores",
    "mem": "memory",
    "ram": "memory",
    "url": "address",
    "type": "kind",
}

_Record = list[SourceValue]


@dataclass(frozen=True, slots=True)
class _LogicalLine:
    """A line joined with the lines on which its quoted fields continue; `number` is the first line's."""

    number: int
    text: str

    @property
    def has_open_quote(self) -> bool:
        return self.text.count('"') % 2 == 1


def read_csv(text: str, builder: InventoryBuilder) -> None:
    """Add the hosts of a CSV text, and the problems of the text, to a builder."""
    text = text.replace("\r\n", "\n")
    if text and not text.endswith("\n"):
        message = "the last line has no line ending; the file may be truncated"
        builder.problems.add(position_after(text), "", message)
    records = _read_records(text, builder.problems)
    if not records:
        builder.problems.add(None, "", "is empty; expected a header line")
        return
    header, *rows = records
    columns = _read_header(header, builder.problems)
    if columns is None:
        return
    for count, record in enumerate(rows):
        if count >= MAX_HOSTS:
            builder.problems.add(record[0], "", f"more than {MAX_HOSTS} hosts")
            return
        _add_host(record, columns, len(header), builder)


def _add_host(
    record: _Record, columns: dict[int, str], header_length: int, builder: InventoryBuilder
) -> None:
    values = {name: record[position] for position, name in columns.items() if position < len(record)}
    host = values.pop(HOST_COLUMN, None)
    if len(record) != header_length:
        is_short = len(record) < header_length
        guess = "the file may be truncated here" if is_short else "is there an extra separator?"
        message = f"{len(record)} fields, expected {header_length}; {guess}"
        builder.problems.add(record[0], host.text if host is not None else "", message)
    elif host is None or not host.text:
        builder.problems.add(record[0], "", "the host name is missing")
    else:
        builder.add(HostEntry(host, values))


# ---- Lines to records -------------------------------------------------------------------------------------


def _read_records(text: str, problems: ProblemReport) -> list[_Record]:
    """Return the records of a text; comments and empty lines are skipped."""
    lines = text.split("\n")
    separator = _guess_separator(lines)
    records = []
    for line in _logical_lines(lines):
        try:
            values = _parse_values(line.text, separator)
        except (csv.Error, ValueError) as error:
            problems.add(SourceValue("", line.number, 1), "", f"invalid CSV: {error}")
            if line.has_open_quote:
                break  # the text of the unclosed quote includes the lines that follow
            continue
        records.append(_locate(values, line, separator))
    return records


def _guess_separator(lines: Sequence[str]) -> str:
    """Return the separator of the first line that is not empty or a comment."""
    first = next((line for line in lines if _has_content(line)), "")
    if first.count(";") > first.count(","):
        return ";"
    return "," if "," in first else "\t"


def _has_content(line: str) -> bool:
    return bool(line.strip()) and not line.lstrip().startswith("#")


def _logical_lines(lines: Sequence[str]) -> Iterator[_LogicalLine]:
    """Join lines across which a quoted field continues; comments and empty lines are skipped."""
    index = 0
    while index < len(lines):
        number = index + 1
        text = lines[index]
        index += 1
        if not _has_content(text):
            continue
        while text.count('"') % 2 and index < len(lines) and index - number < MAX_CONTINUATION_LINES:
            text += "\n" + lines[index]
            index += 1
        yield _LogicalLine(number, text)


def _parse_values(text: str, separator: str) -> list[str]:
    """Return the values of one logical line. Raises csv.Error or ValueError if it is not one CSV record."""
    # People align columns by hand with blanks after a quoted field, which the csv module does not allow.
    without_blanks = re.sub(rf'"[ \t]+(?={re.escape(separator)}|$)', '"', text)
    reader = csv.reader(io.StringIO(without_blanks), delimiter=separator, strict=True, skipinitialspace=True)
    (values,) = reader
    return values


def _locate(values: list[str], line: _LogicalLine, separator: str) -> _Record:
    """Return the values with their positions in the file."""
    record = []
    offset = 0
    for value in values:
        found = line.text.find(value, offset) if value else offset
        start = max(found, offset)  # find returns -1 for a value with doubled quotes
        record.append(SourceValue(value.strip(), line.number, start + 1))
        end = line.text.find(separator, start + len(value))
        offset = end + 1 if end >= 0 else len(line.text)
    return record


# ---- The header -------------------------------------------------------------------------------------------


def _read_header(header: _Record, problems: ProblemReport) -> dict[int, str] | None:
    """Return the known columns by position, or None if the header has problems."""
    columns: dict[int, str] = {}
    problems_before = len(problems)
    for position, title in enumerate(header):
        folded = title.text.lower().replace(" ", "_")
        name = ALIASES.get(folded, folded)
        if name not in KNOWN_COLUMNS:
            problems.warn(title, "", f"column {title.text!r} is not used{_suggestion(folded)}")
        elif name in columns.values():
            problems.add(title, "", f"column {name} is duplicated")
        else:
            columns[position] = name
    required = (HOST_COLUMN, *REQUIRED_COLUMNS)
    for name in required:
        if name not in columns.values():
            problems.add(header[0], "", f"column {name} is missing; required: {', '.join(required)}")
    return columns if len(problems) == problems_before else None


def _suggestion(title: str) -> str:
    matches = difflib.get_close_matches(title, (*KNOWN_COLUMNS, *ALIASES), 1)
    return f"; did you mean {matches[0]}?" if matches else ""
