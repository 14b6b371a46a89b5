"""YAML files of the laboratory, checked by pydantic models; every problem is told with its place. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

import yaml
from pydantic import BaseModel, ConfigDict, ValidationError

Model = TypeVar("Model", bound=BaseModel)


class Checked(BaseModel):
    """What such a file consists of: unknown fields are refused, and what was read is not changed."""

    model_config = ConfigDict(extra="forbid", frozen=True, hide_input_in_errors=True)


def read_checked(text: str, source: str, model: type[Model], error: type[ValueError], whole: str) -> Model:
    """The model of a text; `error` with a line for each problem. `whole` names the file in them."""
    try:
        data = yaml.safe_load(text)
    except yaml.YAMLError as problem:
        mark = getattr(problem, "problem_mark", None)
        place = f":{mark.line + 1}:{mark.column + 1}" if mark is not None else ""
        raise error(f"{source}{place}: is not YAML: {getattr(problem, 'problem', problem)}") from None
    if not isinstance(data, Mapping):
        raise error(f"{source}: a mapping of {whole}'s fields is expected")
    try:
        return model.model_validate(data)
    except ValidationError as problem:
        lines = []
        for one in problem.errors(include_url=False):
            place = ".".join(str(part) for part in one["loc"]) or whole
            lines.append(f"{source}: {place}: {one['msg'].removeprefix('Value error, ')}")
        raise error("\n".join(dict.fromkeys(lines))) from None
