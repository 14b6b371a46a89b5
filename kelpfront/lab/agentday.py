"""Node agents in place of some stand-ins of a bad day: real processes, killed and started again.

What agents are asked and answer is recorded by them, at once and line by line. When tasks started comes from
the tasks' own processes, when they ended from their supervisors' records: neither is the agent's word.
"""

from __future__ import annotations

import json
import random
import time
from collections.abc import Sequence
from pathlib import Path

import msgspec

from kelpfront.config import Config
from kelpfront.inventory import Host
from kelpfront.lab.agents import AgentTask
from kelpfront.lab.process import END_WITHIN_S, Process
from kelpfront.lab.reap import end_left
from kelpfront.lab.recording import Line, host_clock
from kelpfront.lab.script import DayShape
from kelpfront.lab.standins import FleetModel
from kelpfront.units import format_duration

LONG_UP_MS = 3_600_000.0  # how long the hosts of a day's agents have been up: they are warm

SETTINGS = """
[agent]
name = {name}
kind = {kind}
rack = {rack}
room = {room}
listen = {listen}
state = agents/{name}
copies = copies
heartbeat = {heartbeat}
[host]
cores = {cores:g}
memory = {memory:g}
accepts_cores = {accepts_cores:g}
accepts_memory = {accepts_memory:g}
counts_others = no
cold_from = {cold_from:g}
cold_for = {cold_for}
[starts]
line = {line}
parallel = {parallel}
answer = {answer}
pushes_out = {pushes_out}
[tasks]
kept = 100000
[drain]
evicts = paced
pace = {pace}
[log]
level = warning
format = json
"""

# What each task runs: it says that it started, by a clock that all processes of the host share, and lives on.
SCRIPT = (
    "read up rest < /proc/uptime; "
    'echo $KELPFRONT_TASK $KELPFRONT_ATTEMPT $KELPFRONT_MACHINE $up >> "$DAY/starts"; exec sleep $LIFE'
)


class AgentFault(msgspec.Struct, frozen=True):
    """An agent is killed, and started again after a while; its tasks run on."""

    at_s: float
    for_s: float
    host: str


def agent_faults(shape: DayShape, hosts: Sequence[Host]) -> tuple[AgentFault, ...]:
    """Each agent dies a few times over the day."""
    rng = random.Random(f"agents/{shape.seed}")
    return tuple(
        AgentFault(round(shape.seconds * share, 3), round(rng.uniform(0.1, 2.0), 3), host.name)
        for host in hosts
        for share in (rng.uniform(0.1, 0.45), rng.uniform(0.55, 0.9))
    )


def chosen_hosts(hosts: Sequence[Host], count: int) -> list[Host]:
    """Hosts that get agents: spread over the list, and so over rooms and racks."""
    if not count:
        return []
    step = len(hosts) / count
    return [hosts[int(number * step)] for number in range(count)]


class AgentMachine:
    """The agent of one host, over its lives."""

    def __init__(self, host: Host, config: Config, model: FleetModel, work: Path) -> None:
        self.host, self._work = host, work
        self._config, self._model = config, model
        self._lives = 0
        self._process: Process | None = None
        self.address = "127.0.0.1:0"

    async def start(self) -> None:
        host, cluster, rules, model = self.host, self._config.cluster, self._config.rules, self._model
        self._lives += 1
        path = self._work / f"{host.name}.ini"
        path.write_text(
            SETTINGS.format(
                name=host.name,
                kind=host.kind,
                rack=host.rack,
                room=host.room,
                listen=self.address,
                heartbeat=format_duration(model.heartbeat_ms),
                cores=host.cores,
                memory=host.memory,
                accepts_cores=cluster.accepts_cores,
                accepts_memory=cluster.accepts_memory,
                cold_from=rules.cold_from,
                cold_for=format_duration(rules.cold_for),
                line=model.line,
                parallel=model.parallel_starts,
                answer=cluster.answer,
                pushes_out="yes" if cluster.pushes_out else "no",
                pace=format_duration(model.drain_pace_ms),
            )
        )
        record = self._work / f"agent-{host.name}-{self._lives}.jsonl"
        task = AgentTask(str(path), uptime_ms=LONG_UP_MS, record=str(record), records_boot=self._lives == 1)
        log_to = self._work / f"agent-{host.name}.log"
        self._process = Process(f"agent {host.name}", "kelpfront.lab.agents", log_to=log_to)
        await self._process.start(msgspec.json.encode(task))
        self.address = (await self._process.line())["url"].removeprefix("http://")

    async def kill(self) -> None:
        if self._process is not None:
            self._process.kill()
            await self._process.wait(END_WITHIN_S)

    async def end(self) -> None:
        """Ends the agent and all that its tasks left."""
        await self.kill()
        end_left(self._work / "agents" / self.host.name)

    def ends(self) -> list[Line]:
        """When its tasks' processes ended, as their supervisors recorded it."""
        ahead = time.time() * 1000.0 - host_clock()
        lines = []
        for path in (self._work / "agents" / self.host.name).glob("tasks/*/exit.json"):
            task, _, attempt = path.parent.name.partition("@")
            found = json.loads(path.read_bytes())
            if found["ran"]:
                t = found["at"] * 1000.0 - ahead
                by = f"supervisor {self.host.name}"
                where = {"machine": self.host.name, "task": task, "attempt": int(attempt)}
                lines.append({"t": t, "by": by, "ev": "end", **where, "cause": "ended"})
        return lines


def starts(work: Path) -> list[Line]:
    """When tasks of agents started, as their own processes wrote it."""
    path = work / "starts"
    if not path.exists():
        return []
    with open("/proc/uptime") as file:
        ahead = float(file.read().split()[0]) * 1000.0 - host_clock()
    lines = []
    for line in path.read_text().splitlines():
        task, attempt, machine, up = line.split()
        t = float(up) * 1000.0 - ahead
        where = {"machine": machine, "task": task, "attempt": int(attempt)}
        lines.append({"t": t, "by": "task", "ev": "start", **where})
    return lines


def write_lines(path: Path, lines: Sequence[Line]) -> None:
    path.write_bytes(b"".join(msgspec.json.encode(line) + b"\n" for line in lines))
