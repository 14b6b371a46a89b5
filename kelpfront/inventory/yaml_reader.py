"""Reads inventories in the YAML format of Ansible: groups with hosts, children and vars.

A host inherits the variables of all its groups. A deeper group overrides a shallower one, and the variables
of the host itself override those of all groups. The builder validates the entries.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

import yaml

from kelpfront.inventory.builder import InventoryBuilder
from kelpfront.inventory.entries import (
    MAX_HOSTS,
    OPTIONAL_COLUMNS,
    REQUIRED_COLUMNS,
    HostEntry,
    SourceValue,
    position_after,
)
from kelpfront.inventory.host_ranges import RangeError, expand_ranges
from kelpfront.inventory.problems import ProblemReport
from kelpfront.inventory.yaml_nodes import MappingItem, mapping_items, scalar_value

MAX_DEPTH = 16  # of nested groups
MAX_GROUPS = 10_000  # nested YAML aliases could expand to an exponential number of groups
ALIASES = {
    "ansible_host": "address",
    "ansible_port": "",  # the SSH port, which is ignored
    "kelpfront_port": "port",
    "kelpfront_address": "address",
}

_VARIABLES = (*REQUIRED_COLUMNS, *OPTIONAL_COLUMNS)
_GROUP_KEYS = ("hosts", "children", "vars")
_HOST_DEPTH = MAX_DEPTH + 1  # a host's variables override those of any group


@dataclass(frozen=True, slots=True)
class _Assignment:
    """The value of a variable, the depth of the group that assigned it, and what assigned it."""

    depth: int
    origin: str
    value: SourceValue


@dataclass(slots=True)
class _CollectedHost:
    """A host and the variables that its groups and its own entries assign."""

    first_use: SourceValue
    variables: dict[str, _Assignment] = field(default_factory=dict)


def read_yaml(text: str, builder: InventoryBuilder) -> None:
    """Add the hosts of a YAML text, and the problems of the text, to a builder."""
    if text and not text.endswith("\n"):
        message = "the last line has no line ending; the file may be truncated"
        builder.problems.add(position_after(text), "", message)
    root = _compose(text, builder.problems)
    if root is None:
        return
    collector = _HostCollector(builder.problems)
    for name, node in mapping_items(root, "the file", builder.problems):
        collector.add_group(name.text, node, {}, 0)
    for host_name, host in collector.hosts.items():
        values = {variable: assignment.value for variable, assignment in host.variables.items()}
        where = SourceValue(host_name, host.first_use.line, host.first_use.column)
        builder.add(HostEntry(where, values))


def _compose(text: str, problems: ProblemReport) -> yaml.Node | None:
    """Return the root node of a document, or report a problem and return None."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        where = SourceValue("", mark.line + 1, mark.column + 1) if mark is not None else None
        problems.add(where, "", f"invalid YAML: {error.problem or error.context}")
        return None
    except (yaml.YAMLError, RecursionError) as error:
        problems.add(None, "", f"invalid YAML: {error}")
        return None
    if root is None:
        problems.add(None, "", "is empty; expected groups of hosts")
    return root


class _HostCollector:
    """Walks the groups and collects their hosts by name, in the order of the file."""

    def __init__(self, problems: ProblemReport) -> None:
        self._problems = problems
        self._group_count = 0
        self.hosts: dict[str, _CollectedHost] = {}

    def add_group(self, name: str, node: yaml.Node, inherited: Mapping[str, _Assignment], depth: int) -> None:
        """Add the hosts of a group and of the groups nested in it."""
        self._group_count += 1
        if depth > MAX_DEPTH or self._group_count > MAX_GROUPS:
            self._report_group_limit(name, node)
            return
        sections = {key.text: (key, value) for key, value in self._items(node, f"group {name}")}
        variables = dict(inherited)
        if "vars" in sections:
            for variable, value in self._variables(sections["vars"][1], f"vars of {name}", name):
                variables[variable] = _Assignment(depth, f"group {name}", value)
        if "hosts" in sections:
            self._add_hosts(sections["hosts"][1], name, variables)
        if "children" in sections:
            for child, child_node in self._items(sections["children"][1], f"children of {name}"):
                self.add_group(child.text, child_node, variables, depth + 1)
        self._check_group_keys(name, [key for key, _ in sections.values()])

    def _report_group_limit(self, name: str, node: yaml.Node) -> None:
        # The walk still visits the remaining groups after the limit is reached: report only the first one.
        if self._group_count <= MAX_GROUPS + 1:
            message = f"group {name}: too many groups, or groups nested too deeply"
            self._problems.add(scalar_value(node), "", message)

    def _check_group_keys(self, name: str, keys: list[SourceValue]) -> None:
        for key in keys:
            if key.text not in _GROUP_KEYS:
                message = f"group {name}: unknown key {key.text!r}; expected one of {', '.join(_GROUP_KEYS)}"
                self._problems.add(key, "", message)

    def _add_hosts(self, node: yaml.Node, group: str, variables: Mapping[str, _Assignment]) -> None:
        for pattern, host_node in self._items(node, f"hosts of {group}"):
            for host in self._expand(pattern):
                self._add_host(host, host_node, variables)

    def _add_host(self, host: SourceValue, node: yaml.Node, inherited: Mapping[str, _Assignment]) -> None:
        collected = self.hosts.get(host.text)
        if collected is None:
            if len(self.hosts) >= MAX_HOSTS:
                if len(self.hosts) == MAX_HOSTS:
                    self._problems.add(host, "", f"more than {MAX_HOSTS} hosts")
                return
            collected = self.hosts[host.text] = _CollectedHost(host)
        for variable, assignment in inherited.items():
            self._assign(host, collected, variable, assignment)
        for variable, value in self._variables(node, host.text, host.text):
            host_assignment = _Assignment(_HOST_DEPTH, "the host itself", value)
            self._assign(host, collected, variable, host_assignment)

    def _assign(
        self, host: SourceValue, collected: _CollectedHost, variable: str, assignment: _Assignment
    ) -> None:
        """Assign a variable. The deeper assignment wins; two at the same depth must have the same value."""
        current = collected.variables.get(variable)
        if current is None or assignment.depth > current.depth:
            collected.variables[variable] = assignment
            return
        is_conflict = assignment.depth == current.depth and assignment.value.text != current.value.text
        if is_conflict:
            message = (
                f"{variable} is set to {assignment.value.text!r} by {assignment.origin}"
                f" and to {current.value.text!r} by {current.origin} in line {current.value.line}"
            )
            self._problems.add(assignment.value, host.text, message)

    def _variables(self, node: yaml.Node, name: str, host: str) -> Iterator[tuple[str, SourceValue]]:
        """Yield the variables that describe hosts; variables of other tools are skipped."""
        for key, value_node in self._items(node, name):
            variable = ALIASES.get(key.text, key.text)
            if variable not in _VARIABLES:
                continue
            value = scalar_value(value_node)
            if not isinstance(value_node, yaml.ScalarNode):
                self._problems.add(value, host, f"{key.text}: expected a single value")
            elif "{{" in value_node.value:
                self._problems.add(value, host, f"{key.text}: templates are not supported")
            else:
                yield variable, value

    def _expand(self, pattern: SourceValue) -> list[SourceValue]:
        try:
            names = expand_ranges(pattern.text)
        except RangeError as error:
            self._problems.add(pattern, pattern.text, str(error))
            return []
        return [SourceValue(name, pattern.line, pattern.column) for name in names]

    def _items(self, node: yaml.Node, name: str) -> Iterator[MappingItem]:
        return mapping_items(node, name, self._problems)
