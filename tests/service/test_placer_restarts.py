"""Placers that are killed, and clients that disconnect or wait for a job that is deleted."""

from __future__ import annotations

import asyncio
import json

import pytest
from clusters import QUICK, TestCluster, cluster, spec
from waiting import until

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS


async def test_a_killed_placer_recovers_the_tasks_of_its_offers_in_flight() -> None:
    test_cluster = TestCluster(4, QUICK, ())
    await test_cluster.start()
    try:
        first = await test_cluster.placer()
        client = test_cluster.client(first)
        for index in range(6):
            await client.submit("climate", spec("blend" if index % 2 else "web", count=2), name=f"j{index}")
        await until(lambda: len(test_cluster.events("start")) >= 6)
        await first.close()  # all its connections break, and it answers no requests
        second = await test_cluster.placer()
        placed = {line["task"] for line in test_cluster.events("start")}
        running = {
            uid for m in test_cluster.fleet.machines.values() for uid, running_task in m.node.tasks.items()
        }
        assert placed == running
        found = {
            task["uid"]: task["state"]
            for stored in second.store.objects(JOBS)
            for task in stored.body["status"]["tasks"]
        }
        assert set(found) == running
        await until(
            lambda: all(
                task["state"] == "Running"
                for stored in second.store.objects(JOBS)
                for task in stored.body["status"]["tasks"]
            )
        )
        name = next(second.store.objects(JOBS)).name
        await test_cluster.client(second).delete_job("climate", name)
        await until(
            lambda: (
                not any(
                    running_task.offer.job.name == name
                    for m in test_cluster.fleet.machines.values()
                    for running_task in m.node.tasks.values()
                )
            )
        )
        assert all(len(test_cluster.events("start", task=uid)) == 1 for uid in placed)
    finally:
        await test_cluster.close()


async def test_a_client_that_disconnects_after_its_post_finds_its_job_by_token() -> None:
    async with cluster(2) as (_, service, client):
        body = json.dumps(
            {"metadata": {}, "spec": spec(clientToken="t").model_dump(by_alias=True, exclude_none=True)}
        ).encode()
        path = "/apis/kelpfront.dev/v1/namespaces/climate/jobs"
        head = f"POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
        _, writer = await asyncio.open_connection("127.0.0.1", service.http.port)
        writer.write(head.encode() + body)
        await writer.drain()
        writer.close()
        await until(lambda: service.store.count(JOBS) == 1)
        job = await client.submit("climate", spec(clientToken="t"))
        assert service.store.count(JOBS) == 1
        job = await client.wait_answers(job)
        assert job.status is not None
        assert job.status.tasks[0].answer == "Placed"


async def test_deleting_a_job_ends_its_clients_wait() -> None:
    async with cluster(1) as (_, _service, client):
        job = await client.submit("climate", spec(cores=1000.0, patience="1h"), name="a")
        waiting = asyncio.create_task(client.wait_answers(job))
        await asyncio.sleep(0.05)
        await client.delete_job("climate", "a")
        with pytest.raises(ApiError) as error:
            await waiting
        assert error.value.code == 404
