"""Runs placers with simulated machines on loopback, inside the process of the test."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, Literal

from waiting import until

from kelpfront.client import Client, JobSpec
from kelpfront.clock import CommonClock
from kelpfront.config import Config
from kelpfront.config.reader import parse_config
from kelpfront.controller.job_controller import JobController
from kelpfront.fronts.rest import WatchTiming
from kelpfront.inventory import Host, Inventory
from kelpfront.lab.recording import Recorder
from kelpfront.lab.standins import Fleet, FleetModel
from kelpfront.service.composition import PlacerOptions
from kelpfront.service.placer import PlacerService

SETTINGS = """
[placer]
listen = 127.0.0.1:0
[cluster]
recheck = 1 s
lost_after = 3 s
[rules]
cold_for = 4 s
cold_window = 1 s
[kind small]
cores = 24
memory = 48
[class web]
effect = safe
aim = 1 s
deadline = 5 s
[class ingest]
effect = keyed
group = room
window = 8 s
aim = 700 ms
deadline = 5 s
priority = 2
[class blend]
effect = unsafe
aim = 600 ms
deadline = 5 s
priority = 2
"""
QUICK = FleetModel(weigh_ms=2.0, start_ms=15.0, dear=2.0, life_ms=60_000.0, heartbeat_ms=100.0)


def config(*overrides: str) -> Config:
    return parse_config(SETTINGS, "test.ini", overrides)


def spec(cls: str = "web", **changes: Any) -> JobSpec:
    if cls == "ingest":
        changes.setdefault("key", "batch")
    defaults = {"class": cls, "service": "front", "cores": 1.0, "memory": 2.0}
    return JobSpec.model_validate({**defaults, **changes})


def make_hosts(count: int) -> list[Host]:
    return [Host(f"n{n}", "small", f"r{n // 2}", f"room{n % 2}", 24.0, 48.0, "") for n in range(count)]


class TestCluster:
    """Simulated machines that stay up while placers are started and stopped."""

    __test__ = False

    def __init__(
        self,
        machines: int,
        model: FleetModel,
        overrides: tuple[str, ...],
        protocol: Literal["http", "grpc"] = "http",
    ) -> None:
        self.clock = CommonClock()
        self.overrides = overrides
        self.recorder = Recorder("machines")
        self.fleet = Fleet(
            config(*overrides),
            make_hosts(machines),
            model,
            1,
            self.clock.now,
            self.recorder,
            protocol=protocol,
        )
        self.placers: list[PlacerService] = []
        self.clients: list[Client] = []

    async def start(self) -> None:
        hosts = await self.fleet.start()
        self.inventory = Inventory("test", {host.name: host for host in hosts})

    async def placer(
        self, *overrides: str, controller_class: type[JobController] = JobController
    ) -> PlacerService:
        """Start another placer, and wait until it accepts jobs and knows the load of its machines."""
        service = PlacerService(
            config(*self.overrides, *overrides),
            self.inventory,
            controller_class=controller_class,
            options=PlacerOptions(
                seed=len(self.placers), clock=self.clock, watch_times=WatchTiming(bookmark_interval_s=0.2)
            ),
        )
        self.placers.append(service)
        await service.start()
        await until(lambda: not service.operations.rejection_message)
        await until(
            lambda: all(
                entry.load is not None for entry in service.controller.registry.entries.values() if entry.boot
            )
        )
        return service

    def client(self, service: PlacerService) -> Client:
        client = Client(service.url, seed=1)
        self.clients.append(client)
        return client

    async def close(self) -> None:
        for client in self.clients:
            client.close()
        for service in self.placers:
            await service.close()
        self.fleet.close()

    def events(self, kind: str, **where: Any) -> list[dict[str, Any]]:
        """Return the events that the machines recorded, filtered by kind and by field values."""
        return [
            line
            for line in self.recorder.lines
            if line["ev"] == kind and all(line.get(key) == value for key, value in where.items())
        ]


@asynccontextmanager
async def cluster(
    machines: int = 4,
    *overrides: str,
    model: FleetModel = QUICK,
    protocol: Literal["http", "grpc"] = "http",
) -> AsyncIterator[tuple[TestCluster, PlacerService, Client]]:
    """Start a cluster with one placer and a client connected to it."""
    test_cluster = TestCluster(machines, model, overrides, protocol)
    await test_cluster.start()
    try:
        service = await test_cluster.placer()
        yield test_cluster, service, test_cluster.client(service)
    finally:
        await test_cluster.close()
