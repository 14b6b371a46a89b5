"""Helpers for tests of the agent with real processes: run an agent process, and send it requests as a placer.

Builders of offers are in `machines`.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
from machines import offer
from waiting import until

from kelpfront.agent.process import read_stat
from kelpfront.http.client import HttpConnection, HttpError
from kelpfront.lab.agents import AgentTask
from kelpfront.lab.reap import end_left
from kelpfront.machine.messages import (
    Answer,
    Command,
    Hello,
    OfferRequest,
    Snapshot,
    StopRequest,
    StreamMessage,
    TaskReport,
    decode_answer,
    decode_stream_message,
    encode,
)

CONFIG = """
[agent]
name = n1
kind = small
rack = r1
room = east
listen = 127.0.0.1:0
heartbeat = 100 ms
[host]
cores = 1000
memory = 1000
counts_others = no
[starts]
line = 1000
parallel = 16
[tasks]
use_period = 200 ms
use_smoothing = 0 s
[log]
level = info
format = json
"""


def command(script: str, **changes: Any) -> Command:
    """Return a command that runs a shell script; `AgentProcess.offer` sets $OUT to a folder for its files."""
    return Command(("sh", "-c", script), **{"grace_ms": 300.0, **changes})


class AgentProcess:
    """The agent of one state folder, across restarts; `start` takes the fields of `AgentTask`."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.state = folder / "agent-state"
        self.out = folder / "out"
        self.out.mkdir(exist_ok=True)
        self.config = folder / "agent.ini"
        self.config.write_text(CONFIG)
        self.process: asyncio.subprocess.Process | None = None
        self.url = ""
        self.grpc = ""
        self.ready_ms = 0.0
        self.log = folder / "agent.log"

    async def launch(self, **task: Any) -> asyncio.subprocess.Process:
        settings = AgentTask(str(self.config), **task)
        with self.log.open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "kelpfront.lab.agents",
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
            )
        assert process.stdin is not None
        process.stdin.write(msgspec.json.encode(settings))
        process.stdin.close()
        return process

    async def start(self, **task: Any) -> None:
        self.process = await self.launch(**task)
        assert self.process.stdout is not None
        async with asyncio.timeout(30):
            line = await self.process.stdout.readline()
        assert line, self.log.read_text()[-3000:]
        ready = json.loads(line)
        self.url = ready["url"]
        self.grpc = ready["grpc"]
        self.ready_ms = ready["readyMs"]

    async def kill(self) -> None:
        """Send SIGKILL, and wait until the process has ended."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.wait_ended()

    async def wait_ended(self) -> None:
        assert self.process is not None
        async with asyncio.timeout(30):
            await self.process.wait()

    async def restart(self, **task: Any) -> None:
        await self.kill()
        await self.start(**task)

    # ---- As a placer ----------------------------------------------------------------------------------

    def _address(self) -> tuple[str, int]:
        host, _, port = self.url.removeprefix("http://").partition(":")
        return host, int(port)

    async def call(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        connection = await HttpConnection.open(*self._address())
        try:
            async with asyncio.timeout(30):
                reply = await connection.request(method, path, body)
        finally:
            connection.abort()
        return reply.status, reply.body

    async def get(self, path: str) -> Any:
        return msgspec.json.decode((await self.call("GET", path))[1])

    async def offer(
        self, task: str, script: str = "sleep 60", attempt: int = 0, placer: str = "p0", **changes: Any
    ) -> Answer | None:
        """Offer a task that runs a script; return the answer, or None if the connection broke."""
        changes.setdefault("run", command(f"OUT={self.out}; {script}"))
        request = OfferRequest(placer, "life-1", offer(task, attempt, **changes))
        try:
            return decode_answer((await self.call("POST", "/v1/offers", encode(request)))[1])
        except HttpError:
            return None

    async def stop(self, task: str, attempt: int = 0) -> str | None:
        try:
            _, body = await self.call("POST", "/v1/stops", encode(StopRequest("p0", task, attempt)))
        except HttpError:
            return None
        found: str = msgspec.json.decode(body)["found"]
        return found

    async def read_stream(
        self, seconds: float = 0.3, placer: str = "p0", query: str = ""
    ) -> list[StreamMessage]:
        """Return the messages that a placer's stream carries within `seconds`."""
        connection = await HttpConnection.open(*self._address())
        messages: list[StreamMessage] = []
        incomplete = b""
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds):
                    _, _, fragments = await connection.stream("GET", f"/v1/stream?placer={placer}{query}")
                    async for fragment in fragments:
                        *lines, incomplete = (incomplete + fragment).split(b"\n")
                        messages += [decode_stream_message(line) for line in lines]
        finally:
            connection.abort()
        return messages

    async def tasks(self) -> dict[str, dict[str, Any]]:
        return {task["task"]: task for task in await self.get("/v1/tasks")}

    # ---- Results of tasks -------------------------------------------------------------------------------

    def lines(self, name: str) -> list[str]:
        """Return the lines that tasks wrote to a file in $OUT."""
        path = self.out / name
        return path.read_text().split("\n")[:-1] if path.exists() else []

    async def until_lines(self, name: str, count: int) -> list[str]:
        await until(lambda: len(self.lines(name)) >= count)
        return self.lines(name)

    def record(self, task: str, name: str, attempt: int = 0) -> dict[str, Any] | None:
        path = self.state / "tasks" / f"{task}@{attempt}" / f"{name}.json"
        if not path.exists():
            return None
        found: dict[str, Any] = json.loads(path.read_text())
        return found

    def pid(self, task: str, name: str = "started", attempt: int = 0) -> int:
        found = self.record(task, name, attempt)
        assert found is not None
        return int(found["pid"])

    async def end_all(self) -> None:
        """End the agent and every process that it left, each identified by its recorded identity."""
        if self.process is not None and self.process.returncode is None:
            await self.kill()
        end_left(self.state)


def has_ended(pid: int) -> bool:
    stat = read_stat(pid)
    return stat is None or stat.state in "ZX"


@asynccontextmanager
async def running_agent(folder: Path, *, start: bool = True, **task: Any) -> AsyncIterator[AgentProcess]:
    process = AgentProcess(folder)
    try:
        if start:
            await process.start(**task)
        yield process
    finally:
        await process.end_all()


START = "echo $KELPFRONT_TASK >> $OUT/starts; "
"""The start of a task's script that appends the task's uid to the file `starts`."""


def answer_and_reason(answer: Answer | None) -> tuple[str, str]:
    assert answer is not None
    return answer.answer, answer.reason


async def read_snapshot(agent: AgentProcess, query: str = "") -> dict[str, TaskReport]:
    """Return the reports by task in the snapshot that a placer receives when it first connects."""
    messages = await agent.read_stream(query=query)
    assert isinstance(messages[0], Hello)
    (snapshot,) = [message for message in messages if isinstance(message, Snapshot)]
    return {report.offer.task: report for report in snapshot.tasks}


async def until_ended(agent: AgentProcess, task: str) -> None:
    """Wait until the agent no longer lists the task as active."""
    async with asyncio.timeout(30):
        while task in await agent.tasks():  # noqa: ASYNC110 - polls another process
            await asyncio.sleep(0.02)


async def until_empty(agent: AgentProcess) -> None:
    """Wait until the agent lists no active task."""
    async with asyncio.timeout(30):
        while await agent.tasks():  # noqa: ASYNC110 - polls another process
            await asyncio.sleep(0.02)
