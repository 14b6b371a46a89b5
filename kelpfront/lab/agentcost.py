"""What a node agent costs: starts a second, durable starts, its own CPU and memory, time to be ready."""

from __future__ import annotations

import asyncio
import os
import sqlite3
import statistics
import sys
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import psutil

from kelpfront.agent import task_folder
from kelpfront.agent.forkserver_client import ForkServerClient
from kelpfront.agent.task_records import agent_claim
from kelpfront.http.client import HttpConnection
from kelpfront.lab.agents import AgentTask
from kelpfront.lab.figures import latencies
from kelpfront.lab.process import END_WITHIN_S, Process
from kelpfront.lab.reap import end_left
from kelpfront.machine.messages import Command, JobRef, Offer, OfferRequest, decode_answer, encode

CONFIG = """
[agent]
name = n1
kind = node
rack = r1
room = hall-a
listen = 127.0.0.1:0
state_size = 1 GiB
[host]
cores = 100000
memory = 100000
counts_others = no
[starts]
line = 10000
parallel = {parallel}
[tasks]
kept = 100000
[log]
level = warning
format = json
"""
IDLE_S = 6.0
TIMED = 200  # starts one after another
AT_ONCE = 64
PYTHON_STARTS = 30
WRITES = 300  # of each way to keep a record
RECORD = 600  # bytes


class AgentCost:
    """One run in one folder. Everything is measured side by side, on one host, in one run."""

    def __init__(self, tasks: list[int], work: Path, say: Callable[[str], None]) -> None:
        self._tasks, self._work, self._say = tasks, work, say

    async def run(self) -> dict[str, Any]:
        self._say("ways to keep a record")
        ways = keep_ways(self._work)
        self._say("starts, one after another and many at once")
        starts = {
            name: await self._starts(name, wrong)
            for name, wrong in (("durable", ""), ("not-durable", "unsynced"))
        }
        held = []
        for count in self._tasks:
            self._say(f"with {count} tasks")
            held.append(await self._hold(count))
        makes = {"python": await python_starts(), "fork": await fork_starts(self._work)}
        return {"records": ways, "makes": makes, "starts": starts, "held": held}

    # ---- Starts ---------------------------------------------------------------------------------------

    async def _starts(self, name: str, wrong: str) -> dict[str, Any]:
        agent = await self._agent(f"starts-{name}", parallel=AT_ONCE, wrong=wrong)
        try:
            took = []
            for number in range(TIMED):
                began = time.perf_counter()
                await agent.start(f"one-{number}", ("true",))
                took.append((time.perf_counter() - began) * 1000.0)
            many = 1000
            began = time.perf_counter()
            turns = asyncio.Semaphore(AT_ONCE)

            async def start(number: int) -> None:
                async with turns:
                    await agent.start(f"many-{number}", ("true",))

            await asyncio.gather(*(start(number) for number in range(many)))
            rate = many / (time.perf_counter() - began)
            status = await agent.status()
            return {
                "one_ms": latencies(took),
                "starts_per_s": round(rate, 1),
                "writes_a_transaction": round(status["stateWrites"] / status["stateTransactions"], 1),
            }
        finally:
            await agent.end()

    # ---- Holding --------------------------------------------------------------------------------------

    async def _hold(self, count: int) -> dict[str, Any]:
        agent = await self._agent(f"hold-{count}", parallel=32)
        try:
            for first in range(0, count, AT_ONCE):
                batch = range(first, min(first + AT_ONCE, count))
                await asyncio.gather(*(agent.start(f"t{n}", ("sleep", "600")) for n in batch))
            await asyncio.sleep(2.0)
            cpu = await agent.idle_cpu(IDLE_S)
            status = await agent.status()
            memory = agent.memory()
            await agent.restart()
            after = await agent.status()
            return {
                "tasks": count,
                "cpu_share": round(cpu, 4),
                "memory_mib": memory,
                "sampling": status["sampling"],
                "restart": {
                    "ready_ms": round(agent.ready_ms, 1),
                    "process_to_ready_s": round(agent.up_s, 3),
                    "found": after["found"],
                },
            }
        finally:
            await agent.end()

    async def _agent(self, name: str, parallel: int, wrong: str = "") -> CostAgent:
        folder = self._work / name
        folder.mkdir()
        (folder / "agent.ini").write_text(CONFIG.format(parallel=parallel))
        agent = CostAgent(folder, wrong)
        await agent.launch()
        return agent


class CostAgent:
    def __init__(self, folder: Path, wrong: str) -> None:
        self._folder, self._wrong = folder, wrong
        self._process: Process | None = None
        self._address = ("", 0)
        self._idle: list[HttpConnection] = []
        self.ready_ms = self.up_s = 0.0

    async def launch(self) -> None:
        task = AgentTask(str(self._folder / "agent.ini"), wrong=self._wrong)
        self._process = Process("agent", "kelpfront.lab.agents", log_to=self._folder / "agent.log")
        began = time.perf_counter()
        await self._process.start(msgspec.json.encode(task))
        told = await self._process.line()
        self.up_s, self.ready_ms = time.perf_counter() - began, told["readyMs"]
        host, _, port = told["url"].removeprefix("http://").partition(":")
        self._address = host, int(port)

    async def restart(self) -> None:
        self._drop()
        assert self._process is not None
        self._process.kill()
        await self._process.wait(END_WITHIN_S)
        await self.launch()

    async def start(self, task: str, argv: tuple[str, ...]) -> None:
        offer = Offer(
            task=task,
            attempt=0,
            job=JobRef("lab", "job", "uid", 0),
            cls="web",
            service="lab/s",
            cores=1.0,
            memory=1.0,
            effect="safe",
            not_after=1e15,
            run=Command(argv, grace_ms=100.0),
        )
        body = encode(OfferRequest("p0", "life", offer))
        answer = decode_answer(await self._call("POST", "/v1/offers", body))
        if answer.answer != "running":
            raise RuntimeError(f"{task}: {answer}")

    async def status(self) -> Any:
        return msgspec.json.decode(await self._call("GET", "/v1/agent"))

    async def _call(self, method: str, path: str, body: bytes = b"") -> bytes:
        connection = self._idle.pop() if self._idle else await HttpConnection.open(*self._address)
        reply = await connection.request(method, path, body)
        self._idle.append(connection)
        return reply.body

    def _own(self) -> list[psutil.Process]:
        """The agent and its forkserver."""
        assert self._process is not None
        agent = psutil.Process(self._process.pid)
        return [agent, *agent.children()]

    async def idle_cpu(self, seconds: float) -> float:
        """CPU seconds a second of the agent and its forkserver while nothing is asked of it."""

        def used() -> float:
            return sum(sum(process.cpu_times()[:2]) for process in self._own())

        before, began = used(), time.perf_counter()
        await asyncio.sleep(seconds)
        return (used() - before) / (time.perf_counter() - began)

    def memory(self) -> dict[str, float]:
        """MiB: the agent's resident set, and what each supervisor has for itself."""
        agent, *rest = self._own()
        supervisors = [process for one in rest for process in one.children()]
        own = [process.memory_full_info().uss / 2**20 for process in supervisors]
        return {
            "agent": round(agent.memory_info().rss / 2**20, 1),
            "forkserver": round(sum(process.memory_info().rss for process in rest) / 2**20, 1),
            "supervisor_own": round(statistics.mean(own), 2) if own else 0.0,
        }

    def _drop(self) -> None:
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    async def end(self) -> None:
        self._drop()
        if self._process is not None:
            self._process.kill()
            await self._process.wait(END_WITHIN_S)
        end_left(self._folder / "agent-state")


def keep_ways(work: Path) -> dict[str, Any]:
    """One durable record after another, each way that was weighed; milliseconds a record."""
    record = os.urandom(RECORD)

    def sqlite(synchronous: str) -> list[float]:
        db = sqlite3.connect(work / f"way-{synchronous}.db", isolation_level=None)
        db.execute("PRAGMA journal_mode=WAL")
        db.execute(f"PRAGMA synchronous={synchronous}")
        db.execute("CREATE TABLE t (k INTEGER PRIMARY KEY, v BLOB)")
        took = []
        for number in range(WRITES):
            began = time.perf_counter()
            db.execute("INSERT INTO t VALUES (?, ?)", (number, record))
            took.append(time.perf_counter() - began)
        db.close()
        return took

    def log() -> list[float]:
        took = []
        with (work / "way.log").open("ab", buffering=0) as file:
            for _ in range(WRITES):
                began = time.perf_counter()
                file.write(
                    len(record).to_bytes(4, "little") + zlib.crc32(record).to_bytes(4, "little") + record
                )
                os.fdatasync(file.fileno())
                took.append(time.perf_counter() - began)
        return took

    ways = {"sqlite_wal_full": sqlite("FULL"), "sqlite_wal_normal": sqlite("NORMAL"), "log_crc": log()}
    return {name: latencies([value * 1000.0 for value in took]) for name, took in ways.items()}


async def python_starts() -> dict[str, Any]:
    """A supervisor by a new Python each, not by a fork: milliseconds until it could begin, MiB of its own."""
    took, own = [], []
    code = "import kelpfront.agent.supervisor as s, sys; print(flush=True); sys.stdin.read()"
    for _ in range(PYTHON_STARTS):
        began = time.perf_counter()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-I",
            "-c",
            code,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        assert process.stdout is not None
        await process.stdout.readline()
        took.append((time.perf_counter() - began) * 1000.0)
        own.append(psutil.Process(process.pid).memory_full_info().uss / 2**20)
        await process.communicate(b"")
    return {"start_ms": latencies(took), "own_mib": round(statistics.mean(own), 2)}


async def fork_starts(work: Path) -> dict[str, Any]:
    """A supervisor by the forkserver: milliseconds until it is there. What it has for itself is in `held`."""
    forkserver = ForkServerClient(work)
    await forkserver.open()
    took = []
    try:
        for number in range(PYTHON_STARTS):
            folder = work / f"fork-{number}"
            folder.mkdir()
            task_folder.write_once(folder, task_folder.CLAIM, agent_claim())  # voided: it forks, and ends
            began = time.perf_counter()
            await forkserver.start_supervisor(folder)
            took.append((time.perf_counter() - began) * 1000.0)
    finally:
        await forkserver.close()
    return {"start_ms": latencies(took)}
