"""Parses and matches label and field selectors of the Kubernetes API conventions."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Literal, Protocol

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import Resource, check_label_key, check_label_value

_SET = re.compile(r"(?P<key>[^\s!=,()]+)\s+(?P<op>in|notin)\s*\((?P<values>[^()]*)\)")
_EQUALITY = re.compile(r"(?P<key>[^\s!=,()]+)\s*(?P<op>==|=|!=)\s*(?P<value>[^\s!=,()]*)")
_EXISTS = re.compile(r"(?P<no>!?)\s*(?P<key>[^\s!=,()]+)")
_FIELD = re.compile(r"(?P<path>[A-Za-z.]+)(?P<op>==|=|!=)(?P<value>[^,]*)")
MAX_TERMS = 32


class Selectable(Protocol):
    """The attributes of an object that selectors match."""

    @property
    def labels(self) -> Mapping[str, str]:
        """The object's labels."""
        ...

    def field(self, path: str) -> str:
        """Return the value of a selectable field as text."""
        ...


@dataclass(frozen=True, slots=True)
class Term:
    """One requirement on a label. Only the operators `in` and `notin` have `values`."""

    key: str
    operator: Literal["in", "notin", "exists", "absent"]
    values: frozenset[str] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether an object with these labels meets the requirement."""
        match self.operator:
            case "in":
                return labels.get(self.key) in self.values
            case "notin":  # also matches if the label is absent, as in the conventions
                return labels.get(self.key) not in self.values
            case "exists":
                return self.key in labels
            case "absent":
                return self.key not in labels


@dataclass(frozen=True, slots=True)
class FieldTerm:
    """One requirement on a field: its value equals `value`, or differs from it if `equal` is False."""

    path: str
    value: str
    equal: bool


@dataclass(frozen=True, slots=True)
class Selector:
    """Selects the objects of a list or watch: those that meet all requirements."""

    labels: tuple[Term, ...] = ()
    fields: tuple[FieldTerm, ...] = ()

    def matches(self, obj: Selectable) -> bool:
        """Return whether an object is selected."""
        return all(term.matches(obj.labels) for term in self.labels) and all(
            (obj.field(term.path) == term.value) == term.equal for term in self.fields
        )

    @property
    def name(self) -> str | None:
        """The only object name that can match, or None; watches are indexed by it."""
        for term in self.fields:
            if term.path == "metadata.name" and term.equal:
                return term.value
        return None


SELECT_ALL = Selector()


def parse_selector(resource: Resource, labels: str, fields: str) -> Selector:
    """Parse `labelSelector` and `fieldSelector`. Raises ApiError 400, which names the invalid term."""
    return Selector(_label_terms(labels), _field_terms(resource, fields))


def _label_terms(text: str) -> tuple[Term, ...]:
    terms: list[Term] = []
    offset = 0
    while offset < len(text):
        if text[offset].isspace():
            offset += 1
            continue
        if len(terms) == MAX_TERMS:
            raise ApiError(400, f"labelSelector: more than {MAX_TERMS} terms")
        # The order matters, because a later form also matches the start of an earlier one.
        match = _SET.match(text, offset) or _EQUALITY.match(text, offset) or _EXISTS.match(text, offset)
        if match is None:
            raise ApiError(400, f"labelSelector: not understood from {text[offset:]!r} on")
        terms.append(_term(match))
        offset = _next_term_offset(text, match.end())
    return tuple(terms)


def _next_term_offset(text: str, term_end: int) -> int:
    """Return the offset after the next comma, or the end of the text if there is none."""
    rest = text[term_end:].lstrip()
    if not rest:
        return len(text)
    if not rest.startswith(","):
        raise ApiError(400, f"labelSelector: ',' expected before {rest!r}")
    if rest == ",":
        raise ApiError(400, "labelSelector: a term expected after the last ','")
    return len(text) - len(rest) + 1


def _term(match: re.Match[str]) -> Term:
    groups = match.groupdict()
    try:
        key = check_label_key(groups["key"])
        if match.re is _SET:
            values = frozenset(check_label_value(value.strip()) for value in groups["values"].split(","))
            return Term(key, "in" if groups["op"] == "in" else "notin", values)
        if match.re is _EQUALITY:
            value = check_label_value(groups["value"])
            return Term(key, "notin" if groups["op"] == "!=" else "in", frozenset({value}))
    except ValueError as error:
        raise ApiError(400, f"labelSelector: {error}") from error
    return Term(key, "absent" if groups["no"] else "exists")


def _field_terms(resource: Resource, text: str) -> tuple[FieldTerm, ...]:
    if not text:
        return ()
    terms = []
    for part in text.split(","):
        match = _FIELD.fullmatch(part.strip())
        if match is None:
            raise ApiError(400, f"fieldSelector: {part!r} is not of the form path=value or path!=value")
        if match["path"] not in resource.selectable:
            allowed = ", ".join(resource.selectable)
            raise ApiError(400, f"fieldSelector: {match['path']!r} is not supported; allowed: {allowed}")
        terms.append(FieldTerm(match["path"], match["value"], match["op"] != "!="))
    if len(terms) > MAX_TERMS:
        raise ApiError(400, f"fieldSelector: more than {MAX_TERMS} terms")
    return tuple(terms)
