"""The settings of a placer: every section and key with its unit, its bounds and its meaning.

They describe the cluster and the requirements of the owners of jobs. Fields have the names of the keys in the
file; `build` translates them into the scheduler's settings. Tuning parameters of the scheduler are not
settings: they are constants of its modules, each with its reason.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, model_validator

from kelpfront.config.section import LogSection, NamedSection, Section, SettingsLayout
from kelpfront.config.values import Address, Duration, Flag, Integer, Names, Number, Size, Text
from kelpfront.units import parse_duration, parse_size


class PlacerSection(Section):
    """The placer."""

    name: Text = Field(
        "placer-0", description="Name by which machines identify the placer; unique in the cluster."
    )
    number: Annotated[int, Integer(0, 9999)] = Field(
        0, description="Index of the placer among all placers, from 0."
    )
    room: Text | None = Field(None, description="Room that the placer is in, if any.")
    listen: Address = Field("127.0.0.1:8140", description="Address of the REST API.")
    grpc: Address | None = Field(
        None, description="Address of the gRPC API (needs kelpfront[grpc]); off if absent."
    )
    inventory: Text = Field(
        "inventory.csv", description="File of the machines, .csv or .yaml, relative to this file."
    )
    seed: Annotated[int, Integer(0, 2**63 - 1)] | None = Field(
        None, description="Seed of the random numbers that decisions use; chosen at start if absent."
    )


class ClusterSection(Section):
    """Settings that must be identical for all placers of the cluster."""

    placers: Annotated[int, Integer(1, 10_000)] = Field(1, description="Number of placers.")
    rooms: Names | None = Field(None, description="All rooms; if present, the inventory may name no others.")
    mean_cores: Annotated[float, Number(1e-6, 1e6)] = Field(
        1.0, description="Mean number of cores that a task requests."
    )
    mean_memory: Annotated[float, Number(1e-6, 1e9)] = Field(
        2.0, description="Mean memory that a task requests."
    )
    accepts_cores: Annotated[float, Number(0.1, 100)] = Field(
        2.0, description="Overcommit: a machine accepts tasks up to this multiple of its cores."
    )
    accepts_memory: Annotated[float, Number(0.1, 100)] = Field(
        1.5, description="Overcommit: a machine accepts tasks up to this multiple of its memory."
    )
    answer: Literal["running", "accepted"] = Field(
        "running",
        description="When a machine answers positively: once the task runs, or once it is accepted.",
    )
    pushes_out: Flag = Field(
        default=False,
        description="Whether machines preempt tasks of a lower priority for tasks of a higher one.",
    )
    reports_use: Flag = Field(
        default=True, description="Whether machines report measured usage, not only requests."
    )
    max_attempts: Annotated[int, Integer(1, 4)] = Field(
        4, description="Maximum number of attempts for one placement of a task."
    )
    connect_timeout: Annotated[float, Duration("10ms", "450ms")] = Field(
        parse_duration("250 ms"),
        description="Timeout of a connection to a machine; also the maximum clock skew.",
    )
    recheck: Annotated[float, Duration("0s", "60s")] = Field(
        parse_duration("3 s"),
        description="How long the owner of a failed task checks whether it runs after all.",
    )
    lost_after: Annotated[float, Duration("1s", "1h")] = Field(
        parse_duration("15 s"),
        description="The tasks of a machine that has been unreachable for this long count as lost.",
    )
    max_retry_after: Annotated[float, Duration("0s", "60s")] = Field(
        parse_duration("3 s"), description="Maximum delay before a retry that a refusal may request."
    )
    tick: Annotated[float, Duration("1ms", "100ms")] = Field(
        parse_duration("40 ms"),
        description="Maximum delay of a timer; answers are sent two ticks before they are due.",
    )


class RulesSection(Section):
    """Grace periods, and the slow start of machines."""

    answer_grace: Annotated[float, Duration("0s", "1s")] = Field(
        parse_duration("8 ms"),
        description="Time after the end of the patience in which an answer still counts.",
    )
    drain_grace: Annotated[float, Duration("0s", "60s")] = Field(
        parse_duration("500 ms"), description="Time in which open offers to a draining machine must end."
    )
    cold_from: Annotated[float, Number(0.01, 1)] = Field(
        0.24, description="Share of its full rate of task starts that a machine has when it comes up."
    )
    cold_for: Annotated[float, Duration("0s", "1h")] = Field(
        parse_duration("17 s"), description="Maximum duration of slow start."
    )
    cold_multiple: Annotated[float, Number(1, 100)] = Field(
        2.5,
        description="Multiple of its current rate above which offers overload a machine in slow start ...",
    )
    cold_window: Annotated[float, Duration("10ms", "60s")] = Field(
        parse_duration("2 s"), description="... if they last for this window."
    )
    cold_offers: Annotated[float, Number(0, 100_000)] = Field(
        57, description="Offers in one window, from all placers, that never overload a machine in slow start."
    )


class KindSection(Section):
    """A kind of machine: [kind NAME]."""

    cores: Annotated[float, Number(1e-3, 1e5)] = Field(description="Cores of a machine of this kind.")
    memory: Annotated[float, Number(1e-3, 1e9)] = Field(
        description="Memory of a machine of this kind, in the unit of the requests of tasks."
    )


class ClassSection(Section):
    """A class of tasks: [class NAME]."""

    effect: Literal["safe", "keyed", "unsafe"] = Field(
        description="Whether a second start is safe: always, only within group and window, or never."
    )
    group: Literal["machine", "rack", "room", "all"] | None = Field(
        None, description="For a keyed class: the machines among which a key is started only once."
    )
    window: Annotated[float, Duration("10ms", "1h")] | None = Field(
        None, description="For a keyed class: how long a repeated key is recognised."
    )
    aim: Annotated[float, Duration("1ms", "1h")] = Field(
        description="Objective for the time from submission to start."
    )
    deadline: Annotated[float, Duration("10ms", "1h")] = Field(
        description="How long owners wait for an answer, unless the job has a patience of its own."
    )
    worth: Annotated[float, Number(0, 1e6)] = Field(
        1.0, description="Worth of one second of service of a task of mean size."
    )
    start_worth: Annotated[float, Duration("0s", "1h")] = Field(
        0.0, description="Worth of a start within the aim, as a duration of service."
    )
    late_worth: Annotated[float, Number(0, 1)] = Field(
        0.2, description="Worth of a later start, as a share of start_worth."
    )
    priority: Annotated[int, Integer(0, 100)] = Field(
        0, description="Tasks of a higher priority go first and may preempt those of a lower one."
    )
    needs_kind: Text | None = Field(None, description="The only kind of machine that can run it, if any.")
    apart: Literal["none", "machine", "rack", "room"] = Field(
        "none", description="Failure domain in which one placer runs at most `together` tasks of a service."
    )
    together: Annotated[int, Integer(1, 100_000)] = Field(
        1, description="Maximum number of tasks of a service in one such domain."
    )
    calm: Annotated[float, Number(0.01, 10)] = Field(
        1.0, description="Utilization of a machine's cores up to which the class gets full service."
    )
    fade: Annotated[float, Number(0, 10)] = Field(
        0.2, description="Further utilization over which the service drops to zero."
    )

    @model_validator(mode="after")
    def _check_idempotency_key_settings(self) -> ClassSection:
        uses_key = self.effect == "keyed"
        has_both = self.group is not None and self.window is not None
        has_any = self.group is not None or self.window is not None
        if uses_key and not has_both:
            raise ValueError("group and window: are required if effect is keyed")
        if has_any and not uses_key:
            raise ValueError("group and window: are allowed only if effect is keyed")
        return self


class PricesSection(Section):
    """Costs of overhead, in the unit of worth; scheduling decisions take them into account."""

    refused_offer: Annotated[float, Number(0, 1)] = Field(
        0.0, description="Cost of an offer that a machine refuses."
    )
    machines_held: Annotated[float, Number(0, 1)] = Field(
        0.0, description="Cost of machines held beyond those needed."
    )
    move: Annotated[float, Number(0, 1)] = Field(0.0, description="Cost of one migration of a task.")
    eviction_moves: Annotated[float, Number(0, 100)] = Field(
        1.0, description="Cost of an eviction, in migrations."
    )
    waste: Annotated[float, Number(0, 1)] = Field(0.0, description="Cost of wasted work.")
    probe: Annotated[float, Number(0, 1)] = Field(0.0, description="Cost of one health check per task.")
    list_line: Annotated[float, Number(0, 1)] = Field(
        0.0, description="Cost of a hundred entries of the machine list per task."
    )


class LimitsSection(Section):
    """Limits on what one placer holds and accepts; each bounds its memory."""

    open_tasks: Annotated[int, Integer(1, 10_000_000)] = Field(
        5_000, description="Maximum number of tasks without an answer."
    )
    jobs: Annotated[int, Integer(1, 10_000_000)] = Field(
        100_000, description="Maximum number of unfinished jobs."
    )
    finished_jobs: Annotated[int, Integer(0, 10_000_000)] = Field(
        10_000, description="Number of finished jobs that are kept for reading."
    )
    history: Annotated[int, Integer(100, 10_000_000)] = Field(
        50_000, description="Changes that are kept so that watches can resume, counted in objects and tasks."
    )
    watches: Annotated[int, Integer(1, 1_000_000)] = Field(
        10_000, description="Maximum number of open watches."
    )
    watch_buffer: Annotated[int, Integer(10, 1_000_000)] = Field(
        2_000, description="Maximum number of events that a watch may lag behind."
    )
    connections: Annotated[int, Integer(1, 1_000_000)] = Field(
        10_000, description="Maximum number of connections to the REST API."
    )
    body: Annotated[int, Size("1 KiB", "1 GiB")] = Field(
        parse_size("1 MiB"), description="Maximum size of the body of a request."
    )
    head: Annotated[int, Size("1 KiB", "1 MiB")] = Field(
        parse_size("32 KiB"), description="Maximum size of the request line and headers of a request."
    )
    request_time: Annotated[float, Duration("100ms", "10min")] = Field(
        parse_duration("10 s"),
        description="Timeout for a request to arrive completely; slower connections are closed.",
    )
    idle_time: Annotated[float, Duration("1s", "1h")] = Field(
        parse_duration("90 s"), description="A connection without requests is closed after this time."
    )


class LevelsSection(Section):
    """Levels of reduced service: docs/operators/levels.md."""

    enabled: Flag = Field(default=True, description="Whether the placer may reduce its service.")
    changes_an_hour: Annotated[int, Integer(4, 1000)] = Field(
        12, description="Maximum number of changes of level in any hour."
    )
    essential_priority: Annotated[int, Integer(0, 100)] | None = Field(
        None,
        description="Classes of this priority and above lose service last; the highest priority if absent.",
    )
    memory: Annotated[int, Size("16 MiB", "1024 GiB")] | None = Field(
        None,
        description="Memory that the placer may use; it accepts less near this limit. Unlimited if absent.",
    )


class OwnerSection(Section):
    """An owner of jobs, by namespace: [owner NAME]."""

    weight: Annotated[float, Number(0.01, 1000)] = Field(
        1.0,
        description="Weight of the owner in fair sharing with other owners; 1 for owners without a section.",
    )


class TracingSection(Section):
    """Traces of tasks, in the format of OpenTelemetry."""

    file: Text | None = Field(
        None, description="File of the traces, as JSON lines; tracing is off if absent."
    )
    share: Annotated[float, Number(0, 1)] = Field(1.0, description="Share of the tasks that are traced.")
    most: Annotated[int, Size("64 KiB", "64 GiB")] = Field(
        parse_size("64 MiB"),
        description="Maximum size of the file; it is then renamed to NAME.1, replacing the previous one.",
    )


class Config(Section):
    """All settings of a placer."""

    placer: PlacerSection = PlacerSection()
    cluster: ClusterSection = ClusterSection()
    rules: RulesSection = RulesSection()
    prices: PricesSection = PricesSection()
    limits: LimitsSection = LimitsSection()
    levels: LevelsSection = LevelsSection()
    log: LogSection = LogSection()
    tracing: TracingSection = TracingSection()
    kinds: dict[str, KindSection] = Field(min_length=1)
    classes: dict[str, ClassSection] = Field(min_length=1)
    owners: dict[str, OwnerSection] = Field(default_factory=dict)


PLACER_LAYOUT = SettingsLayout(
    plain={
        "placer": PlacerSection,
        "cluster": ClusterSection,
        "rules": RulesSection,
        "prices": PricesSection,
        "limits": LimitsSection,
        "levels": LevelsSection,
        "log": LogSection,
        "tracing": TracingSection,
    },
    named={
        "kind": NamedSection("kinds", KindSection, required=True),
        "class": NamedSection("classes", ClassSection, required=True),
        "owner": NamedSection("owners", OwnerSection, required=False),
    },
)
