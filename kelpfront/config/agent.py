"""The settings of a node agent: what its machine is, how it takes and runs tasks, and how they are read.

Fields have the names of the keys in the file. What the sections share with those of a placer, and reading a
file, is left to `section` and `reader`.
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field

from kelpfront.config.description import ExampleSection, commented_example
from kelpfront.config.ini import KeyName, read_text
from kelpfront.config.reader import SettingsReader
from kelpfront.config.section import LogSection, Section, SettingsLayout
from kelpfront.config.values import Address, Duration, Flag, Integer, Number, Size, Text
from kelpfront.units import parse_duration, parse_size


class AgentSection(Section):
    """This agent and its machine."""

    name: Text = Field(description="The machine's name, as in the placers' inventory.")
    kind: Text = Field(description="Its kind, one of the placers' settings.")
    rack: Text = Field(description="The rack that it is in.")
    room: Text = Field(description="The room that it is in.")
    listen: Address = Field("127.0.0.1:8150", description="Where placers and operators reach it.")
    grpc: Address | None = Field(
        None, description="Where placers reach it by gRPC besides (needs kelpfront[grpc]); nowhere if absent."
    )
    state: Text = Field("agent-state", description="The folder of its state and its tasks, from here.")
    state_size: Annotated[int, Size("64 KiB", "1024 GiB")] = Field(
        parse_size("256 MiB"), description="The most that the record of its tasks may take on disk."
    )
    copies: Text | None = Field(
        None,
        description="A folder shared with the machines of its room, for keyed classes; without it they are "
        "refused, but for those whose group is the machine.",
    )
    heartbeat: Annotated[float, Duration("50ms", "10s")] = Field(
        parse_duration("500 ms"), description="Between heartbeats to placers."
    )


class HostSection(Section):
    """What tasks may have of the host. The placers' settings must say the same of it."""

    cores: Annotated[float, Number(0.01, 1e5)] | None = Field(
        None, description="Cores for tasks; those of the host if absent."
    )
    memory: Annotated[float, Number(1e-3, 1e9)] | None = Field(
        None, description="Memory for tasks, in memory_unit; the host's if absent."
    )
    memory_unit: Annotated[int, Size("1 B", "1024 GiB")] = Field(
        parse_size("1 GiB"), description="One unit of memory, as jobs ask for it."
    )
    accepts_cores: Annotated[float, Number(0.1, 100)] = Field(
        2.0, description="Tasks are accepted up to so many times the cores."
    )
    accepts_memory: Annotated[float, Number(0.1, 100)] = Field(
        1.5, description="Tasks are accepted up to so many times the memory."
    )
    counts_others: Flag = Field(default=True, description="What other programs use counts as in use.")
    warm_from: Literal["host", "agent"] = Field(
        "host", description="It is cold from the host's boot, or from each start of the agent."
    )
    cold_from: Annotated[float, Number(0.01, 1)] = Field(
        0.24, description="Share of its full pace of starts that it has when it comes up."
    )
    cold_for: Annotated[float, Duration("0s", "1h")] = Field(
        parse_duration("17 s"), description="It is warm after this."
    )


class StartsSection(Section):
    """How offers are taken."""

    line: Annotated[int, Integer(1, 10_000)] = Field(16, description="Offers that may wait to be weighed.")
    parallel: Annotated[int, Integer(1, 1_000)] = Field(6, description="Starts at a time when warm.")
    rate: Annotated[float, Number(0.01, 10_000)] | None = Field(
        None, description="Starts a second when warm; as many as it can if absent."
    )
    weigh: Annotated[float, Duration("0s", "1s")] = Field(
        0.0, description="Time between two offers that are weighed; they are weighed one at a time."
    )
    answer: Literal["running", "accepted"] = Field(
        "running", description="When it says yes: when the task runs, or once it is accepted."
    )
    pushes_out: Flag = Field(
        default=False, description="Tasks of lower priority are pushed out to make room."
    )


class TasksSection(Section):
    """How tasks are kept."""

    most: Annotated[int, Integer(1, 100_000)] = Field(
        1_000, description="Tasks at a time, however little they ask for: each is some processes."
    )
    log_size: Annotated[int, Size("4 KiB", "1 GiB")] = Field(
        parse_size("1 MiB"), description="One file of a task's output."
    )
    log_files: Annotated[int, Integer(0, 100)] = Field(2, description="Full files of output kept before it.")
    kept: Annotated[int, Integer(0, 100_000)] = Field(
        1_000, description="Ended tasks whose folders, with their output, are kept."
    )
    orphans: Annotated[float, Duration("1s", "8760h")] = Field(
        parse_duration("24 h"), description="Tasks of a placer that is away for so long are stopped."
    )
    use_period: Annotated[float, Duration("50ms", "1h")] = Field(
        parse_duration("1 s"),
        description="Between looks at what tasks use; longer where looking is dear.",
    )
    use_smoothing: Annotated[float, Duration("0s", "1h")] = Field(
        parse_duration("3 s"), description="Time constant over which use is smoothed."
    )


class DrainSection(Section):
    """What becomes of tasks when the machine drains."""

    evicts: Literal["none", "paced", "at_once"] = Field(
        "paced", description="They stay, are sent away one by one, or all at once."
    )
    pace: Annotated[float, Duration("1ms", "1h")] = Field(
        parse_duration("1 s"), description="Between two that are sent away."
    )


class AgentConfig(Section):
    """All settings of a node agent."""

    agent: AgentSection
    host: HostSection = HostSection()
    starts: StartsSection = StartsSection()
    tasks: TasksSection = TasksSection()
    drain: DrainSection = DrainSection()
    log: LogSection = LogSection()


AGENT_LAYOUT = SettingsLayout(
    plain={
        "agent": AgentSection,
        "host": HostSection,
        "starts": StartsSection,
        "tasks": TasksSection,
        "drain": DrainSection,
        "log": LogSection,
    }
)

# Keys that the example sets, by their section: those that have no default.
_EXAMPLE_VALUES = {"agent": {"name": "n17", "kind": "small", "rack": "rack-a1", "room": "hall-a"}}


def read_agent_config(path: Path, overrides: Iterable[str] = ()) -> AgentConfig:
    """Return the settings of an agent's file; overrides, as `SECTION.KEY=VALUE`, replace what it has.

    Relative paths in the file are taken from its folder.

    Raises:
        ConfigError: the settings cannot be used; it names all mistakes.
    """
    config = parse_agent_config(read_text(path), str(path), overrides)
    folder = path.resolve().parent
    resolved_paths = {"state": str(folder / config.agent.state)}
    if config.agent.copies is not None:
        resolved_paths["copies"] = str(folder / config.agent.copies)
    agent = config.agent.model_copy(update=resolved_paths)
    return config.model_copy(update={"agent": agent})


def parse_agent_config(text: str, source: str, overrides: Iterable[str] = ()) -> AgentConfig:
    """Return the settings of a text with its paths as they are; `source` names the text in problems.

    Raises:
        ConfigError: the settings cannot be used; it names all mistakes.
    """
    reader = SettingsReader(text, source, overrides)
    sections = reader.parse_sections(AGENT_LAYOUT)
    if "agent" not in sections.plain:
        required_keys = [name for name, info in AgentSection.model_fields.items() if info.is_required()]
        message = f"no [agent] section; it needs at least {', '.join(required_keys)}"
        reader.report(KeyName("", ""), message)
    reader.raise_if_any()
    return AgentConfig(**sections.as_fields())


def agent_example() -> str:
    """Return a whole settings file of an agent, with every key, its default, its bounds and its meaning."""
    sections = [
        ExampleSection(name, model, _EXAMPLE_VALUES.get(name, {}))
        for name, model in AGENT_LAYOUT.plain.items()
    ]
    return commented_example("a kelpfront node agent", sections)
