"""Runs a platform placer inside the event loop of the test, and builds its configuration."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from pathlib import Path
from typing import Any

import frames
import pytest
from waiting import until

from kelpfront.lab.platform import Coordinator, Json, Machine, Peer, event, member
from kelpfront.platform.config import Config, parse_config
from kelpfront.platform.service import Service


def info(**changes: Any) -> Json:
    """Return settings with a safe, a keyed and an unsafe class, and machines of one kind in two zones."""
    plain = frames.start_record(RegistryMode="pushed", Shapes=["plain"], **changes)
    (keyed,) = plain["Categories"]
    plain["Categories"] = [
        keyed | {"Name": "easy", "Effect": "free"},
        keyed | {"Name": "keyed", "Group": "zone"},
        keyed | {"Name": "once", "Effect": "single_shot"},
    ]
    plain["FamilyInfo"] = plain["FamilyInfo"] | {
        "ApartBy": ["none", "none", "none"],
        "ClassCalm": [0.9, 0.9, 0.9],
        "NeedsKind": [-1, -1, -1],
        "TogetherMax": [9, 9, 9],
    }
    return plain


def raw_config(*members: Json, coordinator: str = "127.0.0.1:1", **changes: Any) -> Json:
    known = {"index": 1, "updates": [event(1, *members, whole=True)]}
    return {
        "name": "p1",
        "listen": "127.0.0.1:0",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "coordinator": coordinator,
        "known": known,
        "settings": info(),
    } | changes


def config(*members: Json, **changes: Any) -> Config:
    return parse_config(raw_config(*members, **changes))


class Placer:
    """Runs a placer inside the event loop of the test, and keeps its client connections."""

    def __init__(self, path: Path, raw: Json) -> None:
        path.write_text(json.dumps(raw))
        self.service = Service(path, parse_config(raw))
        self.task: asyncio.Task[None] | None = None
        self.clients: list[Peer] = []

    @property
    def core(self) -> Any:
        return self.service.core

    async def start(self) -> None:
        self.task = asyncio.create_task(self.service.run())
        await until(lambda: self.service.port)

    def now(self) -> float:
        return self.service.clock.now()

    async def client(self) -> Peer:
        peer = Peer(*await asyncio.open_connection("127.0.0.1", self.service.port))
        self.clients.append(peer)
        return peer

    async def stop(self) -> None:
        for peer in self.clients:
            peer.cut()
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
        await self.service.close()


class PlacerFixture:
    def __init__(self, path: Path) -> None:
        self.path = path
        self.machines: dict[str, Machine] = {}
        self.coordinator = Coordinator()
        self.placer: Placer | None = None

    async def start(self, *machines: Machine, **changes: object) -> Placer:
        await self.coordinator.start()
        for machine in machines:
            await machine.start()
            self.machines[machine.name] = machine
        members = [member(m.name, m.address) for m in machines]
        raw = raw_config(*members, coordinator=self.coordinator.address, **changes)
        self.placer = Placer(self.path / "config.json", raw)
        await self.placer.start()
        return self.placer

    @property
    def running(self) -> Placer:
        assert self.placer is not None
        return self.placer

    async def stop(self) -> None:
        if self.placer is not None:
            await self.placer.stop()
        for machine in self.machines.values():
            machine.die()
        await self.coordinator.stop()


async def expect_ops(peer: Peer, *wanted: str) -> list[Json]:
    found = []
    for op in wanted:
        message = await peer.read()
        assert message is not None, f"the end of the connection where {op} is wanted"
        assert message["op"] == op, f"{message} where {op} is wanted"
        found.append(message)
    return found


async def closed(peer: Peer) -> None:
    while await peer.read() is not None:
        pass


class DelayedConnections:
    """Delays connections to machines: the first `prompt` open at once, the others once `up` is set."""

    def __init__(self, stage: PlacerFixture, monkeypatch: pytest.MonkeyPatch, prompt: int) -> None:
        self.prompt, self.begun = prompt, 0
        self.addresses = {machine.address for machine in stage.machines.values()}
        self.up = asyncio.Event()
        self._open = asyncio.open_connection
        monkeypatch.setattr(asyncio, "open_connection", self)

    async def __call__(self, host: str, port: int, **kwargs: Any) -> Any:
        if f"{host}:{port}" in self.addresses:
            self.begun += 1
            if self.begun > self.prompt:
                await self.up.wait()
        return await self._open(host, port, **kwargs)


def free_address() -> tuple[str, int]:
    """Return a loopback address that only this process uses, and a free port on it.

    On 127.0.0.1, any other socket of the machine could get the port before the program under test binds it,
    and the client of the test would then connect to the wrong program.
    """
    pid = os.getpid()
    host = f"127.{2 + (pid >> 16) % 250}.{pid >> 8 & 255}.{pid & 255}"
    with socket.socket() as free:
        free.bind((host, 0))
        return host, int(free.getsockname()[1])
