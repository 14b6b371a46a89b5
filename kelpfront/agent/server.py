"""The agent's HTTP side: the machine protocol, and what operators and readers of tasks' output request.

The protocol itself is `machine.server`'s, what operators are shown `status`'s.
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

MAX_OUTPUT_BYTES = 16 << 20  # of one answer: bounds the agent's memory
DEFAULT_OUTPUT_BYTES = 1 << 20


class SetDraining(Protocol):
    """Begins or ends a drain."""

    def __call__(self, *, draining: bool) -> None:
        """Begin a drain, or end it."""


@dataclass(frozen=True, slots=True)
class AgentHooks:
    """What the server has the agent do.

    Attributes:
        on_ends_acknowledged: is called with the tasks of which a placer has received the ends.
        set_draining: begins or ends a drain.
        views: what is shown to operators, by path.
        output_folder: returns where the output of an attempt is; of the task's last one where none is named.
    """

    on_ends_acknowledged: Callable[[list[str]], None]
    set_draining: SetDraining
    views: Mapping[str, Callable[[], Any]]
    output_folder: Callable[[str, int | None], Path | None]


class AgentServer(MachineServer):
    """Serves one agent's node, its operators, and readers of its tasks' output."""

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
        """Return the answer to an offer; one that cannot be a process is refused without asking the node."""
        reason = rejection_reason(offered.offer)
        if reason:
            return Answer("refused", NOT_HERE, reason)
        return await super().decide_offer(offered, request)

    def on_acknowledged(self, placer: str, tasks: list[str]) -> None:  # noqa: ARG002 - of the base class
        """Have the agent record which ends a placer has received."""
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
        """Return the last bytes of a task's output; None where none is retained."""
        folder = self._hooks.output_folder(task, attempt)
        if folder is None:
            return None
        return await asyncio.to_thread(read_output, folder, max(0, min(tail_bytes, MAX_OUTPUT_BYTES)))
