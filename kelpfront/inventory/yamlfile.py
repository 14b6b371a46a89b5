"""Inventories in YAML, in the form of Ansible's: groups with hosts, children and vars; ranges in host names.

Values are read as they are written: `no` is a name and not a boolean, `012` stays `012`. A key that is there
twice, which YAML readers pass over, is a mistake here.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

import yaml

from kelpfront.inventory.build import MAX_HOSTS, OPTIONAL, REQUIRED, Builder, Cell, Row

MAX_DEPTH = 16  # of groups within groups
MAX_GROUPS = 10_000
ALIASES = {
    "ansible_host": "address",
    "ansible_port": "",  # of ssh, not ours
    "kelpfront_port": "port",
    "kelpfront_address": "address",
}
_RANGE = re.compile(r"\[(?P<first>[0-9]+|[a-z]|[A-Z]):(?P<last>[0-9]+|[a-z]|[A-Z])(?::(?P<step>[0-9]+))?\]")


@dataclass(slots=True)
class _Found:
    """A host with the values that its groups and itself give, by how deep each was said."""

    cell: Cell
    own: bool = False
    values: dict[str, tuple[int, str, Cell]] = field(default_factory=dict)


def read_yaml(text: str, builder: Builder) -> None:
    """Adds the hosts of a YAML text to a builder, and what is wrong with it."""
    if text and not text.endswith("\n"):
        where = Cell("", text.count("\n") + 1, len(text.rsplit("\n", 1)[-1]) + 1)
        builder.problem(where, "", "the file ends inside this line: a line end is missing")
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        cell = Cell("", mark.line + 1, mark.column + 1) if mark is not None else None
        builder.problem(cell, "", f"is not YAML: {error.problem or error.context}")
        return
    except (yaml.YAMLError, RecursionError) as error:
        builder.problem(None, "", f"is not YAML: {error}")
        return
    if root is None:
        builder.problem(None, "", "is empty: groups of hosts are expected")
        return
    walk = _Walk(builder)
    for name, node in walk.pairs(root, "the file"):
        walk.group(name.text, node, {}, 0)
    for host, found in walk.hosts.items():
        values = {key: cell for key, (_, _, cell) in found.values.items()}
        builder.add(Row(Cell(host, found.cell.line, found.cell.column), values))


class _Walk:
    def __init__(self, builder: Builder) -> None:
        self.builder = builder
        self.hosts: dict[str, _Found] = {}
        self._groups = 0

    def pairs(self, node: yaml.Node, what: str) -> Iterator[tuple[Cell, yaml.Node]]:
        """Keys and values of a mapping, merge keys followed; a repeated key is a problem."""
        if isinstance(node, yaml.ScalarNode) and node.value in ("", "~", "null"):
            return
        if not isinstance(node, yaml.MappingNode):
            self.builder.problem(_cell(node), "", f"{what}: a mapping is expected")
            return
        seen: dict[str, Cell] = {}
        merged: list[yaml.Node] = []
        for key, value in node.value:
            if key.tag == "tag:yaml.org,2002:merge":
                merged += value.value if isinstance(value, yaml.SequenceNode) else [value]
                continue
            cell = _cell(key)
            if not isinstance(key, yaml.ScalarNode):
                self.builder.problem(cell, "", f"{what}: a name is expected")
            elif cell.text in seen:
                message = f"{cell.text!r} is there twice in {what}, first in line {seen[cell.text].line}"
                self.builder.problem(cell, cell.text, message)
            else:
                seen[cell.text] = cell
                yield cell, value
        for node_ in merged:
            if isinstance(node_, yaml.MappingNode):
                for key, value in node_.value:
                    if isinstance(key, yaml.ScalarNode) and key.value not in seen:
                        seen[key.value] = _cell(key)
                        yield _cell(key), value

    def group(self, name: str, node: yaml.Node, above: dict[str, tuple[int, str, Cell]], depth: int) -> None:
        self._groups += 1
        if depth > MAX_DEPTH or self._groups > MAX_GROUPS:
            if self._groups <= MAX_GROUPS + 1:
                self.builder.problem(
                    _cell(node), "", f"group {name}: groups are nested too deeply or too many"
                )
            return
        parts = {cell.text: (cell, value) for cell, value in self.pairs(node, f"group {name}")}
        values = dict(above)
        if "vars" in parts:
            for key, cell in self.variables(parts["vars"][1], f"vars of {name}", name):
                values[key] = depth, f"group {name}", cell
        if "hosts" in parts:
            for host, its in self.pairs(parts["hosts"][1], f"hosts of {name}"):
                for one in self._expand(host):
                    self._host(one, its, values)
        if "children" in parts:
            for child, its in self.pairs(parts["children"][1], f"children of {name}"):
                self.group(child.text, its, values, depth + 1)
        for key, (cell, _) in parts.items():
            if key not in ("vars", "hosts", "children"):
                self.builder.problem(cell, "", f"group {name}: {key!r} is not one of hosts, children, vars")

    def variables(self, node: yaml.Node, what: str, host: str) -> Iterator[tuple[str, Cell]]:
        for cell, value in self.pairs(node, what):
            name = ALIASES.get(cell.text, cell.text)
            if name not in (*REQUIRED, *OPTIONAL):
                continue  # other tools' variables
            if not isinstance(value, yaml.ScalarNode):
                self.builder.problem(_cell(value), host, f"{cell.text}: one value is expected")
            elif "{{" in value.value:
                self.builder.problem(_cell(value), host, f"{cell.text}: templates are not filled in here")
            else:
                yield name, _cell(value)

    def _host(self, host: Cell, node: yaml.Node, above: dict[str, tuple[int, str, Cell]]) -> None:
        found = self.hosts.get(host.text)
        if found is None:
            if len(self.hosts) >= MAX_HOSTS:
                if len(self.hosts) == MAX_HOSTS:
                    self.builder.problem(host, "", f"more than {MAX_HOSTS} hosts")
                return
            found = self.hosts[host.text] = _Found(host)
        for key, said in above.items():
            self._say(host, found, key, said)
        for key, cell in self.variables(node, host.text, host.text):
            self._say(host, found, key, (MAX_DEPTH + 1, "the host itself", cell))

    def _say(self, host: Cell, found: _Found, key: str, said: tuple[int, str, Cell]) -> None:
        """The deeper word holds; two words of one depth must agree."""
        before = found.values.get(key)
        if before is None or said[0] > before[0]:
            found.values[key] = said
        elif said[0] == before[0] and said[2].text != before[2].text:
            self.builder.problem(
                said[2],
                host.text,
                f"{key} is {said[2].text!r} by {said[1]} and {before[2].text!r} by {before[1]}"
                f" in line {before[2].line}",
            )

    def _expand(self, host: Cell) -> list[Cell]:
        """`n[01:20]` as its hosts; several ranges in one name multiply."""
        names = [""]
        at = 0
        for match in _RANGE.finditer(host.text):
            try:
                values = _range(match)
            except ValueError as error:
                self.builder.problem(host, host.text, str(error))
                return []
            if len(names) * len(values) > MAX_HOSTS:
                self.builder.problem(host, host.text, f"more than {MAX_HOSTS} hosts")
                return []
            before = host.text[at : match.start()]
            names = [name + before + value for name in names for value in values]
            at = match.end()
        rest = host.text[at:]
        if "[" in rest or "]" in rest:
            self.builder.problem(host, host.text, "a range is FIRST:LAST or FIRST:LAST:STEP in brackets")
            return []
        return [Cell(name + rest, host.line, host.column) for name in names]


def _range(match: re.Match[str]) -> list[str]:
    first, last, step = match["first"], match["last"], int(match["step"] or 1)
    if first.isdigit() != last.isdigit() or step < 1:
        raise ValueError(f"{match[0]}: both ends of a range are numbers, or letters")
    low, high = (int(first), int(last)) if first.isdigit() else (ord(first), ord(last))
    if high < low:
        raise ValueError(f"{match[0]}: the range ends before it begins")
    if high - low > MAX_HOSTS * step:
        raise ValueError(f"{match[0]}: more than {MAX_HOSTS} hosts")
    numbers = range(low, high + 1, step)
    if not first.isdigit():
        return [chr(number) for number in numbers]
    width = len(first) if first.startswith("0") else 0
    return [str(number).zfill(width) for number in numbers]


def _cell(node: yaml.Node) -> Cell:
    text = node.value if isinstance(node, yaml.ScalarNode) else ""
    mark = node.start_mark
    return Cell(text.strip(), mark.line + 1, mark.column + 1)
