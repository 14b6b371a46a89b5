"""The objects that the components of a runtime share: node, state, fork server, clock and callbacks."""

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
    """The shared objects of one node's runtime.

    Attributes:
        node: decides, and is notified of the progress of tasks.
        state: the durable state, which survives the agent.
        forkserver: forks supervisors.
        background: runs the runtime's background tasks.
        tasks_folder: has one folder for each attempt of a task.
        boot_id: the host's current boot.
        output_limits: limits of each task's output.
        max_ended_folders: how many folders of ended tasks are retained.
        now: returns the time in milliseconds of the cluster's clock.
        on_change: is called after the node was notified.
        checkpoint: is called with a name at each step of a task's lifecycle: tests kill the agent there.
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
