"""Machines that are connected over gRPC streams keep the guarantees of machines over HTTP."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import grpc
import pytest
from agents import running_agent
from clusters import TestCluster, cluster, spec
from machines import offer
from waiting import until

from kelpfront.api.meta import JOBS
from kelpfront.client import Client
from kelpfront.inventory import Host, Inventory
from kelpfront.machine.grpc_conversion import (
    offer_message,
)
from kelpfront.service.grpc_link import GrpcLink
from kelpfront.service.placer import PlacerService
from kelpfront.v1 import node_pb2 as pb
from kelpfront.v1 import node_pb2_grpc


@asynccontextmanager
async def grpc_cluster(
    machines: int = 2, *overrides: str
) -> AsyncIterator[tuple[TestCluster, PlacerService, Client]]:
    async with cluster(machines, *overrides, protocol="grpc") as parts:
        yield parts


async def submit_and_wait(client: Client, cls: str = "web", **changes: Any) -> Any:
    job = await client.wait_answers(await client.submit("climate", spec(cls, **changes)), timeout_s=20)
    assert job.status is not None
    return job.status.tasks[0]


async def test_tasks_over_grpc_are_placed_and_run_until_they_end() -> None:
    async with grpc_cluster() as (test_cluster, service, client):
        assert all(isinstance(link, GrpcLink) for link in service.links.by_host.values())
        tasks = await asyncio.gather(
            *(submit_and_wait(client, cls) for cls in ("web", "blend") for _ in range(10))
        )
        assert {task.answer for task in tasks} == {"Placed"}
        assert len(test_cluster.events("start")) == 20
        uid = tasks[0].uid
        machine = test_cluster.fleet.machines[tasks[0].machine]
        machine._exit(uid)
        await until(lambda: uid not in service.controller.context.task_table.by_uid)


async def test_an_offer_that_is_answered_late_is_abandoned_and_started_at_most_once() -> None:
    async with grpc_cluster(1, "placer.seed=1") as (test_cluster, service, client):
        (machine,) = test_cluster.fleet.machines.values()
        machine.troubles.late_ms = 1500.0
        task = await submit_and_wait(client, "blend", patience="900ms")
        assert task.answer in ("Failed", "Placed")
        machine.troubles.late_ms = 0.0
        await until(lambda: len(machine.node.tasks) <= 1)
        assert len(test_cluster.events("start")) == 1
        safe = await submit_and_wait(client, "web")
        assert safe.answer == "Placed"
        assert service.controller.open_tasks == 0


async def test_abandoned_offers_that_have_not_started_are_dropped_by_the_machine() -> None:
    async with grpc_cluster(1) as (test_cluster, _service, client):
        (machine,) = test_cluster.fleet.machines.values()
        # The patience is long enough to send the offers even if the event loop stalls for half a second.
        machine.model = type(machine.model)(weigh_ms=2_800.0, classes=machine.model.classes)
        jobs = [await client.submit("climate", spec("web", patience="2s")) for _ in range(5)]
        await asyncio.gather(*(client.wait_answers(job, timeout_s=20) for job in jobs))
        await until(lambda: not machine.node.tasks)
        assert test_cluster.events("left")
        assert len(test_cluster.events("start")) <= 1


async def test_a_crashed_machine_loses_its_tasks_and_is_ready_again_after_its_boot() -> None:
    async with grpc_cluster(2, "cluster.lost_after=1 s") as (test_cluster, service, client):
        task = await submit_and_wait(client, "web")
        machine = test_cluster.fleet.machines[task.machine]
        machine.crash()
        await until(lambda: task.uid not in service.controller.context.task_table.by_uid)
        await machine.boot(cold=False)
        await until(lambda: service.controller.registry.entries[machine.name].state.value == "Ready")
        assert (await submit_and_wait(client, "web")).answer == "Placed"


async def test_a_broken_stream_resumes_at_its_offset() -> None:
    async with grpc_cluster(1) as (test_cluster, service, client):
        task = await submit_and_wait(client, "web")
        (link,) = service.links.by_host.values()
        assert isinstance(link, GrpcLink)
        resume_before = link._session.resume_point
        link._call.cancel()
        await until(lambda: not link._connected.is_set())
        test_cluster.fleet.machines["n0"]._exit(task.uid)
        await until(lambda: task.uid not in service.controller.context.task_table.by_uid)
        assert resume_before is not None
        assert link._session.resume_point == (resume_before[0], resume_before[1] + 1)
        key = next(iter(service.controller.context.job_table.by_key))

        def published_state() -> str:
            job = service.store.find(JOBS, key)
            assert job is not None
            return str(job.body["status"]["tasks"][0]["state"])

        # Published after the change: an iteration later, or up to 200 ms at a level of reduced service.
        await until(lambda: published_state() != "Running")
        assert published_state() == "Ended"


async def test_an_offer_in_flight_when_the_stream_breaks_counts_as_possibly_executed() -> None:
    async with grpc_cluster(1) as (test_cluster, service, client):
        (machine,) = test_cluster.fleet.machines.values()
        machine.troubles.late_ms = 5_000.0
        job = await client.submit("climate", spec("blend"))
        await until(lambda: test_cluster.events("offer"))
        (link,) = service.links.by_host.values()
        assert isinstance(link, GrpcLink)
        link._call.cancel()
        done = await client.wait_answers(job, timeout_s=20)
        assert done.status is not None
        task = done.status.tasks[0]
        assert len(test_cluster.events("start")) <= 1
        assert task.answer in ("Failed", "Placed")
        assert len(task.attempts) == 1


async def test_a_draining_machine_gets_no_tasks() -> None:
    async with grpc_cluster(2) as (test_cluster, service, client):
        test_cluster.fleet.machines["n0"].drain(on=True)
        await until(lambda: service.controller.registry.entries["n0"].state.value == "Draining")
        placed_on: set[str | None] = set()
        async with asyncio.timeout(30):
            while not placed_on:  # if the event loop stalls, offers are held back and tasks refused
                tasks = await asyncio.gather(*(submit_and_wait(client) for _ in range(10)))
                placed_on = {task.machine for task in tasks if task.answer == "Placed"}
        assert placed_on == {"n1"}
        assert test_cluster.events("offer", machine="n0") == []


async def test_an_unresponsive_machine_does_not_delay_other_tasks() -> None:
    async with grpc_cluster(2) as (test_cluster, service, client):
        test_cluster.fleet.machines["n0"].silence(on=True)
        tasks = await asyncio.gather(*(submit_and_wait(client, patience="4s") for _ in range(10)))
        assert {task.machine for task in tasks if task.answer == "Placed"} == {"n1"}
        assert all(task.answer in ("Placed", "Refused") for task in tasks)
        test_cluster.fleet.machines["n0"].silence(on=False)
        await until(lambda: service.controller.registry.entries["n0"].state.value == "Ready")


async def test_a_stream_without_a_placer_or_with_an_unknown_effect_is_rejected() -> None:
    async with grpc_cluster(1) as (test_cluster, _service, _client):
        target = next(iter(test_cluster.inventory.hosts.values())).address.removeprefix("grpc://")
        async with grpc.aio.insecure_channel(target) as channel:
            stub: Any = node_pb2_grpc.NodeStub(channel)
            for first in (pb.PlacerMessage(), pb.PlacerMessage(open=pb.Open())):
                call = stub.Link()
                await call.write(first)
                with pytest.raises(grpc.aio.AioRpcError) as caught:
                    await call.read()
                assert caught.value.code() is grpc.StatusCode.INVALID_ARGUMENT
            call = stub.Link()
            await call.write(pb.PlacerMessage(open=pb.Open(placer="raw")))
            offer_without_effect = offer_message(offer("t-strange"))
            offer_without_effect.ClearField("effect")
            await call.write(pb.PlacerMessage(offer=offer_without_effect))
            while not (answer := await call.read()).HasField("answer"):
                pass
            assert answer.answer.answer == pb.ANSWER_KIND_REFUSED
            assert "effect" in answer.answer.message
            call.cancel()


async def test_an_agent_over_grpc_runs_tasks_and_returns_their_output(tmp_path: Path) -> None:
    overrides = ("agent.grpc=127.0.0.1:0", "host.cores=24", "host.memory=48", "agent.name=n0")
    async with running_agent(tmp_path, overrides=overrides) as test_cluster:
        target = test_cluster.grpc
        async with cluster(1) as (base, _, _client):
            base.inventory = Inventory(
                "test", {"n0": Host("n0", "small", "r1", "east", 24.0, 48.0, f"grpc://{target}")}
            )
            service = await base.placer("placer.name=by-grpc")
            client = base.client(service)
            job_spec = spec("blend", command=["sh", "-c", "echo hello; sleep 0.2; exit 4"])
            job = await client.wait_answers(await client.submit("climate", job_spec), timeout_s=20)
            name = job.metadata.name or ""

            def ended() -> bool:
                stored = service.store.find(JOBS, ("climate", name))
                task = stored.body["status"]["tasks"][0] if stored else {}
                return task.get("state") == "Ended" and task.get("exitCode") == 4

            await until(ended)
            assert await client.logs("climate", name) == b"hello\n"
