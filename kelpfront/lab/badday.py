"""The director of a bad day: placers, stand-ins and owners as processes on loopback, a script, a verdict."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import structlog

from kelpfront.client import Client
from kelpfront.config import Config
from kelpfront.config.reader import parse_config
from kelpfront.inventory import Host, Inventory, KindSize, read_inventory
from kelpfront.lab.agentday import (
    SCRIPT,
    AgentFault,
    AgentMachine,
    agent_faults,
    chosen_hosts,
    starts,
    write_lines,
)
from kelpfront.lab.checker import check
from kelpfront.lab.figures import latencies
from kelpfront.lab.owners import ClassShape, OwnersTask
from kelpfront.lab.process import END_WITHIN_S, Placer, Process, raise_file_limit
from kelpfront.lab.recording import Recorder, read_recordings
from kelpfront.lab.script import BadDay, DayShape, Drain, PlacerFault, bad_day
from kelpfront.lab.seen import Figures, Verdict
from kelpfront.lab.setup import make_hosts, write_csv
from kelpfront.lab.standins import FleetModel

log = structlog.get_logger("kelpfront.lab")

ROOMS = ("hall-a", "hall-b", "hall-c")
OWNERS_RATE = 60.0  # tasks a second for one process of owners

SETTINGS = """
[cluster]
rooms = hall-a, hall-b, hall-c
mean_cores = 1.2
mean_memory = 2.0
accepts_cores = 2.0
accepts_memory = 1.5
pushes_out = yes
[rules]
cold_from = 0.25
cold_for = 10 s
cold_multiple = 2.5
cold_window = 2 s
cold_offers = 30
[log]
level = warning
format = json
[kind small]
cores = 24
memory = 48
[kind large]
cores = 48
memory = 96
[class web]
effect = safe
aim = 1 s
deadline = 5 s
worth = 1
start_worth = 10 s
calm = 1.0
fade = 1.0
[class ingest]
effect = keyed
group = room
window = 8 s
aim = 700 ms
deadline = 5 s
worth = 3
start_worth = 8 s
priority = 2
apart = rack
together = 4
calm = 0.8
[class blend]
effect = unsafe
aim = 600 ms
deadline = 8 s
worth = 2
start_worth = 12 s
priority = 2
calm = 0.8
"""
SIZES = ((0.5, 1.0), (1.0, 2.0), (2.0, 3.0))


class Day:
    """One day in one folder. `run` plays it and gives the verdict and the figures."""

    def __init__(
        self,
        shape: DayShape,
        work: Path,
        model: FleetModel | None = None,
        quiet: bool = False,
        say: Callable[[str], None] = lambda text: None,
        agents: int = 0,
        protocol: str = "http",
        wrong: str = "",
    ) -> None:
        self._protocol = protocol
        self.shape, self.work, self._say = shape, work, say
        self.model = model or FleetModel()
        self.config: Config = parse_config(SETTINGS, "the bad day's settings")
        kinds = [(name, kind.cores, kind.memory) for name, kind in self.config.kinds.items()]
        self.hosts = make_hosts(shape.machines, ROOMS, kinds)
        script = bad_day(shape, self.hosts, ROOMS)
        self.script = BadDay((), (), (), ()) if quiet else script
        self.placers = [
            Placer(number, shape.placers, work, ROOMS, wrong=wrong) for number in range(shape.placers)
        ]
        its_hosts = chosen_hosts(self.hosts, agents)
        self._agents = {host.name: AgentMachine(host, self.config, self.model, work) for host in its_hosts}
        self._agent_faults = () if quiet else agent_faults(shape, its_hosts)
        self._fleets: list[Process] = []
        self._owners: list[Process] = []
        self._recorder = Recorder("director", work / "director.jsonl")

    async def run(self) -> tuple[Verdict, dict[str, Any]]:
        began = time.monotonic()
        try:
            await self.set_up()
            self._say(f"{self.shape.machines} machines and {self.shape.placers} placers are up")
            told = await self._play()
            codes = await asyncio.gather(*(self._end_placer(placer) for placer in self.placers))
        finally:
            await self.tear_down()
        self._say("judging")
        ends = [line for machine in self._agents.values() for line in machine.ends()]
        write_lines(self.work / "tasks.jsonl", [*starts(self.work), *ends])
        paths = sorted(self.work.glob("*.jsonl"))
        verdict = check(read_recordings(paths), Figures.of(self.config))
        figures = self._figures(verdict, told, codes)
        figures["wall_s"] = round(time.monotonic() - began, 1)
        return verdict, figures

    # ---- Set-up ---------------------------------------------------------------------------------------

    async def tear_down(self) -> None:
        """Ends all processes; placers that were not ended before are killed."""
        for placer in self.placers:
            if placer.process is not None:
                placer.process.kill()
        await asyncio.gather(*(fleet.end() for fleet in self._fleets))
        await asyncio.gather(*(machine.end() for machine in self._agents.values()))
        for owners in self._owners:
            owners.kill()
        self._recorder.close()

    async def set_up(self) -> None:
        """Starts machines and placers, and waits until these take jobs."""
        (self.work / "cluster.ini").write_text(SETTINGS)
        (self.work / "faults.json").write_bytes(msgspec.json.encode(self.script.faults))
        rooms = [room for room in ROOMS if any(host.room == room for host in self.hosts)]
        for room in rooms:
            hosts = {
                host.name: _with_address(host)
                for host in self.hosts
                if host.room == room and host.name not in self._agents
            }
            if not hosts:
                continue
            write_csv(self.work / f"{room}-plan.csv", Inventory("", hosts))
            fleet = Process(
                f"machines {room}",
                "kelpfront",
                "machines",
                "-c",
                str(self.work / "cluster.ini"),
                "--inventory",
                str(self.work / f"{room}-plan.csv"),
                "--write-inventory",
                str(self.work / f"{room}.csv"),
                "--model",
                msgspec.json.encode(self.model).decode(),
                "--faults",
                str(self.work / "faults.json"),
                "--record",
                str(self.work / f"machines-{room}.jsonl"),
                "--seed",
                str(self.shape.seed),
                "--protocol",
                self._protocol,
                *(("--copies", str(self.work / "copies")) if self._agents else ()),
                log_to=self.work / f"machines-{room}.log",
            )
            self._fleets.append(fleet)
            await fleet.start()
        await asyncio.gather(*(machine.start() for machine in self._agents.values()))
        await asyncio.gather(*(fleet.line() for fleet in self._fleets))
        kinds = {name: KindSize(kind.cores, kind.memory) for name, kind in self.config.kinds.items()}
        hosts = {}
        for room in rooms:
            if (self.work / f"{room}.csv").exists():
                hosts |= read_inventory(self.work / f"{room}.csv", kinds)[0].hosts
        for name, machine in self._agents.items():
            hosts[name] = replace(machine.host, address=f"http://{machine.address}")
        write_csv(self.work / "inventory.csv", Inventory("", dict(sorted(hosts.items()))))
        for start in range(0, len(self.placers), 8):
            await asyncio.gather(*(placer.start() for placer in self.placers[start : start + 8]))
        await asyncio.gather(*(placer.ready() for placer in self.placers))

    # ---- The day --------------------------------------------------------------------------------------

    async def _play(self) -> list[Any]:
        shape = self.shape
        count = max(1, min(8, round(shape.rate / OWNERS_RATE)))
        loop = asyncio.get_running_loop()
        for number in range(count):
            task = OwnersTask(
                shape.seed,
                f"owner-{number}",
                tuple(placer.url for placer in self.placers),
                tuple(placer.name for placer in self.placers),
                shape.rate / count,
                shape.seconds,
                self._classes(),
                self.script.jumps,
                str(self.work / f"owner-{number}.jsonl"),
                command=("sh", "-c", SCRIPT) if self._agents else (),
                env={"DAY": str(self.work)} if self._agents else {},
                life_s=self.model.life_ms / 1000.0,
            )
            owners = Process(
                f"owner-{number}", "kelpfront.lab.owners", log_to=self.work / f"owner-{number}.log"
            )
            self._owners.append(owners)
            await owners.start(msgspec.json.encode(task))
        for fleet in self._fleets:
            fleet.go()
        began = loop.time()
        acts = [asyncio.create_task(self._placer_fault(fault)) for fault in self.script.placer_faults]
        acts += [asyncio.create_task(self._agent_fault(fault)) for fault in self._agent_faults]
        acts += [asyncio.create_task(self._drain(drain)) for drain in self.script.drains]
        longest = shape.seconds + END_WITHIN_S
        lines = [asyncio.create_task(owners.line(longest)) for owners in self._owners]
        while not all(line.done() for line in lines):
            await asyncio.wait(lines, timeout=max(1.0, shape.seconds / 10))
            self._say(f"{min(loop.time() - began, shape.seconds):.0f} of {shape.seconds:g} s")
        await asyncio.gather(*acts)
        return [await line for line in lines]

    def _classes(self) -> tuple[ClassShape, ...]:
        per = max(3, round(self.shape.rate * 2))
        return tuple(
            ClassShape(name, section.effect, share, section.deadline, per, SIZES, counts)
            for (name, section), share, counts in zip(
                self.config.classes.items(), (0.4, 0.35, 0.25), ((1, 1, 2), (1,), (1,)), strict=True
            )
        )

    async def _placer_fault(self, fault: PlacerFault) -> None:
        await asyncio.sleep(fault.at_s)
        placer = self.placers[fault.placer]
        self._recorder.write("placer-killed", placer=placer.name)
        await placer.kill()
        await asyncio.sleep(fault.for_s)
        self._recorder.write("placer-up", placer=placer.name)
        await placer.start()

    async def _agent_fault(self, fault: AgentFault) -> None:
        await asyncio.sleep(fault.at_s)
        machine = self._agents[fault.host]
        self._recorder.write("agent-killed", machine=fault.host)
        await machine.kill()
        await asyncio.sleep(fault.for_s)
        await machine.start()

    async def _drain(self, drain: Drain) -> None:
        """An operator goes from placer to placer, as each has to be told by itself."""
        await asyncio.sleep(drain.at_s)
        await asyncio.gather(*(self._drain_at(placer, drain.hosts, True) for placer in self.placers))
        await asyncio.sleep(drain.for_s)
        await asyncio.gather(*(self._drain_at(placer, drain.hosts, False) for placer in self.placers))

    async def _drain_at(self, placer: Placer, hosts: Sequence[str], on: bool) -> None:
        async with Client(placer.url) as client:
            for host in hosts:
                if not on:  # told before it is asked: an offer may go out before the answer is back
                    self._recorder.write("drain-asked", placer=placer.name, machine=host, on=False)
                try:
                    await client.set_unschedulable(host, unschedulable=on)
                except Exception as error:
                    log.warning("drain not told", placer=placer.name, machine=host, error=str(error))
                    continue
                if on:
                    self._recorder.write("drain-asked", placer=placer.name, machine=host, on=True)

    async def _end_placer(self, placer: Placer) -> int:
        assert placer.process is not None
        code = await placer.process.end()
        placer.cpu_s += placer.process.cpu_s
        return code

    # ---- Figures --------------------------------------------------------------------------------------

    def _figures(self, verdict: Verdict, told: list[Any], codes: Sequence[int]) -> dict[str, Any]:
        shape = self.shape
        return {
            "seed": shape.seed,
            "placers": shape.placers,
            "machines": shape.machines,
            "agents": len(self._agents),
            "rate": shape.rate,
            "seconds": shape.seconds,
            "tasks": verdict.tasks,
            "final": dict(verdict.final),
            "without_final": verdict.without_final,
            "held_when_killed": verdict.held_when_killed,
            "withdrawn": verdict.withdrawn,
            "rejected": sum(owner["rejected"] for owner in told),
            "offers": verdict.offers,
            "starts": verdict.starts,
            "violations": verdict.by_rule(),
            "submitted_per_s": round(verdict.tasks / shape.seconds, 1),
            "latency_ms": latencies(verdict.latencies_ms),
            "cpu_s": {placer.name: round(placer.cpu_s, 2) for placer in self.placers},
            "exit_codes": sorted(set(codes)),
        }


def _with_address(host: Host) -> Host:
    return Host(host.name, host.kind, host.rack, host.room, host.cores, host.memory, f"http://{host.name}:1")


async def play(
    shape: DayShape,
    keep: Path | None = None,
    model: FleetModel | None = None,
    quiet: bool = False,
    say: Callable[[str], None] = lambda text: None,
    agents: int = 0,
    protocol: str = "http",
    wrong: str = "",
) -> tuple[Verdict, dict[str, Any]]:
    """Plays a bad day in a folder that is removed after it, or in `keep`."""
    raise_file_limit()
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)  # or its processes live on
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        keep = keep.resolve()
        return await Day(shape, keep, model, quiet, say, agents, protocol, wrong).run()
    with tempfile.TemporaryDirectory(prefix="kelpfront-day-") as folder:
        return await Day(shape, Path(folder), model, quiet, say, agents, protocol, wrong).run()
