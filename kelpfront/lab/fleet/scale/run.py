"""One scale run: workers, lists, placers and owners start, a window is measured, failures are played."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from kelpfront.lab.fleet.datagrams import DatagramRelay
from kelpfront.lab.fleet.datagrams import whole as whole_datagram
from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.fleet.scale import measure
from kelpfront.lab.fleet.scale.children import Child
from kelpfront.lab.fleet.scale.owners import LATE_MS, LEFT_MS, Owners
from kelpfront.lab.fleet.scale.regions import RELAY, whole
from kelpfront.lab.fleet.scale.shape import (
    CORES,
    KNOWN_WITHIN_S,
    LIST_NET,
    MEMORY_GB,
    PLACER_NET,
    Fault,
    Shape,
    address_of,
    seen_by,
)
from kelpfront.lab.fleet.scale.traffic import Counts, Traffic, added, difference
from kelpfront.lab.fleet.settings import config_json, settings_json
from kelpfront.lab.fleet.watched import WatcherProcess
from kelpfront.lab.fleet.watched import free_port as udp_port
from kelpfront.lab.platform import Json
from kelpfront.lab.process import raise_file_limit

WORKERS_OF_ONE = 400  # machines in one process
WORKER_PROCESSES_MOST = 4
HOLLOW_OF_ONE = 3  # placers in one process
HAND_OVER_S = 5.0  # for what stands at the start; a multiple of it is a good time to measure
SOCKETS = 4_096  # descriptors of a placer: room for a connection to each of some thousand machines
SUBMIT_EVERY_S = 0.01
DRAIN_LOOK_S = 3.0  # after the last drain was told, for it to be in force
TO_BE_TOLD_S = 0.5


@dataclass(slots=True)
class Look:
    """What the stand-ins and the real placers' processes had come to at one moment."""

    at: float
    workers: list[Json]
    lists: Json
    owners: Counts
    samples: list[measure.Sample]
    watchers: list[measure.Sample]
    datagrams: dict[int, Counter[str]]


class Run:
    """One shape, played in one folder."""

    def __init__(self, shape: Shape, work: Path, say: Callable[[str], None] = lambda text: None) -> None:
        self.shape, self._work, self._say = shape, work, say
        self._workers: list[Child] = []
        self._lists: Child | None = None
        self._hollow: list[Child] = []
        self.real: list[PlacerProcess] = []
        self.owners: list[Owners] = []
        self.watchers: list[WatcherProcess] = []
        self._relays: dict[int, list[DatagramRelay]] = {}
        self._traffic = Traffic()
        self._jobs: list[asyncio.Task[None]] = []
        self._submitting = True

    # ---- Start ----------------------------------------------------------------------------------------

    async def _start(self) -> None:
        shape = self.shape
        plain = shape.sizes() | {"faults": []}
        count = min(WORKER_PROCESSES_MOST, -(-shape.machines // WORKERS_OF_ONE))
        for number in range(count):
            told = {"shape": plain, "number": number, "processes": count}
            self._workers.append(Child(f"w{number}", _module("hollow"), self._work, [json.dumps(told)]))
        ports = [hello["port"] for hello in await asyncio.gather(*(_up(child) for child in self._workers))]
        told = {"shape": plain, "ports": ports}
        self._lists = Child("lists", _module("regions"), self._work, [json.dumps(told)])
        list_ports = (await _up(self._lists))["ports"]
        await self._start_placers(ports, list_ports)

    async def _start_placers(self, ports: list[int], list_ports: list[int]) -> None:
        shape = self.shape
        port = free_port()  # the same on each placer's own address
        known = json.dumps({"index": 1, "updates": [whole(shape, ports)]}).encode()
        hollow: list[str] = []
        told = await self._start_watchers(known, list_ports)
        for number in range(shape.placers):
            host = address_of(PLACER_NET, number)
            lists = f"{address_of(LIST_NET, number)}:{list_ports[shape.region_of_placer(number)]}"
            own_known = json.loads(seen_by(known, number))
            config = config_json(number, shape.placers, f"{host}:{port}", lists, own_known, SOCKETS)
            settings = settings_json(number, shape.placers, shape.zone_names, CORES, MEMORY_GB)
            config["settings"] = settings | {"Zone": shape.zone_of_placer(number)}
            config["liveness"] = {"watchers": await self._relayed(number, told)}
            self.owners.append(Owners(shape, number, host, port, self._traffic))
            if number < shape.real:
                self.real.append(PlacerProcess(f"p{number}", config, self._work, files=SOCKETS))
            else:
                path = self._work / f"p{number}.json"
                path.write_text(json.dumps(config))
                hollow.append(str(path))
        for start in range(0, len(hollow), HOLLOW_OF_ONE):
            paths = hollow[start : start + HOLLOW_OF_ONE]
            self._hollow.append(Child(f"h{start}", _module("placers"), self._work, paths, talks=False))
        await asyncio.gather(*(placer.start() for placer in self.real))
        await asyncio.gather(*(child.start() for child in self._hollow))
        await asyncio.gather(*(owners.until_ready() for owners in self.owners))
        await asyncio.gather(*(owners.hand_over(HAND_OVER_S) for owners in self.owners))

    async def _start_watchers(self, known: bytes, list_ports: list[int]) -> list[str]:
        """Those of each region, and where they hear placers."""
        shape, told = self.shape, []
        for number in shape.watcher_numbers:
            region = shape.region_of_placer(number)
            lists = f"{address_of(LIST_NET, number)}:{list_ports[region]}"
            own_known = json.loads(seen_by(known, number))
            config = config_json(number, shape.placers, "127.0.0.1:9", lists, own_known, SOCKETS)
            config["settings"] = settings_json(number, shape.placers, shape.zone_names, CORES, MEMORY_GB)
            names = enumerate(shape.zone_names)
            zones = [name for zone, name in names if shape.region_of_zone(zone) == region]
            told.append(f"127.0.0.1:{udp_port(socket.SOCK_DGRAM)}")
            config["watch"] = {"listen": told[-1], "zones": zones}
            self.watchers.append(WatcherProcess(f"watcher{number}", config, self._work, files=SOCKETS))
            await self.watchers[-1].start()
        return told

    async def _relayed(self, placer: int, told: list[str]) -> list[str]:
        """Relays to watchers that count a real placer's datagrams."""
        found = []
        for one in told:
            host, _, port = one.rpartition(":")
            relay = DatagramRelay((host, int(port)), placer)
            await relay.start()
            self._relays.setdefault(placer, []).append(relay)
            found.append(f"{relay.address[0]}:{relay.address[1]}")
        return found

    async def _load(self) -> None:
        """Starts, ends and events at their rates, from now on."""
        shape = self.shape
        for child in self._workers:
            await child.ask("ends", rate=shape.starts / len(self._workers))
        await self._ask_lists("events", rate=shape.events)
        self._jobs.append(asyncio.create_task(self._submit()))

    async def _submit(self) -> None:
        """One placer after another gets a set-up; what is late is made up for within a second."""
        owed, looked_at, turn = 0.0, time.monotonic(), 0
        while self._submitting:
            await asyncio.sleep(SUBMIT_EVERY_S)
            now = time.monotonic()
            owed = min(owed + (now - looked_at) * self.shape.starts, max(1.0, self.shape.starts))
            looked_at = now
            while owed >= 1.0:
                owed -= 1.0
                self.owners[turn % len(self.owners)].submit()
                turn += 1

    async def _ask_lists(self, do: str, **fields: Any) -> Json:
        assert self._lists is not None
        answer: Json = await self._lists.ask(do, **fields)
        return answer

    async def _tell_workers(self, do: str, **fields: Any) -> None:
        await asyncio.gather(*(child.ask(do, **fields) for child in self._workers))

    # ---- The measured window --------------------------------------------------------------------------

    async def _look(self) -> Look:
        samples = [measure.sample(placer.pid) for placer in self.real]
        watchers = [measure.sample(watcher.pid) for watcher in self.watchers]
        datagrams: dict[int, Counter[str]] = {}
        for number, relays in self._relays.items():
            datagrams[number] = sum((relay.passed for relay in relays), Counter())
        at = time.monotonic()
        owners: Counts = json.loads(json.dumps(self._traffic.json()))
        *workers, lists = await asyncio.gather(
            *(child.ask("report") for child in self._workers), self._ask_lists("report")
        )
        return Look(at, workers, lists, owners, samples, watchers, datagrams)

    async def _drain(self, machine: int) -> None:
        told = await self._ask_lists("drain", machine=machine)
        await self._tell_workers("drained", machine=machine, at=told["at"])

    async def _window(self) -> tuple[Look, Look]:
        shape = self.shape
        before = await self._look()
        for number, machine in enumerate(shape.drained()):
            due = before.at + shape.seconds * (number + 0.5) / shape.drains
            await asyncio.sleep(due - time.monotonic())
            await self._drain(machine)
        await asyncio.sleep(before.at + shape.seconds - time.monotonic())
        return before, await self._look()

    # ---- Failures -------------------------------------------------------------------------------------

    async def _fail(self, fault: Fault) -> Json:
        """Plays one failure; how long the owners waited to be told."""
        shape = self.shape
        machines = shape.silenced(fault.kind)
        since = time.monotonic()
        if fault.kind == "link":
            await asyncio.gather(self._tell_workers("link", cut=True), self._ask_lists("link", cut=True))
            self._cut_datagrams(True)
        else:
            await self._tell_workers("silence", machines=machines)
        tasks = 0
        for number, owners in enumerate(self.owners):
            region = shape.region_of_placer(number)
            far = [m for m in range(shape.machines) if shape.region_of(m) != region]
            tasks += owners.watch(set(far if fault.kind == "link" else machines), since)
        await asyncio.sleep(since + fault.lasts_s - time.monotonic())
        waits = [owners.wait for owners in self.owners if owners.wait is not None]
        figures = {
            "kind": fault.kind,
            "machines": len(machines),
            "lasts_s": fault.lasts_s,
            "tasks": tasks,
            "known_s": measure.spread(told for wait in waits for told in wait.told),
            "placers_all_told": sum(not wait.calls for wait in waits),
            "untold": sum(len(wait.calls) for wait in waits),
        }
        if fault.kind == "link":
            await asyncio.gather(self._tell_workers("link", cut=False), self._ask_lists("link", cut=False))
            self._cut_datagrams(False)
        else:
            await self._tell_workers("wake", machines=machines)
        return figures

    def _cut_datagrams(self, cut: bool) -> None:
        shape = self.shape
        for placer, relays in self._relays.items():
            for number, relay in zip(shape.watcher_numbers, relays, strict=True):
                if shape.region_of_placer(number) != shape.region_of_placer(placer):
                    relay.fate = lost if cut else whole_datagram

    async def _fail_all(self) -> list[Json]:
        began, found = time.monotonic(), []
        for fault in self.shape.faults:
            await asyncio.sleep(began + fault.at_s - time.monotonic())
            self._say(f"{fault.kind} falls silent for {fault.lasts_s:g} s")
            found.append(await self._fail(fault))
        if found:
            await asyncio.sleep(KNOWN_WITHIN_S / 2)
        return found

    # ---- The end --------------------------------------------------------------------------------------

    async def _quiet(self) -> None:
        """No more starts, ends and events; waits for the answers that are owed."""
        self._submitting = False
        await self._tell_workers("ends", rate=0.0)
        await self._ask_lists("events", rate=0.0)
        until = time.monotonic() + (LEFT_MS + LATE_MS) / 1000.0 + TO_BE_TOLD_S
        while any(owners.waiting for owners in self.owners) and time.monotonic() < until:  # noqa: ASYNC110
            await asyncio.sleep(0.02)

    async def _restart(self) -> Json:
        """Kills a real placer, and measures its next life until it has taken back what it had."""
        placer, owners = self.real[0], self.owners[0]
        owners.close()
        await placer.kill()
        began = time.monotonic()
        await placer.start()
        ready_at = await owners.until_ready()
        ready_cpu = measure.cpu_s(placer.pid)
        await owners.hand_over()
        return {
            "tasks": len(owners.standing),
            "restart_s": round(ready_at - began, 3),
            "restart_cpu_s": round(ready_cpu, 3),
            "restart_full_s": round(time.monotonic() - began, 3),
            "restart_full_cpu_s": round(measure.cpu_s(placer.pid), 3),
        }

    async def run(self) -> Json:
        """The figures; RuntimeError where a process ended that should not."""
        raise_file_limit()
        shape = self.shape
        try:
            began = time.monotonic()
            await self._start()
            started_s = time.monotonic() - began
            self._say(f"{shape.placers} placers, {shape.machines} machines: up in {started_s:.1f} s")
            await self._load()
            await asyncio.sleep(shape.settle)
            before, after = await self._window()
            self._say(f"measured for {after.at - before.at:.1f} s")
            if shape.drains:
                await asyncio.sleep(DRAIN_LOOK_S)
            failures = await self._fail_all()
            await self._quiet()
            last = await self._look()
            answers = self._answers()
            died = [placer.name for placer in self.real if not placer.alive]
            died += [child.name for child in [*self._hollow, *self._workers] if not child.alive]
            restart = await self._restart() if shape.restart and self.real and not died else {}
            return {
                "sizes": shape.sizes(),
                "started_s": round(started_s, 2),
                **self._figures(before, after),
                "drains": self._drains(last),
                "failures": failures,
                "answers": answers,
                "restart": restart,
                "held": {
                    "by_owners": sum(len(owners.standing) for owners in self.owners),
                    "by_workers": sum(report["held"] for report in last.workers),
                },
                "died": died,
            }
        finally:
            for job in self._jobs:
                job.cancel()
            for owners in self.owners:
                owners.close()
            lists = [] if self._lists is None else [self._lists]
            for relay in (relay for relays in self._relays.values() for relay in relays):
                relay.close()
            await asyncio.gather(*(watcher.kill() for watcher in self.watchers))
            children = [*self._hollow, *self._workers, *lists]
            await asyncio.gather(*(placer.kill() for placer in self.real))
            await asyncio.gather(*(child.kill() for child in children))

    # ---- What it came to ------------------------------------------------------------------------------

    def _answers(self) -> Json:
        counts: Counter[str] = Counter()
        for owners in self.owners:
            counts.update(owners.counts)
        names = ("set_ups", "accepted", "refused", "failed", "double", "released", "false_losses", "moved")
        rest = {name: count for name, count in counts.items() if name not in names}
        unanswered = sum(owners.unanswered() for owners in self.owners)
        return {name: counts[name] for name in names} | {"unanswered": unanswered} | rest

    def _drains(self, last: Look) -> Json:
        shape, found, untold = self.shape, [], 0
        for drain in last.lists["drains"]:
            # By number; watchers, whose numbers are higher, ask for the list too.
            known = {who: at for who, at in drain["known"].items() if int(who) < shape.placers}
            found += [(at - drain["told_at"]) * 1000.0 for at in known.values()]
            untold += shape.placers - len(known)
        return {
            "told": len(last.lists["drains"]),
            "in_force_ms": measure.spread(found, 1),
            "untold": untold,
            "late_offers": sum(report["late_offers"] for report in last.workers),
        }

    def _figures(self, before: Look, after: Look) -> Json:
        shape, seconds = self.shape, after.at - before.at
        reports = list(zip(after.workers, before.workers, strict=True))
        by_worker = added([difference(new["traffic"], old["traffic"]) for new, old in reports])
        by_list = [
            difference(new, old) for new, old in zip(after.lists["lists"], before.lists["lists"], strict=True)
        ]
        seen: dict[str, Counts] = {
            "owners": difference(after.owners, before.owners),
            "workers": by_worker,
            "list": added(by_list),
        }
        real = []
        for number, (new, old) in enumerate(zip(after.samples, before.samples, strict=True)):
            real.append(
                {
                    "placer": f"p{number}",
                    "region": shape.region_of_placer(number),
                    "cpu_share": round((new.cpu_s - old.cpu_s) / seconds, 5),
                    "rss_mb": new.rss_mb,
                    "private_mb": new.private_mb,
                    "descriptors": new.descriptors,
                    "standing": len(self.owners[number].standing),
                    **measure.of_placer(seen, number, seconds),
                    **{
                        f"datagram_{name}_s": round((count - before.datagrams[number][name]) / seconds, 1)
                        for name, count in after.datagrams.get(number, {}).items()
                    },
                }
            )
        tests = sum(new["tests"] - old["tests"] for new, old in reports)
        lists = [
            measure.of_list(counts, connections, RELAY, seconds)
            for counts, connections in zip(by_list, after.lists["connections"], strict=True)
        ]
        return {
            "seconds": round(seconds, 2),
            "real": real,
            "mean": measure.mean_of(real),
            "workers": measure.of_workers(by_worker, tests, after.workers, shape.machines, seconds),
            "list": lists,
            "link": {"bytes_s": round(sum(one["link_bytes_s"] for one in lists), 1)},
            "watchers": [
                {"cpu_share": round((new.cpu_s - old.cpu_s) / seconds, 4), "rss_mb": new.rss_mb}
                for new, old in zip(after.watchers, before.watchers, strict=True)
            ],
            "events_told_s": round((after.lists["told"] - before.lists["told"]) / seconds, 2),
        }


def _module(name: str) -> str:
    return f"kelpfront.lab.fleet.scale.{name}"


def lost(rng: random.Random) -> list[float]:
    return []


async def _up(child: Child) -> Json:
    await child.start()
    hello: Json = await child.hello()
    return hello


async def play(shape: Shape, say: Callable[[str], None] = lambda text: None) -> Json:
    """Plays a shape in a folder of its own, which is gone afterwards."""
    with tempfile.TemporaryDirectory(prefix="kelpfront-scale-") as folder:
        return await Run(shape, Path(folder), say).run()


def breaks(figures: Json) -> list[str]:
    """Which rules the sockets show broken, and which processes died."""
    answers, drains = figures["answers"], figures["drains"]
    found = [f"{name}: {answers[name]}" for name in ("double", "unanswered", "false_losses") if answers[name]]
    if drains["late_offers"]:
        found.append(f"offers to a drained machine after half a second: {drains['late_offers']}")
    return found + [f"{name} died" for name in figures["died"]]
