"""Reads inventories in YAML, in the form of Ansible's: groups with hosts, children and vars.

A host takes the variables of all groups that it is in; the deepest group decides, and the host's own
variables come before all. Whether an entry describes a host is left to the builder.
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

MAX_DEPTH = 16  # of groups within groups
MAX_GROUPS = 10_000  # aliases that refer to each other could make any number of them
ALIASES = {
    "ansible_host": "address",
    "ansible_port": "",  # the port of ssh, which is not used
    "kelpfront_port": "port",
    "kelpfront_address": "address",
}

_VARIABLES = (*REQUIRED_COLUMNS, *OPTIONAL_COLUMNS)
_GROUP_KEYS = ("hosts", "children", "vars")
_HOST_DEPTH = MAX_DEPTH + 1  # a host's own variables come before those of any group


@dataclass(frozen=True, slots=True)
class _Assignment:
    """A variable's value, how deep in the groups it was assigned, and by what."""

    depth: int
    origin: str
    value: SourceValue


@dataclass(slots=True)
class _CollectedHost:
    """A host and the values that its groups and itself assign."""

    first_use: SourceValue
    variables: dict[str, _Assignment] = field(default_factory=dict)


def read_yaml(text: str, builder: InventoryBuilder) -> None:
    """Add the hosts of a YAML text to a builder, and what is wrong with it."""
    if text and not text.endswith("\n"):
        message = "the file ends inside this line: a line end is missing"
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
    """Return the document's root node; None, with a problem added, where there is none."""
    try:
        root = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        where = SourceValue("", mark.line + 1, mark.column + 1) if mark is not None else None
        problems.add(where, "", f"is not YAML: {error.problem or error.context}")
        return None
    except (yaml.YAMLError, RecursionError) as error:
        problems.add(None, "", f"is not YAML: {error}")
        return None
    if root is None:
        problems.add(None, "", "is empty: groups of hosts are expected")
    return root


class _HostCollector:
    """Walks through groups and collects their hosts, by name and in the order of the file."""

    def __init__(self, problems: ProblemReport) -> None:
        self._problems = problems
        self._group_count = 0
        self.hosts: dict[str, _CollectedHost] = {}

    def add_group(self, name: str, node: yaml.Node, inherited: Mapping[str, _Assignment], depth: int) -> None:
        """Add the hosts of a group and of the groups within it."""
        self._group_count += 1
        if depth > MAX_DEPTH or self._group_count > MAX_GROUPS:
            self._report_group_limit(name, node)
            return
        parts = {key.text: (key, value) for key, value in self._items(node, f"group {name}")}
        variables = dict(inherited)
        if "vars" in parts:
            for variable, value in self._variables(parts["vars"][1], f"vars of {name}", name):
                variables[variable] = _Assignment(depth, f"group {name}", value)
        if "hosts" in parts:
            self._add_hosts(parts["hosts"][1], name, variables)
        if "children" in parts:
            for child, child_node in self._items(parts["children"][1], f"children of {name}"):
                self.add_group(child.text, child_node, variables, depth + 1)
        self._check_group_keys(name, [key for key, _ in parts.values()])

    def _report_group_limit(self, name: str, node: yaml.Node) -> None:
        # Once there are too many groups the walk still meets all others: one problem is enough for these.
        if self._group_count <= MAX_GROUPS + 1:
            message = f"group {name}: groups are nested too deeply or too many"
            self._problems.add(scalar_value(node), "", message)

    def _check_group_keys(self, name: str, keys: list[SourceValue]) -> None:
        for key in keys:
            if key.text not in _GROUP_KEYS:
                message = f"group {name}: {key.text!r} is not one of {', '.join(_GROUP_KEYS)}"
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
            own = _Assignment(_HOST_DEPTH, "the host itself", value)
            self._assign(host, collected, variable, own)

    def _assign(
        self, host: SourceValue, collected: _CollectedHost, variable: str, assignment: _Assignment
    ) -> None:
        """Assign a variable; the deeper assignment is valid, and two of one depth must agree."""
        present = collected.variables.get(variable)
        if present is None or assignment.depth > present.depth:
            collected.variables[variable] = assignment
            return
        is_conflict = assignment.depth == present.depth and assignment.value.text != present.value.text
        if is_conflict:
            message = (
                f"{variable} is {assignment.value.text!r} by {assignment.origin}"
                f" and {present.value.text!r} by {present.origin} in line {present.value.line}"
            )
            self._problems.add(assignment.value, host.text, message)

    def _variables(self, node: yaml.Node, name: str, host: str) -> Iterator[tuple[str, SourceValue]]:
        """Return the variables that describe hosts; those of other tools are passed over."""
        for key, value_node in self._items(node, name):
            variable = ALIASES.get(key.text, key.text)
            if variable not in _VARIABLES:
                continue
            value = scalar_value(value_node)
            if not isinstance(value_node, yaml.ScalarNode):
                self._problems.add(value, host, f"{key.text}: one value is expected")
            elif "{{" in value_node.value:
                self._problems.add(value, host, f"{key.text}: templates are not filled in here")
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
