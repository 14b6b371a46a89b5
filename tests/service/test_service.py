"""The placer on real sockets when things go wrong: broken watches, late machines, kills, floods."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from clusters import QUICK, SETTINGS, TestCluster, cluster, spec
from proxy import proxy
from waiting import until

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import JOBS, MACHINES
from kelpfront.client import Client, Event, Job, ServerUnreachableError
from kelpfront.http.client import HttpConnection
from kelpfront.lab.setup import write_csv
from kelpfront.service.placer import PlacerService


def state(service: PlacerService, name: str, index: int = 0) -> tuple[str, str | None]:
    service.controller.flush(service.clock.now())
    tasks = service.store.get(JOBS, ("climate", name)).body["status"]["tasks"]
    task = next(task for task in tasks if task["index"] == index)
    return task["state"], task.get("answer")


def task_of(service: PlacerService, name: str) -> Any:
    service.controller.flush(service.clock.now())
    return service.store.get(JOBS, ("climate", name)).body["status"]["tasks"][0]


async def reached(service: PlacerService, name: str, wanted: str) -> None:
    await until(lambda: state(service, name)[0] == wanted)


# ---- Watches ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("bytes_between_cuts", [300, 1_500, 8_000])
async def test_a_watch_that_is_cut_again_and_again_misses_nothing_and_tells_nothing_twice(
    bytes_between_cuts: int,
) -> None:
    async with cluster(4) as (_, service, client), proxy(service.http.port) as cutting:
        cutting.cut_after = bytes_between_cuts
        watcher = Client(cutting.url, seed=3)
        seen: list[Event] = []

        async def read() -> None:
            async for event in watcher.watch(JOBS, "climate"):
                seen.append(event)

        reading = asyncio.create_task(read())
        for n in range(12):
            await client.submit("climate", spec(cores=0.5), name=f"j{n}")
            await asyncio.sleep(0.005)
        if bytes_between_cuts < 1000:  # too little for even one list: nothing can come through yet
            await until(lambda: cutting.connections >= 5)
            cutting.cut_after = 20_000
        await until(lambda: service.store.count(JOBS) == 12 and service.controller.open_tasks == 0)
        service.controller.flush(service.clock.now())
        final = {stored.name: stored.revision for stored in service.store.objects(JOBS)}

        def caught_up() -> bool:
            last = {e.object["metadata"]["name"]: int(e.object["metadata"]["resourceVersion"]) for e in seen}
            return last == final

        await until(caught_up)
        assert cutting.connections > 3
        for name in final:
            revisions = [
                int(e.object["metadata"]["resourceVersion"])
                for e in seen
                if e.object["metadata"]["name"] == name
            ]
            assert revisions == sorted(set(revisions)), "in order, none twice"
            answers = [
                e.object["status"]["tasks"][0].get("answer")
                for e in seen
                if e.object["metadata"]["name"] == name and e.object["status"]["tasks"][0].get("answer")
            ]
            assert set(answers) == {"Placed"}
        reading.cancel()
        watcher.close()


async def test_a_client_whose_history_is_gone_lists_anew_and_sees_the_difference() -> None:
    async with cluster(2, "limits.history=100") as (_, service, client), proxy(service.http.port) as cutting:
        watcher = Client(cutting.url, seed=3)
        seen: list[tuple[str, str]] = []

        async def read() -> None:
            async for event in watcher.watch(JOBS, "climate"):
                seen.append((event.kind, event.object["metadata"]["name"]))

        await client.submit("climate", spec(), name="stays")
        await client.submit("climate", spec(), name="goes")
        reading = asyncio.create_task(read())
        await until(lambda: {name for _, name in seen} == {"stays", "goes"})
        target, cutting._to = cutting._to, 1  # nobody listens there
        cutting.cut()
        await client.delete_job("climate", "goes")
        for n in range(60):
            await client.submit("climate", spec(cores=0.1, memory=0.1), name=f"new{n}")
        seen.clear()
        cutting._to = target
        await until(lambda: ("ADDED", "new59") in seen)
        assert ("DELETED", "goes") in seen
        assert [event for event in seen if event[1] == "stays" and event[0] == "ADDED"] == []
        reading.cancel()
        watcher.close()


async def test_a_watch_that_is_not_read_is_ended_and_holds_up_nobody() -> None:
    async with cluster(2, "limits.watch_buffer=10") as (_, service, client):
        connection = await HttpConnection.open("127.0.0.1", service.http.port)
        _, _, pieces = await connection.stream("GET", "/apis/kelpfront.dev/v1/jobs?watch=1")
        for n in range(30):  # far more than socket buffers hold
            await client.submit("climate", spec(cores=1000.0, count=900, patience="1h"), name=f"wide{n}")
            await client.delete_job("climate", f"wide{n}")
        job = await client.submit("climate", spec(), name="after")
        async with asyncio.timeout(20):
            placed = await client.wait_answers(job)
        assert placed.status is not None and placed.status.tasks[0].answer == "Placed"
        lines = b"".join([piece async for piece in pieces]).splitlines()
        last = json.loads(lines[-1])
        assert (last["type"], last["object"]["code"]) == ("ERROR", 410)
        connection.abort()


async def test_watches_and_clients_that_vanish_are_forgotten() -> None:
    async with cluster(1) as (_, service, client):
        for _ in range(20):
            connection = await HttpConnection.open("127.0.0.1", service.http.port)
            await connection.stream("GET", "/apis/kelpfront.dev/v1/jobs?watch=1&allowWatchBookmarks=1")
            connection.abort()
        half, writer = await asyncio.open_connection("127.0.0.1", service.http.port)
        writer.write(b"GET /apis/kelpfront.dev/v1/jobs?watch=1 HTTP/1.1\r\nhost: x\r\n\r\n")
        writer.write_eof()
        await client.submit("climate", spec(), name="a")
        async with asyncio.timeout(20):
            head = await half.readuntil(b"ADDED")
        assert b"200" in head, "a half-closed client still reads"
        writer.transport.abort()
        await until(lambda: service.store.watch_count(JOBS) == 0)
        await until(lambda: service.http.connections <= 2)


# ---- Machines that misbehave ------------------------------------------------------------------------------


async def test_a_safe_task_whose_machine_answers_late_is_cancelled_there_and_placed_elsewhere() -> None:
    async with cluster(3) as (its, service, client):
        await client.submit("climate", spec(patience="1h"), name="probe")
        await reached(service, "probe", "Running")
        home = task_of(service, "probe")["machine"]  # a service's next task goes to the same machine
        its.fleet.machines[home].troubles.late_ms = 3_000.0
        its.fleet.machines[home].silence(True)
        await client.submit("climate", spec(patience="2s"), name="a")
        await until(lambda: len(task_of(service, "a")["attempts"]) >= 1)
        await reached(service, "a", "Running")
        its.fleet.machines[home].silence(False)
        task = task_of(service, "a")
        assert task["machine"] != home
        assert task["attempts"][0]["end"] == "timed out"
        uid = task["uid"]
        await until(
            lambda: (
                its.events("end", task=uid, machine=home) or uid not in its.fleet.machines[home].node.tasks
            )
        )
        assert sum(uid in machine.node.tasks for machine in its.fleet.machines.values()) == 1


async def test_an_unsafe_task_whose_machine_answers_late_fails_and_is_then_found() -> None:
    async with cluster(1, "cluster.recheck=30s") as (its, service, client):
        its.fleet.machines["n0"].silence(True)
        await client.submit("climate", spec("blend", patience="600ms"), name="a")
        await reached(service, "a", "Failed")
        assert len(its.events("offer")) == 1
        its.fleet.machines["n0"].silence(False)
        await reached(service, "a", "Running")
        assert state(service, "a") == ("Running", "Failed"), "found; the answer stays"
        assert len(its.events("start")) == 1
        assert len(its.events("offer")) == 1, "nothing went out for it again"


async def test_a_keyed_task_whose_answer_is_lost_is_sent_again_only_in_its_room_and_stays_one() -> None:
    async with cluster(6) as (its, service, client):
        for machine in its.fleet.machines.values():
            machine.troubles.reset_share = 1.0
        await client.submit("climate", spec("ingest", cores=0.5), name="a")
        await until(lambda: state(service, "a")[1] is not None)
        offers = its.events("offer")
        assert len({line["room"] for line in offers}) == 1
        assert len({line["machine"] for line in offers}) == len(offers) <= 4
        assert len(its.events("start")) == 1, "one copy stands in a room"
        await reached(service, "a", "Running")


async def test_an_unsafe_task_whose_answer_is_lost_is_never_sent_again() -> None:
    async with cluster(4) as (its, service, client):
        for machine in its.fleet.machines.values():
            machine.troubles.reset_share = 1.0
        for n in range(10):
            await client.submit("climate", spec("blend", cores=0.2, memory=0.2), name=f"u{n}")
        await until(lambda: service.controller.open_tasks == 0)
        assert len(its.events("offer")) == 10
        await until(lambda: all(state(service, f"u{n}")[0] == "Running" for n in range(10)))
        answers = {state(service, f"u{n}")[1] for n in range(10)}
        assert answers <= {"Placed", "Failed"}
        assert len(its.events("start")) == 10


async def test_a_machine_that_crashes_loses_its_tasks_and_new_ones_go_elsewhere() -> None:
    async with cluster(2) as (its, service, client):
        await client.submit("climate", spec(), name="a")
        await reached(service, "a", "Running")
        home = task_of(service, "a")["machine"]
        its.fleet.machines[home].crash()
        await client.submit("climate", spec(), name="b")
        await reached(service, "b", "Running")
        assert task_of(service, "b")["machine"] != home
        await its.fleet.machines[home].boot(cold=True)
        await reached(service, "a", "Lost")
        assert task_of(service, "a")["reason"] == "MACHINE_LOST"
        await until(lambda: service.store.get(MACHINES, ("", home)).body["status"]["state"] == "Ready")


async def test_a_machine_that_drains_gets_nothing_new_and_its_tasks_are_shown_as_sent_away() -> None:
    async with cluster(2) as (its, service, client):
        await client.submit("climate", spec(), name="a")
        await reached(service, "a", "Running")
        home = task_of(service, "a")["machine"]
        its.fleet.machines[home].drain(True)
        await reached(service, "a", "Lost")
        assert task_of(service, "a")["reason"] == "SENT_AWAY"
        for n in range(5):
            await client.submit("climate", spec(), name=f"b{n}")
            await reached(service, f"b{n}", "Running")
        told_at = its.events("told", machine=home, state="draining")[0]["t"]
        assert [o for o in its.events("offer", machine=home) if o["t"] > told_at + 500] == []
        assert {task_of(service, f"b{n}")["machine"] for n in range(5)}.isdisjoint({home})


async def test_deleting_a_job_stops_it_on_its_machine_once() -> None:
    async with cluster(2) as (its, service, client):
        await client.submit("climate", spec(count=3), name="a")
        await until(
            lambda: (
                sum(
                    m.node.tasks[t].phase == "running"
                    for m in its.fleet.machines.values()
                    for t in m.node.tasks
                )
                == 3
            )
        )
        await client.delete_job("climate", "a")
        await until(lambda: not any(m.node.tasks for m in its.fleet.machines.values()))
        assert len(its.events("end", cause="stopped")) == 3
        context = service.controller.context
        await until(lambda: context.task_table.by_uid == {} and len(context.stops) == 0)


# ---- Placers that die, and ones that stop -----------------------------------------------------------------


async def test_a_placer_that_is_killed_with_offers_out_finds_its_tasks_when_it_is_back() -> None:
    its = TestCluster(4, QUICK, ())
    await its.start()
    try:
        first = await its.placer()
        client = its.client(first)
        for n in range(6):
            await client.submit("climate", spec("blend" if n % 2 else "web", count=2), name=f"j{n}")
        await until(lambda: len(its.events("start")) >= 6)
        await first.close()  # all its connections break; it answers nobody any more
        second = await its.placer()
        placed = {line["task"] for line in its.events("start")}
        running = {uid for m in its.fleet.machines.values() for uid, held in m.node.tasks.items()}
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
        await its.client(second).delete_job("climate", name)
        await until(
            lambda: (
                not any(
                    held.offer.job.name == name
                    for m in its.fleet.machines.values()
                    for held in m.node.tasks.values()
                )
            )
        )
        assert all(len(its.events("start", task=uid)) == 1 for uid in placed)
    finally:
        await its.close()


async def test_a_client_that_leaves_after_its_post_finds_its_job_when_it_is_back() -> None:
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
        assert job.status is not None and job.status.tasks[0].answer == "Placed"


async def test_a_deleted_job_ends_its_owners_wait() -> None:
    async with cluster(1) as (_, _service, client):
        job = await client.submit("climate", spec(cores=1000.0, patience="1h"), name="a")
        waiting = asyncio.create_task(client.wait_answers(job))
        await asyncio.sleep(0.05)
        await client.delete_job("climate", "a")
        with pytest.raises(ApiError) as error:
            await waiting
        assert error.value.code == 404


# ---- Floods and slow clients ------------------------------------------------------------------------------


async def test_slow_clients_do_not_hold_up_others() -> None:
    async with cluster(2, "limits.request_time=1s", "limits.connections=300") as (_, service, client):
        held = [await asyncio.open_connection("127.0.0.1", service.http.port) for _ in range(200)]
        for n, (_, writer) in enumerate(held):
            writer.write(
                b"POST /apis/kelpfront.dev/v1/namespaces/c/jobs HTTP/1.1\r\nhost: x\r\nx: " + b"y" * n
            )
        job = await client.submit("climate", spec())
        async with asyncio.timeout(10):
            job = await client.wait_answers(job)
        assert job.status is not None and job.status.tasks[0].answer == "Placed"
        answers = await asyncio.gather(*(reader.read(4096) for reader, _ in held))
        assert all(answer.startswith(b"HTTP/1.1 408 ") for answer in answers)
        for _, writer in held:
            writer.close()


async def test_an_inventory_that_turns_faulty_changes_nothing_and_a_good_one_is_taken(tmp_path: Path) -> None:
    its = TestCluster(3, QUICK, ())
    await its.start()
    path = tmp_path / "hosts.csv"
    write_csv(path, its.inventory)
    try:
        service = await its.placer(f"placer.inventory={path}")
        whole = path.read_text()
        path.write_text(whole[:-5])
        await service.inventory_reloader.reload()
        assert set(service.controller.registry.entries) == {"n0", "n1", "n2"}
        path.write_text("".join(line for line in whole.splitlines(True) if not line.startswith("n1")))
        await service.inventory_reloader.reload()
        assert service.controller.registry.entries["n1"].removed
        await until(lambda: "n1" not in service.controller.registry.entries)
        path.write_text(whole)
        await service.inventory_reloader.reload()
        await until(lambda: service.store.find(MACHINES, ("", "n1")) is not None)
        await until(lambda: service.store.get(MACHINES, ("", "n1")).body["status"]["state"] == "Ready")
    finally:
        await its.close()


# ---- The process ------------------------------------------------------------------------------------------


def kelpfront(*args: str, **more: Any) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "kelpfront", *args]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, **more)


async def line_of(process: subprocess.Popen[str]) -> Any:
    assert process.stdout is not None
    async with asyncio.timeout(60):
        return json.loads(await asyncio.to_thread(process.stdout.readline))


async def test_sigterm_answers_what_was_taken_takes_no_more_and_exits_0(tmp_path: Path) -> None:
    its = TestCluster(2, QUICK, ())
    await its.start()
    write_csv(tmp_path / "inventory.csv", its.inventory)
    (tmp_path / "k.ini").write_text(SETTINGS)
    process = kelpfront("serve", "-c", str(tmp_path / "k.ini"))
    try:
        client = Client((await line_of(process))["url"], seed=1)
        jobs: list[Job] = []
        for cores, patience in (
            (1.0, "5s"),
            (1000.0, "1500ms"),
        ):  # one placed at once, one that waits in vain
            while True:
                try:
                    jobs.append(await client.submit("climate", spec(cores=cores, patience=patience, count=3)))
                    break
                except ApiError as error:
                    assert error.code == 503  # until its machines have told what they hold
                    await asyncio.sleep(0.05)
        waits = [asyncio.create_task(client.wait_answers(job)) for job in jobs]
        await asyncio.sleep(0.1)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        with pytest.raises((ApiError, ServerUnreachableError)) as refused:
            await client.submit("climate", spec())
        assert getattr(refused.value, "code", 503) == 503
        done = [await wait for wait in waits]
        answers = [[task.answer for task in job.status.tasks] for job in done if job.status is not None]
        assert answers == [["Placed"] * 3, ["Refused"] * 3]
        async with asyncio.timeout(30):
            code = await asyncio.to_thread(process.wait)
        assert code == 0
        client.close()
    finally:
        process.kill()
        process.communicate()
        its.fleet.close()


def test_a_placer_says_what_is_wrong_with_its_files(tmp_path: Path) -> None:
    (tmp_path / "k.ini").write_text(SETTINGS)

    def said(*args: str) -> tuple[int, str]:
        process = kelpfront(*args)
        _, text = process.communicate(timeout=60)
        return process.returncode, text

    code, text = said("serve", "-c", str(tmp_path / "none.ini"))
    assert code == 1 and "none.ini: No such file" in text
    code, text = said("serve", "-c", str(tmp_path / "k.ini"))
    assert code == 1 and "inventory.csv: No such file" in text
    (tmp_path / "inventory.csv").write_text("host,kind,rack,room\nn1,huge,r,e\n")
    code, text = said("serve", "-c", str(tmp_path / "k.ini"))
    assert code == 1 and "n1: unknown kind 'huge'; the settings have small" in text
    code, text = said("serve", "-c", str(tmp_path / "k.ini"), "--set", "placer.listen=x")
    assert code == 1 and "command line: [placer] listen" in text
