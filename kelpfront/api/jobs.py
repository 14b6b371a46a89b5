"""Jobs: groups of tasks with the same resource request that their owner wants placed.

Each of a job's `count` tasks gets exactly one answer (Placed, Refused or Failed) within the job's `patience`.
The answer never changes, but the task's state may change after it (Placed, Running, then Ended or Lost). The
fields have the names of the API's JSON in snake case.
"""

from __future__ import annotations

import re
from enum import StrEnum
from typing import Annotated, Any, Literal

from pydantic import AfterValidator, Field, TypeAdapter, WithJsonSchema, model_validator

from kelpfront.api.meta import API_VERSION, ApiModel, ObjectMeta
from kelpfront.units import DURATION_FORM, format_duration, parse_duration

MAX_COUNT = 1000  # tasks per job; bounds the size of its object and of each event that contains it


MIN_DURATION_MS = 10.0  # no answer can be given in less time
MAX_DURATION_MS = 3_600_000.0  # one hour


def _normalize_duration(text: str) -> str:
    duration_ms = parse_duration(text)
    if not MIN_DURATION_MS <= duration_ms <= MAX_DURATION_MS:
        raise ValueError(f"{text!r} is not from 10ms to 1h")
    return format_duration(duration_ms)


Duration = Annotated[
    str,
    AfterValidator(_normalize_duration),
    WithJsonSchema({"type": "string", "description": DURATION_FORM, "examples": ["5s", "800ms"]}),
]


MAX_ARGV = 256  # entries of a command
MAX_ENV = 100  # entries of its environment
MAX_RUN_BYTES = 32_768  # of a command and its environment in UTF-8, because offers contain them


def _reject_nul(text: str) -> str:
    if "\0" in text:
        raise ValueError("has a NUL character, which no process can be given")
    return text


def _check_env_name(text: str) -> str:
    if not _ENV_NAME.fullmatch(text):
        raise ValueError(f"{text!r} is not a name: letters, digits and '_', the first no digit")
    if text.startswith("KELPFRONT_"):
        raise ValueError(f"{text!r}: names that begin with KELPFRONT_ are the machine's to set")
    return text


def _check_absolute_path(text: str) -> str:
    if not text.startswith("/"):
        raise ValueError(f"{text!r} is not an absolute path")
    return _reject_nul(text)


_ENV_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_]{0,127}")
Argument = Annotated[str, AfterValidator(_reject_nul)]
EnvName = Annotated[str, AfterValidator(_check_env_name)]
AbsolutePath = Annotated[str, Field(max_length=4096), AfterValidator(_check_absolute_path)]


class TaskState(StrEnum):
    """Where a task is. Refused, Failed, Ended and Lost are ends, but see `found` of a failed task."""

    PENDING = "Pending"
    PLACING = "Placing"
    PLACED = "Placed"
    RUNNING = "Running"
    REFUSED = "Refused"
    FAILED = "Failed"
    ENDED = "Ended"
    LOST = "Lost"


class Answer(StrEnum):
    """The one answer that each task gets."""

    PLACED = "Placed"
    REFUSED = "Refused"
    FAILED = "Failed"


class Phase(StrEnum):
    """Of a job: some tasks have no answer yet, all have one and some go on, or all are at an end."""

    PLACING = "Placing"
    ACTIVE = "Active"
    FINISHED = "Finished"


class JobSpec(ApiModel):
    class_: str = Field(alias="class", min_length=1, max_length=63, description="A class of the settings.")
    service: str = Field(
        min_length=1, max_length=253, description="The service that the tasks belong to, in this namespace."
    )
    cores: float = Field(
        gt=0, le=100_000, strict=True, allow_inf_nan=False, description="Cores that each task asks for."
    )
    memory: float = Field(
        gt=0,
        le=1e9,
        strict=True,
        allow_inf_nan=False,
        description="Memory that each task asks for, in the settings' unit.",
    )
    count: int = Field(1, ge=1, le=MAX_COUNT, strict=True, description="How many tasks; may be changed.")
    patience: Duration | None = Field(
        None, description="How long the owner waits for each answer; the class's deadline if absent."
    )
    key: str | None = Field(
        None,
        min_length=1,
        max_length=253,
        description="Names the work of a keyed class; task N of the job is known by KEY/N.",
    )
    client_token: str | None = Field(
        None,
        min_length=1,
        max_length=128,
        description="Chosen by the client: a POST with a known token answers with the job that has it.",
    )
    command: list[Argument] | None = Field(
        None,
        min_length=1,
        max_length=MAX_ARGV,
        description="What each task runs: a program and its arguments, not given to a shell. "
        "Machines with an agent run only tasks that have one.",
    )
    env: dict[EnvName, Argument] | None = Field(
        None, max_length=MAX_ENV, description="Variables of its environment; the machine adds KELPFRONT_*."
    )
    workdir: AbsolutePath | None = Field(
        None, description="Where it runs: an absolute path; a folder of the task's own if absent."
    )
    stop_grace: Duration | None = Field(
        None, description="From SIGTERM to SIGKILL when it is stopped; 10s if absent."
    )

    @model_validator(mode="after")
    def _check_command(self) -> JobSpec:
        if self.command is None:
            self._reject_fields_without_command()
            return self
        if not self.command[0]:
            raise ValueError("command: its first word, the program, is empty")
        env = self.env or {}
        texts = [*self.command, *env, *env.values()]
        size = sum(len(text.encode("utf-8", "surrogatepass")) for text in texts)
        if size > MAX_RUN_BYTES:
            raise ValueError(f"command and env: {size} bytes together; {MAX_RUN_BYTES} are allowed")
        return self

    def _reject_fields_without_command(self) -> None:
        fields = (("env", self.env), ("workdir", self.workdir), ("stopGrace", self.stop_grace))
        given = [name for name, value in fields if value is not None]
        if given:
            raise ValueError(f"{', '.join(given)}: allowed only beside a command")

    @property
    def patience_ms(self) -> float | None:
        """How long the owner waits for each answer, in milliseconds; None for the class's deadline."""
        return None if self.patience is None else parse_duration(self.patience)


class Attempt(ApiModel):
    attempt: int = Field(ge=0, description="0, 1, 2 ... in the order of sending.")
    machine: str
    sent_at: str
    ended_at: str | None = None
    end: str | None = Field(None, description="How it ended; absent while it is out.")
    reason: str | None = Field(None, description="The reason as the machine gave it.")
    message: str | None = None


class Task(ApiModel):
    index: int = Field(ge=0)
    uid: str
    state: TaskState
    answer: Answer | None = Field(None, description="Set once, never changed.")
    found: bool = Field(
        default=False,
        description="It turned out to run: after it was failed, or when its placer had started anew. "
        "Then the answer is the one given before, or none of this start of the placer.",
    )
    machine: str | None = Field(None, description="Where it is or was placed.")
    reason: str | None = Field(None, description="Why it was refused, failed or lost.")
    retry_after: str | None = Field(None, description="Of a refusal: how long to stay away.")
    exit_code: int | None = Field(
        None, description="Of its process; 128 and the signal's number where a signal ended it."
    )
    cpu_seconds: float | None = Field(
        None, description="CPU time that its processes used, where the machine tells it."
    )
    attempts: tuple[Attempt, ...] = ()
    created_at: str
    answered_at: str | None = None
    running_at: str | None = None
    ended_at: str | None = None


class TaskCounts(ApiModel):
    pending: int = 0
    placing: int = 0
    placed: int = 0
    running: int = 0
    refused: int = 0
    failed: int = 0
    ended: int = 0
    lost: int = 0


class JobStatus(ApiModel):
    phase: Phase
    observed_generation: int
    answered: int = Field(description="How many tasks have their answer.")
    counts: TaskCounts
    tasks: list[Task]


class Job(ApiModel):
    api_version: Literal["kelpfront.dev/v1"] = API_VERSION
    kind: Literal["Job"] = "Job"
    metadata: ObjectMeta
    spec: JobSpec
    status: JobStatus | None = None


class JobInput(ApiModel):
    """A job as clients write it; a status that comes along is passed over, as by the conventions."""

    api_version: Literal["kelpfront.dev/v1"] = API_VERSION
    kind: Literal["Job"] = "Job"
    metadata: ObjectMeta = ObjectMeta()
    spec: JobSpec
    status: Any = None


JOB_INPUT: TypeAdapter[JobInput] = TypeAdapter(JobInput)

FIXED_SPEC_FIELDS = (
    "class",
    "service",
    "cores",
    "memory",
    "patience",
    "key",
    "clientToken",
    "command",
    "env",
    "workdir",
    "stopGrace",
)
"""Fields of a job's spec that cannot be changed after its creation."""
