"""Watches over the REST API when connections break, clients read slowly or revisions expire."""

from __future__ import annotations

import asyncio
import json

import pytest
from clusters import cluster, spec
from proxy import proxy
from waiting import until

from kelpfront.api.meta import JOBS
from kelpfront.client import Client, Event
from kelpfront.http.client import HttpConnection


@pytest.mark.parametrize("bytes_between_cuts", [300, 1_500, 8_000])
async def test_a_watch_whose_connection_breaks_repeatedly_receives_every_change_once(
    bytes_between_cuts: int,
) -> None:
    async with cluster(4) as (_, service, client), proxy(service.http.port) as cutting_proxy:
        cutting_proxy.cut_after = bytes_between_cuts
        watcher = Client(cutting_proxy.url, seed=3)
        received: list[Event] = []

        async def read() -> None:
            async for event in watcher.watch(JOBS, "climate"):
                received.append(event)  # noqa: PERF401 - read below while the watch goes on

        reading = asyncio.create_task(read())
        for index in range(12):
            await client.submit("climate", spec(cores=0.5), name=f"j{index}")
            await asyncio.sleep(0.005)
        if bytes_between_cuts < 1000:  # less than one list, so no response can be complete
            await until(lambda: cutting_proxy.connections >= 5)
            cutting_proxy.cut_after = 20_000
        await until(lambda: service.store.count(JOBS) == 12 and service.controller.open_tasks == 0)
        service.controller.flush(service.clock.now())
        names = {stored.name for stored in service.store.objects(JOBS)}

        def caught_up() -> bool:
            last = {
                e.object["metadata"]["name"]: int(e.object["metadata"]["resourceVersion"]) for e in received
            }
            # Tasks start while the watch catches up, so the store may go on changing.
            return last == {stored.name: stored.revision for stored in service.store.objects(JOBS)}

        await until(caught_up)
        assert cutting_proxy.connections > 3
        for name in names:
            revisions = [
                int(e.object["metadata"]["resourceVersion"])
                for e in received
                if e.object["metadata"]["name"] == name
            ]
            assert revisions == sorted(set(revisions)), "revisions must arrive in order, each once"
            answers = [
                e.object["status"]["tasks"][0].get("answer")
                for e in received
                if e.object["metadata"]["name"] == name and e.object["status"]["tasks"][0].get("answer")
            ]
            assert set(answers) == {"Placed"}
        reading.cancel()
        watcher.close()


async def test_a_client_whose_revision_has_expired_lists_again_and_reports_the_difference() -> None:
    async with (
        cluster(2, "limits.history=100") as (_, service, client),
        proxy(service.http.port) as cutting_proxy,
    ):
        watcher = Client(cutting_proxy.url, seed=3)
        received: list[tuple[str, str]] = []

        async def read() -> None:
            async for event in watcher.watch(JOBS, "climate"):
                name = event.object["metadata"]["name"]
                received.append((event.kind, name))

        await client.submit("climate", spec(), name="stays")
        await client.submit("climate", spec(), name="goes")
        reading = asyncio.create_task(read())
        await until(lambda: {name for _, name in received} == {"stays", "goes"})
        target, cutting_proxy._to = cutting_proxy._to, 1  # no server listens on this port
        cutting_proxy.cut()
        await client.delete_job("climate", "goes")
        for index in range(60):
            await client.submit("climate", spec(cores=0.1, memory=0.1), name=f"new{index}")
        received.clear()
        cutting_proxy._to = target
        await until(lambda: ("ADDED", "new59") in received)
        assert ("DELETED", "goes") in received
        assert [event for event in received if event[1] == "stays" and event[0] == "ADDED"] == []
        reading.cancel()
        watcher.close()


async def test_a_watch_that_is_not_read_ends_with_an_error_and_does_not_delay_other_clients() -> None:
    async with cluster(2, "limits.watch_buffer=10") as (_, service, client):
        connection = await HttpConnection.open("127.0.0.1", service.http.port)
        _, _, fragments = await connection.stream("GET", "/apis/kelpfront.dev/v1/jobs?watch=1")
        for index in range(30):  # far more than socket buffers hold
            await client.submit("climate", spec(cores=1000.0, count=900, patience="1h"), name=f"wide{index}")
            await client.delete_job("climate", f"wide{index}")
        job = await client.submit("climate", spec(), name="after")
        async with asyncio.timeout(20):
            placed = await client.wait_answers(job)
        assert placed.status is not None
        assert placed.status.tasks[0].answer == "Placed"
        lines = b"".join([fragment async for fragment in fragments]).splitlines()
        last = json.loads(lines[-1])
        assert (last["type"], last["object"]["code"]) == ("ERROR", 410)
        connection.abort()


async def test_watches_of_disconnected_clients_are_closed() -> None:
    async with cluster(1) as (_, service, client):
        for _ in range(20):
            connection = await HttpConnection.open("127.0.0.1", service.http.port)
            await connection.stream("GET", "/apis/kelpfront.dev/v1/jobs?watch=1&allowWatchBookmarks=1")
            connection.abort()
        reader, writer = await asyncio.open_connection("127.0.0.1", service.http.port)
        writer.write(b"GET /apis/kelpfront.dev/v1/jobs?watch=1 HTTP/1.1\r\nhost: x\r\n\r\n")
        writer.write_eof()
        await client.submit("climate", spec(), name="a")
        async with asyncio.timeout(20):
            head = await reader.readuntil(b"ADDED")
        assert b"200" in head, "a client that closed only its sending side still receives events"
        writer.transport.abort()
        await until(lambda: service.store.watch_count(JOBS) == 0)
        await until(lambda: service.http.connections <= 2)
