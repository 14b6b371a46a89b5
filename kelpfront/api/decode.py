"""Decodes request bodies into models and reports all errors of a body at once.

The models define the fields; the fronts handle HTTP.
"""

from __future__ import annotations

import json
from typing import Any, Generic, Literal, NamedTuple, TypeVar

from pydantic import BaseModel, TypeAdapter, ValidationError

from kelpfront.api.errors import ApiError, Cause, invalid
from kelpfront.api.meta import Resource

ModelT = TypeVar("ModelT", bound=BaseModel)

FieldValidation = Literal["Strict", "Warn", "Ignore"]
MAX_CAUSES = 50  # per error response, because a body can have an error in every field
MAX_DEPTH = 32  # nested objects and lists; resources need six

_REASONS = {
    "missing": "FieldValueRequired",
    "extra_forbidden": "FieldValueForbidden",
    "literal_error": "FieldValueNotSupported",
    "enum": "FieldValueNotSupported",
    "too_long": "FieldValueTooLong",
    "string_too_long": "FieldValueTooLong",
}


class Decoded(NamedTuple, Generic[ModelT]):
    """A decoded model with warnings about its ignored fields."""

    model: ModelT
    warnings: tuple[str, ...]


def parse_json(body: bytes) -> Any:
    """Return the JSON object of a body. Raises ApiError 400, which gives the position of a syntax error."""
    if not body:
        raise ApiError(400, "the request has no body; a JSON object is expected")
    try:
        data = json.loads(body)
    except (UnicodeDecodeError, json.JSONDecodeError) as error:
        raise ApiError(400, f"the body is not JSON: {error}") from error
    except RecursionError as error:
        raise ApiError(400, "the body is nested too deeply") from error
    if not isinstance(data, dict):
        raise ApiError(400, f"the body is a JSON {type(data).__name__}; an object is expected")
    if _depth(data) > MAX_DEPTH:
        raise ApiError(400, f"the body is nested deeper than {MAX_DEPTH} levels")
    return data


def decode(
    adapter: TypeAdapter[ModelT], resource: Resource, data: Any, validation: FieldValidation = "Strict"
) -> Decoded[ModelT]:
    """Validate data and return the model. Raises ApiError 422, which lists all errors.

    `Strict` rejects unknown fields. `Warn` drops them with a warning for each, `Ignore` without.
    """
    warnings: list[str] = []
    while True:
        try:
            return Decoded(adapter.validate_python(data), tuple(warnings))
        except ValidationError as error:
            problems = error.errors(include_url=False, include_context=False)
            unknown = [problem["loc"] for problem in problems if problem["type"] == "extra_forbidden"]
            if validation == "Strict" or len(unknown) < len(problems):
                causes = tuple(_cause(problem) for problem in problems[:MAX_CAUSES])
                raise invalid(resource, _name_of(data), causes) from error
            for location in unknown:
                data = _without(data, location)
                if validation == "Warn":
                    warnings.append(f'unknown field "{_path(location)}"')


def _cause(problem: Any) -> Cause:
    kind: str = problem["type"]
    message: str = problem["msg"].removeprefix("Value error, ")
    if kind == "extra_forbidden":
        message = "unknown field"
    elif kind == "missing":
        message = "is required"
    return Cause(_path(problem["loc"]), message, _REASONS.get(kind, "FieldValueInvalid"))


def _path(location: tuple[str | int, ...]) -> str:
    text = ""
    for part in location:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text.removesuffix(".[key]")


def _without(data: Any, location: tuple[str | int, ...]) -> Any:
    """Return a copy of the data without the field at a location."""
    head, *rest = location
    if isinstance(data, dict):
        if not rest:
            return {name: value for name, value in data.items() if name != head}
        return {name: _without(value, tuple(rest)) if name == head else value for name, value in data.items()}
    return [_without(value, tuple(rest)) if index == head else value for index, value in enumerate(data)]


def _name_of(data: Any) -> str:
    metadata = data.get("metadata") if isinstance(data, dict) else None
    name = metadata.get("name") if isinstance(metadata, dict) else None
    return name if isinstance(name, str) else ""


def _depth(data: Any) -> int:
    deepest = 0
    stack = [(data, 1)]  # not recursive, because the client controls the depth
    while stack:
        value, depth = stack.pop()
        deepest = max(deepest, depth)
        if isinstance(value, dict):
            stack.extend((inner, depth + 1) for inner in value.values())
        elif isinstance(value, list):
            stack.extend((inner, depth + 1) for inner in value)
    return deepest
