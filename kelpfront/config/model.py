"""The settings of a placer: every section and key, its unit, its bounds and what it means.

They say what the cluster is and what its owners want. Fields have the names of the keys in the file; `build`
translates them into the scheduler's terms. No figure that a decision is tuned by is here: those are constants
of the modules that decide, each with its reason.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field, model_validator

from kelpfront.config.section import LogSection, NamedSection, Section, SettingsLayout
from kelpfront.config.values import Address, Duration, Flag, Integer, Names, Number, Size, Text
from kelpfront.units import parse_duration, parse_size


class PlacerSection(Section):
    """This placer."""

    name: Text = Field("placer-0", description="What machines know it by; each placer has its own.")
    number: Annotated[int, Integer(0, 9999)] = Field(0, description="Its number among the placers, from 0.")
    room: Text | None = Field(None, description="The room that it is in, if any.")
    listen: Address = Field("127.0.0.1:8140", description="Where the REST API is served.")
    grpc: Address | None = Field(
        None, description="Where the gRPC API is served (needs kelpfront[grpc]); nowhere if absent."
    )
    inventory: Text = Field("inventory.csv", description="The machines: a .csv or .yaml file, from here.")
    seed: Annotated[int, Integer(0, 2**63 - 1)] | None = Field(
        None, description="Of the decisions' chance; drawn at start if absent."
    )


class ClusterSection(Section):
    """What all placers of the cluster share, to the letter."""

    placers: Annotated[int, Integer(1, 10_000)] = Field(1, description="How many placers there are.")
    rooms: Names | None = Field(None, description="All rooms; an inventory may then name no other.")
    mean_cores: Annotated[float, Number(1e-6, 1e6)] = Field(
        1.0, description="Cores that a task asks for in the mean."
    )
    mean_memory: Annotated[float, Number(1e-6, 1e9)] = Field(
        2.0, description="Memory that a task asks for in the mean."
    )
    accepts_cores: Annotated[float, Number(0.1, 100)] = Field(
        2.0, description="A machine accepts tasks up to so many times its cores."
    )
    accepts_memory: Annotated[float, Number(0.1, 100)] = Field(
        1.5, description="A machine accepts tasks up to so many times its memory."
    )
    answer: Literal["running", "accepted"] = Field(
        "running", description="When a machine says yes: when the task runs, or once it is accepted."
    )
    pushes_out: Flag = Field(
        default=False, description="Machines push out tasks of lower priority to make room."
    )
    reports_use: Flag = Field(
        default=True, description="Machines tell what is in use, not only what is asked for."
    )
    max_attempts: Annotated[int, Integer(1, 4)] = Field(
        4, description="Attempts at the most for one placing of a task."
    )
    connect_timeout: Annotated[float, Duration("10ms", "450ms")] = Field(
        parse_duration("250 ms"), description="For a connection to a machine; also how far clocks may differ."
    )
    recheck: Annotated[float, Duration("0s", "60s")] = Field(
        parse_duration("3 s"), description="How long the owner of a failed task looks whether it runs."
    )
    lost_after: Annotated[float, Duration("1s", "1h")] = Field(
        parse_duration("15 s"), description="A machine out of touch for so long has lost its tasks."
    )
    max_retry_after: Annotated[float, Duration("0s", "60s")] = Field(
        parse_duration("3 s"), description="The longest pause that a refusal may ask for."
    )
    tick: Annotated[float, Duration("1ms", "100ms")] = Field(
        parse_duration("40 ms"),
        description="How late a timer may be; answers are given two ticks before they are due.",
    )


class RulesSection(Section):
    """Figures of the rules."""

    answer_grace: Annotated[float, Duration("0s", "1s")] = Field(
        parse_duration("8 ms"), description="Time past the patience in which an answer still counts."
    )
    drain_grace: Annotated[float, Duration("0s", "60s")] = Field(
        parse_duration("500 ms"), description="Time in which offers to a draining machine must end."
    )
    cold_from: Annotated[float, Number(0.01, 1)] = Field(
        0.24, description="Share of its full pace of starts that a machine has when it comes up."
    )
    cold_for: Annotated[float, Duration("0s", "1h")] = Field(
        parse_duration("17 s"), description="It is warm no later than this."
    )
    cold_multiple: Annotated[float, Number(1, 100)] = Field(
        2.5, description="Offered more than so many times its present pace a cold machine falls over."
    )
    cold_window: Annotated[float, Duration("10ms", "60s")] = Field(
        parse_duration("2 s"), description="... for so long."
    )
    cold_offers: Annotated[float, Number(0, 100_000)] = Field(
        57, description="Offers in one window, from all placers together, that a cold machine always bears."
    )


class KindSection(Section):
    """A kind of machine: [kind NAME]."""

    cores: Annotated[float, Number(1e-3, 1e5)] = Field(description="Cores of a machine of this kind.")
    memory: Annotated[float, Number(1e-3, 1e9)] = Field(
        description="Its memory, in the unit in which tasks ask for it."
    )


class ClassSection(Section):
    """A class of tasks: [class NAME]."""

    effect: Literal["safe", "keyed", "unsafe"] = Field(
        description="What a second start does: no harm, none within group and window, or harm."
    )
    group: Literal["machine", "rack", "room", "all"] | None = Field(
        None, description="Of a keyed class: the machines of which one copy of a key stands."
    )
    window: Annotated[float, Duration("10ms", "1h")] | None = Field(
        None, description="Of a keyed class: how long a repeat is known as one."
    )
    aim: Annotated[float, Duration("1ms", "1h")] = Field(description="A start within this time is in time.")
    deadline: Annotated[float, Duration("10ms", "1h")] = Field(
        description="How long owners wait, unless a job says otherwise."
    )
    worth: Annotated[float, Number(0, 1e6)] = Field(
        1.0, description="Worth of a second of a task of mean size."
    )
    start_worth: Annotated[float, Duration("0s", "1h")] = Field(
        0.0, description="Seconds of service that a start in time is worth."
    )
    late_worth: Annotated[float, Number(0, 1)] = Field(
        0.2, description="Share of that which a late start is worth."
    )
    priority: Annotated[int, Integer(0, 100)] = Field(
        0, description="Higher ones go first, and push out lower ones."
    )
    needs_kind: Text | None = Field(None, description="The only kind of machine that can run it, if any.")
    apart: Literal["none", "machine", "rack", "room"] = Field(
        "none", description="Where at most `together` tasks of a service may be, for one placer."
    )
    together: Annotated[int, Integer(1, 100_000)] = Field(1, description="How many may be in one such place.")
    calm: Annotated[float, Number(0.01, 10)] = Field(
        1.0, description="Served in full while a machine's cores are busy up to this share."
    )
    fade: Annotated[float, Number(0, 10)] = Field(
        0.2, description="Not served at all when they are busy by so much more."
    )

    @model_validator(mode="after")
    def _check_idempotency_key_settings(self) -> ClassSection:
        uses_key = self.effect == "keyed"
        has_both = self.group is not None and self.window is not None
        has_any = self.group is not None or self.window is not None
        if uses_key and not has_both:
            raise ValueError("group and window: are required where effect is keyed")
        if has_any and not uses_key:
            raise ValueError("group and window: are allowed only where effect is keyed")
        return self


class PricesSection(Section):
    """What things cost, in points of service; the decisions weigh them."""

    refused_offer: Annotated[float, Number(0, 1)] = Field(0.0, description="An offer that a machine refuses.")
    machines_held: Annotated[float, Number(0, 1)] = Field(
        0.0, description="Machines held beyond those needed."
    )
    move: Annotated[float, Number(0, 1)] = Field(0.0, description="A task moved.")
    eviction_moves: Annotated[float, Number(0, 100)] = Field(
        1.0, description="An eviction counts as so many moves."
    )
    waste: Annotated[float, Number(0, 1)] = Field(0.0, description="Work wasted.")
    probe: Annotated[float, Number(0, 1)] = Field(0.0, description="A probe a task.")
    list_line: Annotated[float, Number(0, 1)] = Field(0.0, description="A hundred list lines a task.")


class LimitsSection(Section):
    """Bounds on what one placer holds and takes; each is a bound on its memory."""

    open_tasks: Annotated[int, Integer(1, 10_000_000)] = Field(5_000, description="Tasks without an answer.")
    jobs: Annotated[int, Integer(1, 10_000_000)] = Field(100_000, description="Jobs that are not finished.")
    finished_jobs: Annotated[int, Integer(0, 10_000_000)] = Field(
        10_000, description="Finished jobs kept to be read."
    )
    history: Annotated[int, Integer(100, 10_000_000)] = Field(
        50_000, description="Changes kept for watches to resume from, in objects and tasks."
    )
    watches: Annotated[int, Integer(1, 1_000_000)] = Field(10_000, description="Open watches.")
    watch_buffer: Annotated[int, Integer(10, 1_000_000)] = Field(
        2_000, description="Events that a watch may be behind."
    )
    connections: Annotated[int, Integer(1, 1_000_000)] = Field(
        10_000, description="Connections to the REST API."
    )
    body: Annotated[int, Size("1 KiB", "1 GiB")] = Field(
        parse_size("1 MiB"), description="The body of a request."
    )
    head: Annotated[int, Size("1 KiB", "1 MiB")] = Field(
        parse_size("32 KiB"), description="The head of a request."
    )
    request_time: Annotated[float, Duration("100ms", "10min")] = Field(
        parse_duration("10 s"), description="For a request to arrive; slower ones are dropped."
    )
    idle_time: Annotated[float, Duration("1s", "1h")] = Field(
        parse_duration("90 s"), description="A connection without requests is closed after this."
    )


class LevelsSection(Section):
    """Levels of reduced service: docs/operators/levels.md."""

    enabled: Flag = Field(default=True, description="Whether levels are entered at all.")
    changes_an_hour: Annotated[int, Integer(4, 1000)] = Field(
        12, description="Changes of level in any hour, at the most."
    )
    essential_priority: Annotated[int, Integer(0, 100)] | None = Field(
        None,
        description="Classes of this priority and above are given up last; the highest there is if absent.",
    )
    memory: Annotated[int, Size("16 MiB", "1024 GiB")] | None = Field(
        None, description="Memory that the placer may take: near it, less is taken on. No bound if absent."
    )


class OwnerSection(Section):
    """An owner of jobs, by namespace: [owner NAME]."""

    weight: Annotated[float, Number(0.01, 1000)] = Field(
        1.0, description="Its share of turns and places beside other owners; 1 where there is no section."
    )


class TracingSection(Section):
    """Traces of tasks, by OpenTelemetry."""

    file: Text | None = Field(None, description="Where they are written, as JSON lines; nowhere if absent.")
    share: Annotated[float, Number(0, 1)] = Field(1.0, description="Of the tasks, those that are traced.")
    most: Annotated[int, Size("64 KiB", "64 GiB")] = Field(
        parse_size("64 MiB"),
        description="The file's size; at it the file is set aside as NAME.1, the one before goes.",
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
