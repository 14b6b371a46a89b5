"""The agent's HTTP side: the machine protocol, and what operators and owners' log readers ask for."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from kelpfront.agent import folders
from kelpfront.agent.runtime import fits
from kelpfront.http.limits import HttpLimits
from kelpfront.http.messages import Request, Response
from kelpfront.machine.messages import NOT_HERE, Answer, OfferRequest, encode
from kelpfront.machine.node import Node
from kelpfront.machine.server import MachineServer, TaskRuntime

LOG_MOST = 16 << 20  # bytes of output in one answer
LOG_USUAL = 1 << 20


class AgentServer(MachineServer):
    """`views` gives what operators are shown, `heard` is told which ended tasks a placer has seen."""

    def __init__(
        self,
        node: Node,
        runtime: TaskRuntime,
        now: Callable[[], float],
        *,
        heard: Callable[[list[str]], None],
        drain: Callable[[bool], None],
        views: dict[str, Callable[[], Any]],
        folder_of: Callable[[str, int | None], Path | None],
        limits: HttpLimits | None = None,
    ) -> None:
        super().__init__(node, runtime, now, limits)
        self._heard, self._drain, self._views, self._folder_of = heard, drain, views, folder_of

    async def decide_offer(self, offered: OfferRequest, request: Request) -> Answer:
        if why := fits(offered.offer):
            return Answer("refused", NOT_HERE, why)
        return await super().decide_offer(offered, request)

    def on_acknowledged(self, placer: str, tasks: list[str]) -> None:
        if tasks:
            self._heard(tasks)

    async def handle(self, request: Request) -> Response:
        match request.method, request.path:
            case "GET", "/v1/logs":
                return await self._logs(request)
            case "POST", "/v1/drain":
                return self._set_drain(request)
            case "GET", path if path in self._views:
                return Response(200, encode(self._views[path]()))
        return await super().handle(request)

    def _set_drain(self, request: Request) -> Response:
        try:
            on = msgspec.json.decode(request.body, type=dict[str, bool])["on"]
        except (msgspec.DecodeError, KeyError):
            return Response(400, encode({"error": 'a body {"on": true} or {"on": false} is expected'}))
        self._drain(on)
        return Response(200, encode({"draining": self.node.draining}))

    async def _logs(self, request: Request) -> Response:
        query = request.query
        try:
            attempt = int(query["attempt"]) if "attempt" in query else None
            most = int(query.get("tailBytes", LOG_USUAL))
        except ValueError:
            return Response(400, encode({"error": "attempt, tailBytes: whole numbers are expected"}))
        text = await self.read_log(query.get("task", ""), attempt, most)
        if text is None:
            return Response(404, encode({"error": f"task {query.get('task', '')!r}: no output is kept here"}))
        return Response(200, text, "text/plain; charset=utf-8")

    async def read_log(self, task: str, attempt: int | None, most: int) -> bytes | None:
        """The last bytes of a task's output; None where none is kept."""
        folder = self._folder_of(task, attempt)
        if folder is None:
            return None
        return await asyncio.to_thread(read_output, folder, max(0, min(most, LOG_MOST)))


def read_output(folder: Path, most: int) -> bytes:
    """The last bytes of a task's output, over its rotated files."""
    older = sorted(
        (path for path in folder.glob(f"{folders.OUTPUT}.*") if path.suffix[1:].isdigit()),
        key=lambda path: int(path.suffix[1:]),
    )
    parts: list[bytes] = []
    left = most
    for path in (folder / folders.OUTPUT, *older):
        if left <= 0:
            break
        try:
            with path.open("rb") as file:
                size = file.seek(0, 2)
                file.seek(max(0, size - left))
                parts.append(file.read(left))
        except OSError:
            continue
        left -= len(parts[-1])
    return b"".join(reversed(parts))
