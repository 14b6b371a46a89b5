"""Three placer processes under load, and two machines that record when they are offered a task."""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path

from placers import reached, ready
from waiting import until

from kelpfront.lab.fleet.lists import ListService
from kelpfront.lab.fleet.ports import free_port
from kelpfront.lab.fleet.processes import PlacerProcess
from kelpfront.lab.fleet.settings import config_json
from kelpfront.lab.platform import Json, Machine, Peer, accepts, event, line, member, offer

DRAIN_LIMIT_S = 1.5  # three times the limit of the platform's rule 3, because the test host may be busy
TASK_DURATION_S = 0.1  # short, because the machines' capacity is not under test
PLACERS = 3


async def send_requests_until(placer: PlacerProcess, request_count: list[int], stop: asyncio.Event) -> None:
    """Send a request every 20 ms; reconnect whenever the connection is refused or closed."""
    while not stop.is_set():
        peer = await reached(placer)
        while peer is not None and not stop.is_set():
            request_count[0] += 1
            peer.say(offer(f"{request_count[0]:016x}", cls=("easy", "keyed", "once")[request_count[0] % 3]))
            await asyncio.sleep(0.02)
            if peer.writer.is_closing() or peer.reader.at_eof():
                peer = None
        await asyncio.sleep(0.02)


class PlacersUnderLoad:
    """Three placers, two machines, and one client per placer that sends requests until `stop`."""

    def __init__(self, path: Path, service: ListService) -> None:
        self.offered_at: dict[str, list[float]] = {"m-1": [], "m-2": []}
        self.machines = [Machine(name, self._accept_and_end) for name in self.offered_at]
        self.service = service
        self.placers: list[PlacerProcess] = []
        self.complete: Json = {}
        self.drain: Json = {}
        self._path = path
        self._stop = asyncio.Event()
        self._clients: list[asyncio.Task[None]] = []

    async def _accept_and_end(self, machine: Machine, peer: Peer, message: Json) -> None:
        if message["op"] == "offer":
            self.offered_at[machine.name].append(time.monotonic())
        await accepts(machine, peer, message)
        if message["op"] == "offer":
            end = line("end", message["call"], why=16)
            asyncio.get_running_loop().call_later(TASK_DURATION_S, peer.say, end)

    async def start(self) -> None:
        """Start everything; return when both machines have received more than five offers."""
        for machine in self.machines:
            await machine.start()
        self.complete = event(1, *(member(m.name, m.address) for m in self.machines), whole=True)
        self.drain = event(2, member("m-1", self.machines[0].address, "Terminating"))
        self.service.updates = [self.complete]
        for number in range(PLACERS):
            addresses = f"127.0.0.1:{free_port()}", f"127.0.0.1:{self.service.port}"
            config = config_json(number, PLACERS, *addresses, {"index": 1, "updates": [self.complete]})
            self.placers.append(PlacerProcess(f"p{number}", config, self._path))
        for placer in self.placers:
            await placer.start()
        for placer in self.placers:
            (await ready(placer)).cut()
        request_count = [0]
        self._clients = [
            asyncio.create_task(send_requests_until(placer, request_count, self._stop))
            for placer in self.placers
        ]
        await until(lambda: all(len(times) > 5 for times in self.offered_at.values()))

    def offers_after(self, machine: str, notified_at: float) -> list[float]:
        """Return when the machine was offered tasks after the drain limit, in seconds since `notified_at`."""
        return [at - notified_at for at in self.offered_at[machine] if at > notified_at + DRAIN_LIMIT_S]

    async def stop(self) -> None:
        self._stop.set()
        for client in self._clients:
            client.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self._clients, return_exceptions=True)
        for placer in self.placers:
            await placer.kill()
        for machine in self.machines:
            machine.die()
