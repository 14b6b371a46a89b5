"""The settings of a node agent: its machine, how it accepts and runs tasks, and the functions that read them.

Fields have the names of the keys in the file. `section` has what the settings of placers and agents share,
`reader` parses the file.
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
    """The agent and its machine."""

    name: Text = Field(description="Name of the machine, as in the placers' inventory.")
    kind: Text = Field(
        description="Kind of the machine: one of the [kind NAME] sections of the placers' settings."
    )
    rack: Text = Field(description="Rack that the machine is in.")
    room: Text = Field(description="Room that the machine is in.")
    listen: Address = Field(
        "127.0.0.1:8150", description="Address that the agent listens on for placers and operators."
    )
    grpc: Address | None = Field(
        None,
        description="Address of the additional gRPC API for placers (needs kelpfront[grpc]); off if absent.",
    )
    state: Text = Field(
        "agent-state", description="Folder of the agent's state and tasks, relative to this file."
    )
    state_size: Annotated[int, Size("64 KiB", "1024 GiB")] = Field(
        parse_size("256 MiB"), description="Maximum size on disk of the database of tasks."
    )
    copies: Text | None = Field(
        None,
        description="Folder shared with the other machines of the room, for idempotency keys. Without it, "
        "tasks of keyed classes are refused, except where the group is the machine.",
    )
    heartbeat: Annotated[float, Duration("50ms", "10s")] = Field(
        parse_duration("500 ms"), description="Time between two heartbeats to placers."
    )


class HostSection(Section):
    """The resources of the host that tasks may use. The placers' settings must have the same values."""

    cores: Annotated[float, Number(0.01, 1e5)] | None = Field(
        None, description="Cores for tasks; all cores of the host if absent."
    )
    memory: Annotated[float, Number(1e-3, 1e9)] | None = Field(
        None, description="Memory for tasks, in memory_unit; all memory of the host if absent."
    )
    memory_unit: Annotated[int, Size("1 B", "1024 GiB")] = Field(
        parse_size("1 GiB"), description="Size of one unit of the memory that jobs request."
    )
    accepts_cores: Annotated[float, Number(0.1, 100)] = Field(
        2.0, description="Overcommit: tasks are accepted up to this multiple of the cores."
    )
    accepts_memory: Annotated[float, Number(0.1, 100)] = Field(
        1.5, description="Overcommit: tasks are accepted up to this multiple of the memory."
    )
    counts_others: Flag = Field(
        default=True, description="Whether resources used by other programs count as used."
    )
    warm_from: Literal["host", "agent"] = Field(
        "host", description="When slow start begins: at the boot of the host, or at each start of the agent."
    )
    cold_from: Annotated[float, Number(0.01, 1)] = Field(
        0.24, description="Share of the full rate of task starts at the beginning of slow start."
    )
    cold_for: Annotated[float, Duration("0s", "1h")] = Field(
        parse_duration("17 s"), description="Duration of slow start."
    )


class StartsSection(Section):
    """How offers are accepted."""

    line: Annotated[int, Integer(1, 10_000)] = Field(
        16, description="Maximum number of offers that wait to be evaluated."
    )
    parallel: Annotated[int, Integer(1, 1_000)] = Field(
        6, description="Maximum number of concurrent task starts after slow start."
    )
    rate: Annotated[float, Number(0.01, 10_000)] | None = Field(
        None, description="Maximum number of task starts a second after slow start; unlimited if absent."
    )
    weigh: Annotated[float, Duration("0s", "1s")] = Field(
        0.0, description="Time that the evaluation of one offer takes; offers are evaluated one at a time."
    )
    answer: Literal["running", "accepted"] = Field(
        "running", description="When a positive answer is sent: once the task runs, or once it is accepted."
    )
    pushes_out: Flag = Field(
        default=False, description="Whether tasks of a higher priority preempt tasks of a lower one."
    )


class TasksSection(Section):
    """Limits on the tasks and their output, and the sampling of what they use."""

    most: Annotated[int, Integer(1, 100_000)] = Field(
        1_000,
        description="Maximum number of concurrent tasks, whatever they request: each has several processes.",
    )
    log_size: Annotated[int, Size("4 KiB", "1 GiB")] = Field(
        parse_size("1 MiB"), description="Maximum size of one file of a task's output."
    )
    log_files: Annotated[int, Integer(0, 100)] = Field(
        2, description="Number of older, full files of output that are kept for each task."
    )
    kept: Annotated[int, Integer(0, 100_000)] = Field(
        1_000, description="Number of ended tasks whose folders, with their output, are kept."
    )
    orphans: Annotated[float, Duration("1s", "8760h")] = Field(
        parse_duration("24 h"),
        description="The tasks of a placer that has been disconnected for this long are stopped.",
    )
    use_period: Annotated[float, Duration("50ms", "1h")] = Field(
        parse_duration("1 s"),
        description="Time between two samples of what tasks use; longer where sampling is expensive.",
    )
    use_smoothing: Annotated[float, Duration("0s", "1h")] = Field(
        parse_duration("3 s"), description="Time constant of the smoothing of samples."
    )


class DrainSection(Section):
    """What happens to tasks while the machine drains."""

    evicts: Literal["none", "paced", "at_once"] = Field(
        "paced", description="Tasks are kept, evicted one by one, or all evicted at once."
    )
    pace: Annotated[float, Duration("1ms", "1h")] = Field(
        parse_duration("1 s"), description="Time between two evictions where they are paced."
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

# Values of the keys that have no default, by section, for the example.
_EXAMPLE_VALUES = {"agent": {"name": "n17", "kind": "small", "rack": "rack-a1", "room": "hall-a"}}


def read_agent_config(path: Path, overrides: Iterable[str] = ()) -> AgentConfig:
    """Return the settings of an agent's file; overrides, as `SECTION.KEY=VALUE`, replace values of the file.

    Relative paths are resolved against the folder of the file.

    Raises:
        ConfigError: the settings are invalid; the error lists all problems.
    """
    config = parse_agent_config(read_text(path), str(path), overrides)
    folder = path.resolve().parent
    resolved_paths = {"state": str(folder / config.agent.state)}
    if config.agent.copies is not None:
        resolved_paths["copies"] = str(folder / config.agent.copies)
    agent = config.agent.model_copy(update=resolved_paths)
    return config.model_copy(update={"agent": agent})


def parse_agent_config(text: str, source: str, overrides: Iterable[str] = ()) -> AgentConfig:
    """Return the settings of a text without resolving its paths; `source` names the text in problems.

    Raises:
        ConfigError: the settings are invalid; the error lists all problems.
    """
    reader = SettingsReader(text, source, overrides)
    sections = reader.parse_sections(AGENT_LAYOUT)
    if "agent" not in sections.plain:
        required_keys = [name for name, info in AgentSection.model_fields.items() if info.is_required()]
        message = f"no [agent] section; its required keys are {', '.join(required_keys)}"
        reader.report(KeyName("", ""), message)
    reader.raise_if_any()
    return AgentConfig(**sections.as_fields())


def agent_example() -> str:
    """Return a complete settings file of an agent: every key with its default, its bounds and its meaning."""
    sections = [
        ExampleSection(name, model, _EXAMPLE_VALUES.get(name, {}))
        for name, model in AGENT_LAYOUT.plain.items()
    ]
    return commented_example("a kelpfront node agent", sections)
