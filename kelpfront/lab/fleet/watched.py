"""Placers and watchers as processes, workers in this one, and faults between all of them.

Each process may have paths of its own to the workers (`proxied`), and each placer a relay to each watcher.
Workers tell a placer's tests from a watcher's by their ids: placers count from one, watchers from anywhere.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections import Counter
from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any

from kelpfront.lab.fleet.datagrams import DatagramRelay
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.fleet.proxy import FaultProxy
from kelpfront.lab.fleet.settings import ZONES, config_json
from kelpfront.lab.platform import Coordinator, Json, Machine, Peer, accepts, event, line, member, offer
from kelpfront.lab.process import raise_file_limit

OWN_IDS = "00000000"  # how the ids of a placer's first four thousand million tests begin
TEST_CALL = "00000000000000f0"
FILES = 8_192

Mute = Callable[[str, bool], bool]
"""Whether a worker, by name, leaves a message unanswered; the second says that a placer sent it."""


class WatcherProcess(PlacerProcess):
    """One watcher, over its lives."""

    def _arguments(self) -> list[str]:
        return ["-m", "kelpfront.failure_detector", str(self._path)]


class Deployment:
    """`watched`: zones of each watcher. `proxied`: names of processes with paths of their own to workers."""

    def __init__(
        self,
        work: Path,
        workers: int = 20,
        placers: int = 2,
        watched: Collection[Collection[str]] = (ZONES, ZONES),
        proxied: Collection[str] = (),
        tasks: int = 0,
    ) -> None:
        self._work, self._placers, self._watched, self._proxied = work, placers, watched, proxied
        self._tasks = tasks or workers
        self.zones = {f"s-{number:08x}": ZONES[number % len(ZONES)] for number in range(workers)}
        self.workers = {name: Machine(name, self._script) for name in self.zones}
        self.mute: Mute = lambda name, placer: False
        self.coordinator = Coordinator()
        self.placers: dict[str, PlacerProcess] = {}
        self.watchers: dict[str, WatcherProcess] = {}
        self.relays: dict[tuple[str, str], DatagramRelay] = {}
        self.proxies: dict[tuple[str, str], FaultProxy] = {}
        self.released: dict[str, list[str]] = {}
        """By placer: the workers of tasks that it has released, one for each task."""
        self.asked: Counter[tuple[str, bool]] = Counter()
        self.bytes: Counter[str] = Counter()
        self._jobs: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> Deployment:
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.close()

    async def _start(self) -> None:
        raise_file_limit()
        await self.coordinator.start()
        for machine in self.workers.values():
            await machine.start()
        names = [f"w{number}" for number in range(len(self._watched))]
        for number, (name, zones) in enumerate(zip(names, self._watched, strict=True)):
            config = await self._config(name, number, "127.0.0.1:9")
            config["watch"] = {"listen": f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}", "zones": list(zones)}
            self.watchers[name] = WatcherProcess(name, config, self._work, FILES)
            await self.watchers[name].start()
        for number in range(self._placers):
            name = f"p{number}"
            config = await self._config(name, number, f"127.0.0.1:{free_port(socket.SOCK_STREAM)}")
            for watcher in names:
                host, _, port = self.watchers[watcher].config["watch"]["listen"].rpartition(":")
                relay = self.relays[name, watcher] = DatagramRelay((host, int(port)), number)
                await relay.start()
            if names:
                told = [f"{host}:{port}" for host, port in (self.relays[name, w].address for w in names)]
                config["liveness"] = {"watchers": told}
            self.placers[name] = PlacerProcess(name, config, self._work, FILES)
            await self.placers[name].start()
        for name in self.placers:
            await self.hand_over(name)

    async def _config(self, name: str, number: int, listen: str) -> Json:
        members = []
        for worker, machine in self.workers.items():
            address = machine.address
            if name in self._proxied:
                host, _, port = address.rpartition(":")
                proxy = self.proxies[name, worker] = FaultProxy((host, int(port)), number)
                await proxy.start()
                address = f"{proxy.address[0]}:{proxy.address[1]}"
            members.append(member(worker, address, locality=self.zones[worker]))
        known = {"index": 1, "updates": [event(1, *members, whole=True)]}
        config = config_json(number, max(1, self._placers), listen, self.coordinator.address, known)
        config["limits"]["sockets"] = FILES
        return config | {"name": name}

    async def close(self) -> None:
        for job in self._jobs:
            job.cancel()
        await asyncio.gather(*self._jobs, return_exceptions=True)
        for process in (*self.placers.values(), *self.watchers.values()):
            await process.kill()
        for relay in self.relays.values():
            relay.close()
        for proxy in self.proxies.values():
            await proxy.close()
        for machine in self.workers.values():
            if machine.server is not None:
                machine.die()
        await self.coordinator.stop()

    # ---- Owners -----------------------------------------------------------------------------------------

    async def hand_over(self, name: str) -> None:
        """Waits until the placer lets owners in, and hands tasks over to it, spread evenly."""
        placer = self.placers[name]
        where: dict[str, str] = {}
        self.released[name] = []
        peer = await self._reached(placer)
        names = list(self.workers)
        for number in range(self._tasks):
            call = f"{1 << 40 | number:016x}"
            where[call] = names[number % len(names)]
            extras = f"cores:0.1;memory:0.1;service:{number:016x};at:{where[call]}"
            peer.say(offer(call, extras=extras))
        peer.say(line("test", TEST_CALL, why=0))
        while (answer := await peer.read()) is not None and answer["op"] != "tested":
            pass
        self._jobs.append(asyncio.create_task(self._owner(name, peer, where)))

    async def _reached(self, placer: PlacerProcess) -> Peer:
        while True:
            if not placer.alive:
                raise RuntimeError(f"{placer.name} has ended: {placer.log_path.read_text()[-2_000:]}")
            with contextlib.suppress(OSError):
                peer = Peer(*await asyncio.open_connection(placer.host, placer.port))
                peer.say(line("test", TEST_CALL, why=0))
                answer = await peer.read()
                if answer is not None and answer.get("why") == 1:
                    return peer
            await asyncio.sleep(0.05)

    async def _owner(self, name: str, peer: Peer, where: dict[str, str]) -> None:
        released = self.released[name]
        with contextlib.suppress(OSError):
            while raw := await peer.reader.readline():
                message = json.loads(raw)
                if message["op"] == "end":
                    released.append(where[message["call"]])

    # ---- Workers ----------------------------------------------------------------------------------------

    async def _script(self, machine: Machine, peer: Peer, message: Json) -> None:
        placer = message["op"] != "test" or message["call"].startswith(OWN_IDS)
        machine.seen.clear()
        if message["op"] == "test":
            self.asked[machine.name, placer] += 1
        if not self.mute(machine.name, placer):
            await accepts(machine, peer, message)

    def zone(self, zone: str) -> set[str]:
        return {name for name, its in self.zones.items() if its == zone}

    async def restart(self, worker: str) -> None:
        machine = self.workers[worker]
        machine.die()
        await machine.start(int(machine.address.rpartition(":")[2]))

    # ---- What came of it --------------------------------------------------------------------------------

    def log(self, name: str) -> list[Any]:
        """A process's log lines."""
        process = self.placers.get(name) or self.watchers[name]
        found = []
        for raw in process.log_path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(raw))
        return found

    def logged(self, name: str, event: str, **fields: Any) -> bool:
        """Whether the process has logged an event with these fields."""
        wanted = {"event": event, **fields}
        return any(wanted.items() <= entry.items() for entry in self.log(name))

    def figures(self, name: str) -> Json:
        """The last counters that the process has logged."""
        found = [entry for entry in self.log(name) if entry.get("event") == "figures"]
        return dict(found[-1]) if found else {}


def free_port(kind: socket.SocketKind) -> int:
    with socket.socket(type=kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])
