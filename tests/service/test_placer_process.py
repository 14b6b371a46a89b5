"""The placer process: slow clients, changes of its inventory file, signals and errors in its files."""

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
from waiting import until

from kelpfront.api.errors import ApiError
from kelpfront.api.meta import MACHINES
from kelpfront.client import Client, Job, JobSpec, ServerUnreachableError
from kelpfront.lab.setup import write_csv


async def test_slow_clients_do_not_delay_others() -> None:
    async with cluster(2, "limits.request_time=1s", "limits.connections=300") as (_, service, client):
        connections = [await asyncio.open_connection("127.0.0.1", service.http.port) for _ in range(200)]
        for size, (_, writer) in enumerate(connections):
            writer.write(
                b"POST /apis/kelpfront.dev/v1/namespaces/c/jobs HTTP/1.1\r\nhost: x\r\nx: " + b"y" * size
            )
        job = await client.submit("climate", spec())
        async with asyncio.timeout(10):
            job = await client.wait_answers(job)
        assert job.status is not None
        assert job.status.tasks[0].answer == "Placed"
        answers = await asyncio.gather(*(reader.read(4096) for reader, _ in connections))
        assert all(answer.startswith(b"HTTP/1.1 408 ") for answer in answers)
        for _, writer in connections:
            writer.close()


async def test_a_faulty_inventory_changes_nothing_and_a_valid_one_is_applied(tmp_path: Path) -> None:
    test_cluster = TestCluster(3, QUICK, ())
    await test_cluster.start()
    path = tmp_path / "hosts.csv"
    write_csv(path, test_cluster.inventory)
    try:
        service = await test_cluster.placer(f"placer.inventory={path}")
        complete = path.read_text()
        path.write_text(complete[:-5])
        await service.inventory_reloader.reload()
        assert set(service.controller.registry.entries) == {"n0", "n1", "n2"}
        path.write_text(
            "".join(line for line in complete.splitlines(keepends=True) if not line.startswith("n1"))
        )
        await service.inventory_reloader.reload()
        assert service.controller.registry.entries["n1"].removed
        await until(lambda: "n1" not in service.controller.registry.entries)
        path.write_text(complete)
        await service.inventory_reloader.reload()
        await until(lambda: service.store.find(MACHINES, ("", "n1")) is not None)
        await until(lambda: service.store.get(MACHINES, ("", "n1")).body["status"]["state"] == "Ready")
    finally:
        await test_cluster.close()


def start_kelpfront(*args: str, **popen_options: Any) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "kelpfront", *args]
    return subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, **popen_options
    )


async def read_json_line(process: subprocess.Popen[str]) -> Any:
    assert process.stdout is not None
    async with asyncio.timeout(60):
        return json.loads(await asyncio.to_thread(process.stdout.readline))


async def submit_when_ready(client: Client, job_spec: JobSpec) -> Job:
    """Submit a job, and retry until the placer's machines have reported what they run."""
    while True:
        try:
            return await client.submit("climate", job_spec)
        except ApiError as error:
            if error.code != 503:
                raise
            await asyncio.sleep(0.05)


async def submit_until_rejected(client: Client) -> None:
    """Submit jobs until one is rejected, which raises ApiError."""
    async with asyncio.timeout(30):
        while True:
            await client.submit("climate", spec())


async def test_sigterm_answers_accepted_jobs_rejects_new_ones_and_exits_with_0(tmp_path: Path) -> None:
    test_cluster = TestCluster(2, QUICK, ())
    await test_cluster.start()
    write_csv(tmp_path / "inventory.csv", test_cluster.inventory)
    (tmp_path / "k.ini").write_text(SETTINGS)
    process = start_kelpfront("serve", "-c", str(tmp_path / "k.ini"))
    try:
        client = Client((await read_json_line(process))["url"], seed=1)
        jobs = [
            await submit_when_ready(client, spec(cores=1.0, patience="5s", count=3)),
            await submit_when_ready(client, spec(cores=1000.0, patience="1500ms", count=3)),  # too large
        ]
        waits = [asyncio.create_task(client.wait_answers(job)) for job in jobs]
        await asyncio.sleep(0.1)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        with pytest.raises((ApiError, ServerUnreachableError)) as rejected:
            await client.submit("climate", spec())
        assert getattr(rejected.value, "code", 503) == 503
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
        test_cluster.fleet.close()


async def test_a_second_signal_ends_a_placer_that_still_has_open_tasks(tmp_path: Path) -> None:
    machines = TestCluster(1, QUICK, ())
    await machines.start()
    write_csv(tmp_path / "inventory.csv", machines.inventory)
    (tmp_path / "k.ini").write_text(SETTINGS)
    process = start_kelpfront("serve", "-c", str(tmp_path / "k.ini"))
    try:
        client = Client((await read_json_line(process))["url"], seed=1)
        await submit_when_ready(client, spec(cores=1000.0, patience="1h"))
        process.send_signal(signal.SIGTERM)
        with pytest.raises(ApiError) as rejected:  # the first signal was handled
            await submit_until_rejected(client)
        assert rejected.value.code == 503
        assert process.poll() is None, "it waits for the open task"
        process.send_signal(signal.SIGINT)
        async with asyncio.timeout(30):
            code = await asyncio.to_thread(process.wait)
        assert code == 0
        client.close()
    finally:
        process.kill()
        process.communicate()
        machines.fleet.close()


def test_errors_in_a_placers_files_are_reported_on_standard_error(tmp_path: Path) -> None:
    (tmp_path / "k.ini").write_text(SETTINGS)

    def run_to_end(*args: str) -> tuple[int, str]:
        process = start_kelpfront(*args)
        _, text = process.communicate(timeout=60)
        return process.returncode, text

    code, text = run_to_end("serve", "-c", str(tmp_path / "none.ini"))
    assert code == 1
    assert "none.ini: No such file" in text
    code, text = run_to_end("serve", "-c", str(tmp_path / "k.ini"))
    assert code == 1
    assert "inventory.csv: No such file" in text
    (tmp_path / "inventory.csv").write_text("host,kind,rack,room\nn1,huge,r,e\n")
    code, text = run_to_end("serve", "-c", str(tmp_path / "k.ini"))
    assert code == 1
    assert "n1: unknown kind 'huge'; the settings have small" in text
    code, text = run_to_end("serve", "-c", str(tmp_path / "k.ini"), "--set", "placer.listen=x")
    assert code == 1
    assert "command line: [placer] listen" in text
