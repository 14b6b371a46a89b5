"""What the parts of a runtime share: the node, the durable state, the fork server, and the clock.

Each part changes only what its own module describes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from kelpfront.agent.background_tasks import BackgroundTasks
from kelpfront.agent.evidence import OutputLimits
from kelpfront.agent.forkserver_client import ForkServerClient
from kelpfront.agent.state import AgentState
from kelpfront.machine.node import Node


@dataclass(frozen=True, slots=True)
class RuntimeContext:
    """One node's surroundings.

    Attributes:
        node: is told what becomes of tasks.
        state: holds what must survive the agent.
        forkserver: makes supervisors.
        background: owns what the runtime does beside its callers.
        tasks_folder: has one folder for each attempt of a task.
        boot_id: the host's current boot.
        output_limits: bounds of each task's output.
        max_ended_folders: how many folders of ended tasks are retained.
        now: the time in milliseconds of the cluster's clock.
        on_change: is called after the node was told something.
        checkpoint: is called with a name at each step of a task's life, for tests that end the agent there.
    """

    node: Node
    state: AgentState
    forkserver: ForkServerClient
    background: BackgroundTasks
    tasks_folder: Path
    boot_id: str
    output_limits: OutputLimits
    max_ended_folders: int
    now: Callable[[], float]
    on_change: Callable[[], None]
    checkpoint: Callable[[str], None]
