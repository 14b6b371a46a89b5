"""Machines: their data from the inventory, their reported status, and whether they accept new work.

The fields have the names of the API's JSON in snake case.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, Literal

from pydantic import Field, TypeAdapter

from kelpfront.api.meta import API_VERSION, ApiModel, ObjectMeta


class State(StrEnum):
    """What the placer goes by: not heard from yet, in use, taking no new work, or gone."""

    UNKNOWN = "Unknown"
    READY = "Ready"
    DRAINING = "Draining"
    GONE = "Gone"


class MachineSpec(ApiModel):
    kind: str
    rack: str
    room: str
    cores: float
    memory: float
    address: str
    unschedulable: bool = Field(
        default=False, strict=True, description="True drains the machine: it gets no new work."
    )


class Amount(ApiModel):
    cores: float | None = None
    memory: float | None = None


class MachineStatus(ApiModel):
    state: State
    free: Amount = Field(Amount(), description="What no accepted task asks for.")
    unused: Amount = Field(Amount(), description="What is not in use.")
    tasks: int = Field(0, description="Tasks of this placer that it holds.")
    waiting: int | None = Field(None, description="Asks and starts that wait there.")
    heartbeat_at: str | None = None
    started_at: str | None = None
    boot_id: str | None = None
    message: str | None = Field(None, description="Why it is not in use.")


class Machine(ApiModel):
    api_version: Literal["kelpfront.dev/v1"] = API_VERSION
    kind: Literal["Machine"] = "Machine"
    metadata: ObjectMeta
    spec: MachineSpec
    status: MachineStatus | None = None


class MachineInput(ApiModel):
    """A machine as clients write it back."""

    api_version: Literal["kelpfront.dev/v1"] = API_VERSION
    kind: Literal["Machine"] = "Machine"
    metadata: ObjectMeta = ObjectMeta()
    spec: MachineSpec
    status: Any = None


MACHINE_INPUT: TypeAdapter[MachineInput] = TypeAdapter(MachineInput)

FIXED_SPEC_FIELDS = ("kind", "rack", "room", "cores", "memory", "address")
"""Set by the inventory; clients may change only `unschedulable`."""
