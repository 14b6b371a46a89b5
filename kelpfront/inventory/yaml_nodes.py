"""Reads mappings of a YAML document with the positions of their keys and values.

Scalars are read as written: `no` is a name and not a boolean, and `012` stays `012`. A duplicate key, which
PyYAML's loaders silently accept, is reported as a problem.
"""

from __future__ import annotations

from collections.abc import Iterator

import yaml

from kelpfront.inventory.entries import SourceValue
from kelpfront.inventory.problems import ProblemReport

MappingItem = tuple[SourceValue, yaml.Node]
"""A key with its position, and the node of its value."""

_MERGE_TAG = "tag:yaml.org,2002:merge"
_NULL_TEXTS = ("", "~", "null")


def scalar_value(node: yaml.Node) -> SourceValue:
    """Return the text of a scalar, empty for any other node, with the node's position."""
    text = node.value if isinstance(node, yaml.ScalarNode) else ""
    mark = node.start_mark
    return SourceValue(text.strip(), mark.line + 1, mark.column + 1)


def mapping_items(node: yaml.Node, name: str, problems: ProblemReport) -> Iterator[MappingItem]:
    """Yield the items of a mapping, those from its merge keys (`<<`) last.

    `name` denotes the mapping in problems.
    """
    if isinstance(node, yaml.ScalarNode) and node.value in _NULL_TEXTS:
        return
    if not isinstance(node, yaml.MappingNode):
        problems.add(scalar_value(node), "", f"{name}: expected a mapping")
        return
    first_uses: dict[str, SourceValue] = {}
    merged: list[yaml.Node] = []
    for key_node, value_node in node.value:
        if key_node.tag == _MERGE_TAG:
            merged += value_node.value if isinstance(value_node, yaml.SequenceNode) else [value_node]
            continue
        key = scalar_value(key_node)
        if not isinstance(key_node, yaml.ScalarNode):
            problems.add(key, "", f"{name}: expected a name as key")
        elif key.text in first_uses:
            first_line = first_uses[key.text].line
            problems.add(key, key.text, f"duplicate key {key.text!r} in {name}; first in line {first_line}")
        else:
            first_uses[key.text] = key
            yield key, value_node
    yield from _merged_items(merged, set(first_uses))


def _merged_items(nodes: list[yaml.Node], used_keys: set[str]) -> Iterator[MappingItem]:
    """Yield the items of merged mappings whose keys are not used yet; adds them to `used_keys`."""
    for node in nodes:
        if not isinstance(node, yaml.MappingNode):
            continue
        for key_node, value_node in node.value:
            if isinstance(key_node, yaml.ScalarNode) and key_node.value not in used_keys:
                used_keys.add(key_node.value)
                yield scalar_value(key_node), value_node
