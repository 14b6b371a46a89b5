"""What an experiment consists of: YAML checked by pydantic models. No I/O."""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal

import msgspec
import yaml
from pydantic import Field, field_validator

from kelpfront.config import ConfigError
from kelpfront.config.reader import parse_config
from kelpfront.lab.checkedyaml import Checked, read_checked
from kelpfront.lab.timeline.script import DayScript, ScriptError, read_day

RUNS_MOST = 100_000


class PlanError(ValueError):
    """A plan that cannot be used; the message has a line for each problem."""


class Variant(Checked):
    """One way in which the program is run."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")
    set: tuple[str, ...] = Field((), description="SECTION.KEY=VALUE, put over the day's settings.")
    policy: Literal["rules", "random", "least-loaded", "no-guardrails", "perfect"] = "rules"
    revision: str = Field(
        "", pattern=r"^[A-Za-z0-9._/~^-]*$", description="Of the repository; this tree's if empty."
    )


class PlanScript(Checked):
    """An experiment. Scenarios are names of days or files, or days written out."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    about: str = ""
    seeds: int | tuple[int, ...] = Field(5, description="So many from 1 on, or which.")
    scenarios: tuple[str | dict[str, Any], ...] = Field(min_length=1)
    variants: tuple[Variant, ...] = Field(min_length=1)
    baseline: str = Field("", description="The variant that others are compared with; the first if empty.")

    @field_validator("seeds")
    @classmethod
    def _some(cls, value: int | tuple[int, ...]) -> int | tuple[int, ...]:
        if not value or (isinstance(value, int) and value < 1):
            raise ValueError("one seed at least is needed")
        return value


@dataclass(frozen=True, slots=True)
class Scenario:
    name: str
    text: str  # the day's YAML


@dataclass(frozen=True, slots=True)
class RunKey:
    """One run. Its digest changes with all that it depends on."""

    scenario: Scenario
    variant: Variant
    seed: int

    def digest(self, code: str) -> str:
        """`code` tells the program's version."""
        parts = (self.scenario.text, self.variant.model_dump(mode="json"), self.seed, code)
        return hashlib.blake2b(msgspec.json.encode(parts), digest_size=16).hexdigest()


@dataclass(frozen=True, slots=True)
class Plan:
    name: str
    about: str
    scenarios: tuple[Scenario, ...]
    variants: tuple[Variant, ...]
    seeds: tuple[int, ...]
    baseline: str

    def runs(self) -> list[RunKey]:
        """All seeds of a scenario and variant come late: what is there after a while has every pair."""
        return [
            RunKey(scenario, variant, seed)
            for seed in self.seeds
            for scenario in self.scenarios
            for variant in self.variants
        ]


def read_plan(text: str, source: str, day_text: Callable[[str], str]) -> Plan:
    """A plan of YAML; PlanError names problems with their places. `day_text` reads a day by name or file."""
    script = read_checked(text, source, PlanScript, PlanError, "the experiment")
    names = [variant.name for variant in script.variants]
    _unique(names, f"{source}: variants")
    baseline = script.baseline or names[0]
    if baseline not in names:
        raise PlanError(f"{source}: baseline: {baseline!r} is not one of {', '.join(names)}")
    scenarios = []
    for number, its in enumerate(script.scenarios):
        place = f"{source}: scenarios.{number}"
        try:
            day = day_text(its) if isinstance(its, str) else yaml.safe_dump(its, sort_keys=False)
            read = read_day(day, place)
        except (ScriptError, OSError, UnicodeDecodeError) as error:
            raise PlanError(
                str(error) if isinstance(error, ScriptError) else f"{place}: {its}: {error}"
            ) from None
        scenarios.append(Scenario(read.name, day))
        _check_overrides(read.script, script.variants, f"{source}: variants", read.name)
    _unique([scenario.name for scenario in scenarios], f"{source}: scenarios")
    seeds = tuple(range(1, script.seeds + 1)) if isinstance(script.seeds, int) else script.seeds
    _unique([str(seed) for seed in seeds], f"{source}: seeds")
    if len(seeds) * len(scenarios) * len(names) > RUNS_MOST:
        raise PlanError(f"{source}: {len(seeds) * len(scenarios) * len(names)} runs, at most {RUNS_MOST}")
    return Plan(script.name, script.about, tuple(scenarios), script.variants, seeds, baseline)


def _unique(names: list[str], place: str) -> None:
    for name, count in Counter(names).items():
        if count > 1:
            raise PlanError(f"{place}: {name!r} is there twice")


def _check_overrides(day: DayScript, variants: tuple[Variant, ...], place: str, name: str) -> None:
    for variant in variants:
        if variant.revision:
            continue  # another revision may have other settings
        try:
            parse_config(day.settings, "settings", variant.set)
        except ConfigError as error:
            where = f"{place}: {variant.name}, with day {name}"
            raise PlanError("\n".join(f"{where}: {line}" for line in str(error).splitlines())) from None
