"""Label and field selectors, by the public conventions."""

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
    """What selectors look at of an object."""

    @property
    def labels(self) -> Mapping[str, str]: ...

    def field(self, path: str) -> str:
        """The value at a path that the resource lets fieldSelector name, as text."""
        ...


@dataclass(frozen=True, slots=True)
class Term:
    """One requirement on a label."""

    key: str
    operator: Literal["in", "notin", "exists", "absent"]
    values: frozenset[str] = frozenset()

    def matches(self, labels: Mapping[str, str]) -> bool:
        match self.operator:
            case "in":
                return labels.get(self.key) in self.values
            case "notin":  # also where the label is absent, as the conventions have it
                return labels.get(self.key) not in self.values
            case "exists":
                return self.key in labels
            case "absent":
                return self.key not in labels


@dataclass(frozen=True, slots=True)
class FieldTerm:
    path: str
    value: str
    equal: bool


@dataclass(frozen=True, slots=True)
class Selector:
    """Which objects of a resource a list or watch is about."""

    labels: tuple[Term, ...] = ()
    fields: tuple[FieldTerm, ...] = ()

    def matches(self, obj: Selectable) -> bool:
        return all(term.matches(obj.labels) for term in self.labels) and all(
            (obj.field(term.path) == term.value) == term.equal for term in self.fields
        )

    @property
    def name(self) -> str | None:
        """The one name that can match, where there is one; lets watches be looked up by it."""
        for term in self.fields:
            if term.path == "metadata.name" and term.equal:
                return term.value
        return None


EVERYTHING = Selector()


def parse_selector(resource: Resource, labels: str, fields: str) -> Selector:
    """Reads `labelSelector` and `fieldSelector`; ApiError 400 names the term that is not understood."""
    return Selector(_label_terms(labels), _field_terms(resource, fields))


def _label_terms(text: str) -> tuple[Term, ...]:
    terms: list[Term] = []
    at = 0
    while at < len(text):
        if text[at].isspace():
            at += 1
            continue
        if len(terms) == MAX_TERMS:
            raise ApiError(400, f"labelSelector: more than {MAX_TERMS} terms")
        match = _SET.match(text, at) or _EQUALITY.match(text, at) or _EXISTS.match(text, at)
        if match is None:
            raise ApiError(400, f"labelSelector: not understood from {text[at:]!r} on")
        terms.append(_term(match))
        at = match.end()
        rest = text[at:].lstrip()
        if rest and not rest.startswith(","):
            raise ApiError(400, f"labelSelector: ',' expected before {rest!r}")
        at = len(text) - len(rest) + 1 if rest else len(text)
        if rest == ",":
            raise ApiError(400, "labelSelector: a term expected after the last ','")
    return tuple(terms)


def _term(match: re.Match[str]) -> Term:
    found = match.groupdict()
    try:
        key = check_label_key(found["key"])
        if match.re is _SET:
            values = frozenset(check_label_value(value.strip()) for value in found["values"].split(","))
            return Term(key, "in" if found["op"] == "in" else "notin", values)
        if match.re is _EQUALITY:
            value = check_label_value(found["value"])
            return Term(key, "notin" if found["op"] == "!=" else "in", frozenset({value}))
    except ValueError as error:
        raise ApiError(400, f"labelSelector: {error}") from None
    return Term(key, "absent" if found["no"] else "exists")


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
