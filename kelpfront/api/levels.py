"""Degradation levels: one object per placer, which clients list and watch. Operators can pin its level.

The fields have the names of the API's JSON in snake case. `kelpfront.degradation` decides the levels.
"""

from __future__ import annotations

from typing import Any, Literal

from pydantic import Field, TypeAdapter

from kelpfront.api.jobs import Duration
from kelpfront.api.meta import API_VERSION, ApiModel, ObjectMeta

LevelName = Literal["full", "careful", "recovering", "essential", "holding"]


class Pin(ApiModel):
    level: LevelName = Field(description="Held whatever the symptoms say.")
    for_: Duration = Field(alias="for", description="From when it was written.")


class LevelSpec(ApiModel):
    pin: Pin | None = Field(None, description="An operator's word; absent: the placer goes by what it sees.")


class Evidence(ApiModel):
    symptom: str
    value: float
    bound: float


class LevelChange(ApiModel):
    """One change, with the figures that decided."""

    at: str
    before: LevelName
    after: LevelName
    why: str
    evidence: list[Evidence] = Field(default_factory=list)


class ClassAtLevel(ApiModel):
    name: str
    rank: int = Field(description="0 is given up first.")
    essential: bool
    waiting: int = Field(description="Tasks taken and not answered.")
    places: int | None = Field(None, description="Taken while fewer wait ahead; absent: all are taken.")


class LevelStatus(ApiModel):
    level: LevelName
    since: str
    meaning: str
    why: str = ""
    given_up: list[str] = Field(default_factory=list)
    leaves_when: list[str] = Field(default_factory=list)
    calls: list[str] = Field(default_factory=list, description="Symptoms over a bound of entry now.")
    symptoms: dict[str, float] = Field(default_factory=dict, description="Shares, or milliseconds.")
    classes: list[ClassAtLevel] = Field(default_factory=list)
    turned_away: dict[str, int] = Field(default_factory=dict, description="Jobs, by reason, in this life.")
    changes: list[LevelChange] = Field(default_factory=list, description="The latest, the oldest first.")
    changes_in_hour: int = 0
    changes_most: int = Field(0, description="In any hour; pins are not counted.")
    pinned_until: str | None = None


class Level(ApiModel):
    api_version: Literal["kelpfront.dev/v1"] = API_VERSION
    kind: Literal["Level"] = "Level"
    metadata: ObjectMeta
    spec: LevelSpec = LevelSpec(pin=None)
    status: LevelStatus | None = None


class LevelInput(ApiModel):
    """A level as clients write it back."""

    api_version: Literal["kelpfront.dev/v1"] = API_VERSION
    kind: Literal["Level"] = "Level"
    metadata: ObjectMeta = ObjectMeta()
    spec: LevelSpec = LevelSpec(pin=None)
    status: Any = None


LEVEL_INPUT: TypeAdapter[LevelInput] = TypeAdapter(LevelInput)
