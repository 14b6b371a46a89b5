"""The agent's HTTP server: the machine protocol, the operators' status and drain requests, and task output.

`machine.server` implements the machine protocol, and `status` the content of the status views.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

import msgspec

from kelpfront.agent.runnable_offers import rejection_reason
from kelpfront.agent.task_output import read_output
from kelpfront.http.limits import HttpLimits
from kelpfront.http.messages import Request, Response
from kelpfront.machine.messages import NOT_HERE, Answer, OfferRequest, encode
from kelpfront.machine.node import Node
from kelpfront.machine.server import MachineServer, TaskRuntime

MAX_OUTPUT_BYTES = 16 << 20  # in one response: bounds the agent's memory
DEFAULT_OUTPUT_BYTES = 1 << 20


class SetDraining(Protocol):
    """A callback that begins or ends a drain."""

    def __call__(self, *, draining: bool) -> None:
        """Begin a drain, or end it."""


@dataclass(frozen=True, slots=True)
class AgentHooks:
    """Callbacks of the server into the agent.

    Attributes:
        on_ends_acknowledged: is called with the tasks whose ends a placer has acknowledged.
        set_draining: begins or ends a drain.
        views: functions that return the status views for operators, by path.
        output_folder: returns the folder with the output of an attempt, or of the task's last attempt if the
            attempt is None.
    """

    on_ends_acknowledged: Callable[[list[str]], None]
    set_draining: SetDraining
    views: Mapping[str, Callable[[], Any]]
    output_folder: Callable[[str, int | None], Path | None]


class AgentServer(MachineServer):
    """Serves the machine protocol, status views and task output of one agent."""

    def __init__(
        self,
        node: Node,
        runtime: TaskRuntime,
        now: Callable[[], float],
        hooks: AgentHooks,
        limits: HttpLimits | None = None,
    ) -> None:
        super().__init__(node, runtime, now, limits)
        self._hooks = hooks

    async def decide_offer(self, offered: OfferRequest, request: Request) -> Answer:
        """Return the answer to an offer; one that cannot run as a process is refused without the node."""
        reason = rejection_reason(offered.offer)
        if reason:
            return Answer("refused", NOT_HERE, reason)
        return await super().decide_offer(offered, request)

    def on_acknowledged(self, placer: str, tasks: list[str]) -> None:  # noqa: ARG002 - declared by the base class
        """Notify the agent of the task ends that a placer has acknowledged."""
        if tasks:
            self._hooks.on_ends_acknowledged(tasks)

    async def handle(self, request: Request) -> Response:
        """Answer a request."""
        match request.method, request.path:
            case "GET", "/v1/logs":
                return await self._answer_output(request)
            case "POST", "/v1/drain":
                return self._answer_drain(request)
            case "GET", path if path in self._hooks.views:
                return Response(200, encode(self._hooks.views[path]()))
        return await super().handle(request)

    def _answer_drain(self, request: Request) -> Response:
        try:
            draining = msgspec.json.decode(request.body, type=dict[str, bool])["on"]
        except (msgspec.DecodeError, KeyError):
            return Response(400, encode({"error": 'a body {"on": true} or {"on": false} is expected'}))
        self._hooks.set_draining(draining=draining)
        return Response(200, encode({"draining": self.node.draining}))

    async def _answer_output(self, request: Request) -> Response:
        query = request.query
        task = query.get("task", "")
        try:
            attempt = int(query["attempt"]) if "attempt" in query else None
            tail_bytes = int(query.get("tailBytes", DEFAULT_OUTPUT_BYTES))
        except ValueError:
            return Response(400, encode({"error": "attempt, tailBytes: whole numbers are expected"}))
        output = await self.read_log(task, attempt, tail_bytes)
        if output is None:
            return Response(404, encode({"error": f"task {task!r}: no output is kept here"}))
        return Response(200, output, "text/plain; charset=utf-8")

    async def read_log(self, task: str, attempt: int | None, tail_bytes: int) -> bytes | None:
        """Return the last bytes of a task's output, or None if no output is retained."""
        folder = self._hooks.output_folder(task, attempt)
        if folder is None:
            return None
        return await asyncio.to_thread(read_output, folder, max(0, min(tail_bytes, MAX_OUTPUT_BYTES)))
