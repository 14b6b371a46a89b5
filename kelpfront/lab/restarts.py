"""Agents that are killed again and again under load: is a task lost, started twice, or its end not told?

A placer and agents run as processes, jobs come in at a rate, and agents are killed by turns, some at a point
drawn from those in a task's life, some at a drawn time, and started again. What counts is written by the
tasks' own processes, to files: a line at the start, and a line at the end with the CPU time that the process
counted itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS, Object
from kelpfront.client import Client, ServerUnreachableError
from kelpfront.lab.agents import POINTS, AgentTask
from kelpfront.lab.figures import latencies
from kelpfront.lab.process import END_WITHIN_S, Placer, Process
from kelpfront.lab.reap import end_left

ROOM = "hall-a"
LIFE_S = (0.3, 4.0)
BURNERS = 0.08  # share of tasks that use CPU time worth comparing
BURN_S = 0.25
DEATHS_AT_POINTS = 0.6  # share of kills that are at a point of a task's life
POINT_WITHIN_S = 1.5  # after that the kill comes anyway
SETTLE_S = 40.0
WRONG_SETTLE_S = 6.0  # with agents that may never tell of an end

CLUSTER = """
[cluster]
mean_cores = 1
mean_memory = 1
accepts_cores = 2.0
accepts_memory = 1.5
recheck = 3 s
lost_after = 15 s
[rules]
cold_for = 1 s
[log]
level = warning
format = json
[kind node]
cores = 500
memory = 500
[class web]
effect = safe
aim = 1 s
deadline = 5 s
[class ingest]
effect = keyed
group = room
window = 8 s
aim = 1 s
deadline = 5 s
[class blend]
effect = unsafe
aim = 1 s
deadline = 5 s
"""
AGENT = """
[agent]
name = {name}
kind = node
rack = rack-1
room = hall-a
listen = 127.0.0.1:{port}
state = {name}
copies = copies
[host]
cores = 500
memory = 500
counts_others = no
[starts]
line = 64
parallel = 16
[tasks]
kept = 100000
use_period = 1 s
[log]
level = warning
format = json
"""

# $OUT is the experiment's folder.
PLAIN = (
    "echo $KELPFRONT_TASK $KELPFRONT_ATTEMPT >> $OUT/starts; sleep $LIFE; "
    "echo $KELPFRONT_TASK $KELPFRONT_ATTEMPT >> $OUT/ends"
)
BURNER = """
import os, resource, sys, time
who = os.environ["KELPFRONT_TASK"] + " " + os.environ["KELPFRONT_ATTEMPT"]
out = os.environ["OUT"]
def say(name, text):
    with open(f"{out}/{name}", "a") as file:
        file.write(text + "\\n")
def used():
    both = [resource.getrusage(w) for w in (resource.RUSAGE_SELF, resource.RUSAGE_CHILDREN)]
    return sum(u.ru_utime + u.ru_stime for u in both)
say("starts", who)
until = time.monotonic() + float(os.environ["LIFE"])
while used() < float(os.environ["BURN"]):
    child = os.fork()  # children that come and go are the task's too
    if child == 0:
        sum(range(200000))
        os._exit(0)
    os.waitpid(child, 0)
    sum(range(200000))
time.sleep(max(0.0, until - time.monotonic()))
say("burnt", f"{who} {used()}")
say("ends", who)
"""


class RestartsShape(msgspec.Struct, frozen=True):
    """How large the experiment is; `rate` is in tasks a second."""

    seed: int
    restarts: int
    rate: float
    seconds: float
    agents: int = 2
    wrong: str = ""  # agents that are wrong on purpose: `wrongagents`


class AgentLives:
    """One agent over its lives, on one port."""

    def __init__(self, name: str, work: Path, wrong: str = "") -> None:
        self.name, self._work, self._wrong = name, work, wrong
        self._config = work / f"{name}.ini"
        self._config.write_text(AGENT.format(name=name, port=0))
        self.address = ""
        self.process: Process | None = None
        self.ready_ms: list[float] = []
        self.up_s: list[float] = []
        self.died_in_recovery = 0

    async def start(self, kill_at: tuple[str, int] | None = None) -> None:
        loop = asyncio.get_running_loop()
        overrides = (f"agent.listen={self.address}",) if self.address else ()
        task = AgentTask(str(self._config), kill_at, overrides=overrides, wrong=self._wrong)
        self.process = Process(self.name, "kelpfront.lab.agents", log_to=self._work / f"{self.name}.log")
        began = loop.time()
        await self.process.start(msgspec.json.encode(task))
        try:
            told = await self.process.line()
        except RuntimeError:
            if kill_at is None:
                raise
            self.died_in_recovery += 1  # its point came while it took up what an earlier one had left
            await self.start()
            return
        self.up_s.append(loop.time() - began)
        self.ready_ms.append(told["readyMs"])
        self.address = told["url"].removeprefix("http://")

    async def kill(self, within_s: float = 0.0) -> bool:
        """Waits for the death that it was started with, and kills it where that does not come."""
        assert self.process is not None
        by_itself = False
        if within_s:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(within_s):
                    await self.process.died()
                    by_itself = True
        self.process.kill()
        await self.process.wait(END_WITHIN_S)
        return by_itself


class Restarts:
    """One run in one folder."""

    def __init__(self, shape: RestartsShape, work: Path, say: Callable[[str], None]) -> None:
        self.shape, self.work, self._say = shape, work, say
        self._rng = random.Random(f"agent-restarts/{shape.seed}")
        self.out = work / "out"
        self.out.mkdir(parents=True)
        self._agents = [AgentLives(f"n{number}", work, shape.wrong) for number in range(shape.agents)]
        self._placer: Placer | None = None
        self._deaths: Counter[str] = Counter()
        self._jobs: set[asyncio.Task[None]] = set()
        self._names: dict[str, str] = {}  # job by name: its class
        self._armed: dict[str, str] = {}  # agents that are to die at a point
        self.rejected = 0

    async def run(self) -> dict[str, Any]:
        shape = self.shape
        try:
            await self._set_up()
            assert self._placer is not None
            async with Client(self._placer.url, request_s=10.0) as client:
                loading = asyncio.create_task(self._load(client))
                await self._restart_agents()
                await loading
                await asyncio.gather(*self._jobs)
                self._say("waiting for the last tasks")
                jobs = await self._settle(client)
            return self._judge(jobs, shape)
        finally:
            await self._tear_down()

    async def _set_up(self) -> None:
        (self.work / "cluster.ini").write_text(CLUSTER)
        await asyncio.gather(*(agent.start() for agent in self._agents))
        lines = ["host,kind,rack,room,address"]
        lines += [f"{agent.name},node,rack-1,{ROOM},http://{agent.address}" for agent in self._agents]
        (self.work / "inventory.csv").write_text("\n".join(lines) + "\n")
        self._placer = Placer(0, 1, self.work, (ROOM,))
        await self._placer.start()
        await self._placer.ready()

    async def _tear_down(self) -> None:
        if self._placer is not None:
            await self._placer.kill()
        for agent in self._agents:
            if agent.process is not None:
                await agent.kill()
            end_left(self.work / agent.name)

    # ---- Load and restarts ----------------------------------------------------------------------------

    async def _load(self, client: Client) -> None:
        shape, rng = self.shape, self._rng
        loop = asyncio.get_running_loop()
        began, at, number = loop.time(), 0.0, 0
        while (at := at + rng.expovariate(shape.rate)) < shape.seconds:
            await asyncio.sleep(max(0.0, began + at - loop.time()))
            number += 1
            task = loop.create_task(self._submit(client, number))
            self._jobs.add(task)
            task.add_done_callback(self._jobs.discard)

    async def _submit(self, client: Client, number: int) -> None:
        rng = random.Random(f"{self.shape.seed}/{number}")
        cls = rng.choices(("web", "ingest", "blend"), (0.3, 0.2, 0.5))[0]
        burns = rng.random() < BURNERS
        env = {"OUT": str(self.out), "LIFE": f"{rng.uniform(*LIFE_S):.2f}", "BURN": str(BURN_S)}
        spec: Object = {
            "class": cls,
            "service": f"{cls}-{number % 5}",
            "cores": 1.0,
            "memory": 1.0,
            "command": [sys.executable, "-S", "-c", BURNER] if burns else ["sh", "-c", PLAIN],
            "env": env,
            "clientToken": f"t{number}",
        }
        if cls == "ingest":
            spec["key"] = f"k{number}"
        name = f"job-{number}"
        try:
            await client.create(JOBS, "lab", {"metadata": {"name": name}, "spec": spec})
        except (ApiError, ServerUnreachableError):
            self.rejected += 1
            return
        self._names[name] = cls

    async def _restart_agents(self) -> None:
        shape, rng = self.shape, self._rng
        loop = asyncio.get_running_loop()
        began, period = loop.time(), shape.seconds / shape.restarts
        for number in range(shape.restarts):
            agent = self._agents[number % len(self._agents)]
            due = began + (number + rng.uniform(0.1, 0.9)) * period
            await asyncio.sleep(max(0.0, due - loop.time()))
            kill_at = None
            if rng.random() < DEATHS_AT_POINTS:
                kill_at = rng.choice(POINTS), rng.randint(1, 6)
            # The life that is to end at a point begins with a restart of its own, of which there are as many.
            await agent.kill(POINT_WITHIN_S if agent.name in self._armed else 0.0)
            self._deaths[self._armed.pop(agent.name, "any time")] += 1
            await agent.start(kill_at)
            if kill_at is not None:
                self._armed[agent.name] = kill_at[0]
            self._say(f"{number + 1} of {shape.restarts} restarts")

    # ---- The end --------------------------------------------------------------------------------------

    async def _settle(self, client: Client) -> dict[str, Object]:
        """All jobs, once none goes on, or long after the last should have ended."""
        for agent in self._agents:
            if agent.name in self._armed:  # its death may still come
                await agent.kill()
                await agent.start()
        loop = asyncio.get_running_loop()
        until = loop.time() + (WRONG_SETTLE_S if self.shape.wrong else SETTLE_S)
        while True:
            found, _ = await client.list_objects(JOBS, "lab")
            if all(job["status"]["phase"] == "Finished" for job in found) or loop.time() > until:
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(1.0)  # ends of copies that nobody wanted, and of processes after their last line
        found, _ = await client.list_objects(JOBS, "lab")
        return {job["metadata"]["name"]: job for job in found}

    def _read(self, name: str) -> list[list[str]]:
        path = self.out / name
        return [line.split() for line in path.read_text().splitlines()] if path.exists() else []

    def _judge(self, jobs: dict[str, Object], shape: RestartsShape) -> dict[str, Any]:
        starts, ends = self._read("starts"), self._read("ends")
        attempts = Counter((task, number) for task, number in starts)
        started = Counter(task for task, _ in starts)
        ended = {task for task, _ in ends}
        states: Counter[str] = Counter()
        lost, duplicated, unreported, broken = [], [], [], []
        placed = 0
        reported: dict[str, float] = {}
        for name, cls in self._names.items():
            task = jobs[name]["status"]["tasks"][0]
            uid, state, answer = task["uid"], task["state"], task.get("answer")
            states[state] += 1
            reported[uid] = task.get("cpuSeconds", 0.0)
            if answer == "Placed":
                placed += 1
                if not started[uid] or state == "Lost":
                    lost.append(uid)
                elif uid in ended and not (state == "Ended" and task.get("exitCode") == 0):
                    unreported.append(uid)
            elif answer == "Refused" and cls != "web" and started[uid]:
                broken.append(uid)  # a refusal is a promise that asking again does no harm
            elif answer is None:
                broken.append(uid)
            if cls != "web" and started[uid] > 1:
                duplicated.append(uid)
        duplicated += [task for (task, _), count in attempts.items() if count > 1]
        own = {task: float(used) for task, _, used in self._read("burnt") if reported.get(task)}
        total_own, total_told = sum(own.values()), sum(reported[task] for task in own)
        ready = [ms for agent in self._agents for ms in agent.ready_ms[1:]]
        up = [s * 1000.0 for agent in self._agents for s in agent.up_s[1:]]
        return {
            "seed": shape.seed,
            "restarts": sum(len(agent.ready_ms) - 1 for agent in self._agents),
            "deaths": dict(self._deaths),
            "deaths_in_recovery": sum(agent.died_in_recovery for agent in self._agents),
            "tasks": len(self._names),
            "rejected": self.rejected,
            "states": dict(states),
            "placed": placed,
            "starts": len(starts),
            "lost": len(lost),
            "duplicated": len(duplicated),
            "unreported_exits": len(unreported),
            "violations": len(broken),
            "use_compared": len(own),
            "use_error": round(abs(total_told - total_own) / total_own, 4) if total_own else None,
            "ready_ms": latencies(ready),
            "process_to_ready_ms": latencies(up),
            "examples": {"lost": lost[:5], "duplicated": duplicated[:5], "unreported": unreported[:5]},
        }
