"""Inventories in CSV: a header, then a host a line.

Comments, quotes, BOM, CRLF, and `;` or tabs as separators are taken.
"""

from __future__ import annotations

import csv
import difflib
import io
import re

from kelpfront.inventory.build import MAX_HOSTS, OPTIONAL, REQUIRED, Builder, Cell, Row

ALIASES = {
    "host": "host",
    "hostname": "host",
    "name": "host",
    "node": "host",
    "machine": "host",
    "cell": "rack",
    "zone": "room",
    "cpu": "cores",
    "cpus": "cores",
    "mem": "memory",
    "ram": "memory",
    "url": "address",
    "type": "kind",
}


def read_csv(text: str, builder: Builder) -> None:
    """Adds the hosts of a CSV text to a builder, and what is wrong with it."""
    whole = text.replace("\r\n", "\n")
    if whole and not whole.endswith("\n"):
        line = whole.count("\n") + 1
        where = Cell("", line, len(whole.rsplit("\n", 1)[-1]) + 1)
        builder.problem(where, "", "the file ends inside this line: a line end is missing")
    records = _records(whole, builder)
    if not records:
        builder.problem(None, "", "is empty: a header line is expected")
        return
    header, *rows = records
    columns = _columns(header, builder)
    if columns is None:
        return
    for count, cells in enumerate(rows):
        if count >= MAX_HOSTS:
            builder.problem(cells[0], "", f"more than {MAX_HOSTS} hosts")
            return
        named = {name: cells[at] for at, name in columns.items() if at < len(cells)}
        host = named.pop("host", None)
        if len(cells) != len(header):
            short = "the file may be cut off here" if len(cells) < len(header) else "a separator too many?"
            builder.problem(
                cells[0], host.text if host else "", f"{len(cells)} of {len(header)} fields; {short}"
            )
        elif host is None or not host.text:
            builder.problem(cells[0], "", "the host is missing")
        else:
            builder.add(Row(host, named))


def _records(text: str, builder: Builder) -> list[list[Cell]]:
    """Lines as cells, without comments and empty lines; each cell knows where it stands."""
    lines = text.split("\n")
    first = next((line for line in lines if line.strip() and not line.lstrip().startswith("#")), "")
    separator = ";" if first.count(";") > first.count(",") else "," if "," in first else "\t"
    found: list[list[Cell]] = []
    number = 0
    while number < len(lines):
        line, start = lines[number], number + 1
        number += 1
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        while line.count('"') % 2 and number < len(lines):  # a quoted field may hold line ends
            if number - start >= 20:
                break
            line += "\n" + lines[number]
            number += 1
        try:
            tidy = re.sub(rf'"[ \t]+(?={re.escape(separator)}|$)', '"', line)  # blanks behind a quoted field
            (values,) = csv.reader(io.StringIO(tidy), delimiter=separator, strict=True, skipinitialspace=True)
        except (csv.Error, ValueError) as error:
            builder.problem(Cell("", start, 1), "", f"is not CSV: {error or 'an open quote'}")
            if line.count('"') % 2:
                return found  # what follows was swallowed by the open quote
            continue
        cells, at = [], 0
        for value in values:
            column = line.find(value, at) if value else at
            cells.append(Cell(value.strip(), start, max(column, at) + 1))
            after = line.find(separator, max(column, at) + len(value))
            at = after + 1 if after >= 0 else len(line)
        found.append(cells)
    return found


def _columns(header: list[Cell], builder: Builder) -> dict[int, str] | None:
    columns: dict[int, str] = {}
    known = ("host", *REQUIRED, *OPTIONAL)
    before = len(builder.problems)
    for at, cell in enumerate(header):
        folded = cell.text.lower().replace(" ", "_")
        name = ALIASES.get(folded, folded)
        if name not in known:
            close = difflib.get_close_matches(folded, (*known, *ALIASES), 1)
            hint = f"; {close[0]} meant?" if close else ""
            builder.warn(cell, "", f"column {cell.text!r} is not used{hint}")
        elif name in columns.values():
            builder.problem(cell, "", f"column {name} is there twice")
        else:
            columns[at] = name
    for name in ("host", *REQUIRED):
        if name not in columns.values():
            builder.problem(header[0], "", f"column {name} is missing; needed: host, {', '.join(REQUIRED)}")
    return columns if len(builder.problems) == before else None
