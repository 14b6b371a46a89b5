"""A placer with node agents: jobs with commands, their output, and restarts of agents and of the placer."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from agents import AgentProcess, running_agent
from click.testing import CliRunner
from clusters import SETTINGS
from waiting import until

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import Job, JobSpec, Task
from kelpfront.cli import main
from kelpfront.client import Client
from kelpfront.config.reader import parse_config
from kelpfront.inventory import Host, Inventory
from kelpfront.lab.restarts import Restarts, RestartsShape
from kelpfront.service.composition import PlacerOptions
from kelpfront.service.placer import PlacerService

OVERRIDES = ("agent.heartbeat=100 ms", "host.cores=24", "host.memory=48")


class AgentCluster:
    def __init__(self, agents: list[AgentProcess]) -> None:
        self.agents = agents
        self.placers: list[PlacerService] = []
        self.clients: list[Client] = []

    async def placer(self) -> tuple[PlacerService, Client]:
        hosts = {
            f"n{number}": Host(f"n{number}", "small", "r1", "east", 24.0, 48.0, agent.url)
            for number, agent in enumerate(self.agents)
        }
        config = parse_config(SETTINGS, "test.ini", ("cluster.lost_after=20 s",))
        options = PlacerOptions(seed=len(self.placers))
        service = PlacerService(config, Inventory("test", hosts), options=options)
        self.placers.append(service)
        await service.start()
        await until(lambda: not service.operations.rejection_message)
        await until(lambda: all(entry.load for entry in service.controller.registry.entries.values()))
        client = Client(service.url, seed=1)
        self.clients.append(client)
        return service, client


@asynccontextmanager
async def agent_cluster(folder: Path, count: int = 1) -> AsyncIterator[AgentCluster]:
    async with AsyncExitStack() as stack:
        agents = []
        for number in range(count):
            agent_folder = folder / f"n{number}"
            agent_folder.mkdir()
            agents.append(
                await stack.enter_async_context(
                    running_agent(agent_folder, overrides=(*OVERRIDES, f"agent.name=n{number}"))
                )
            )
        cluster = AgentCluster(agents)
        try:
            yield cluster
        finally:
            for client in cluster.clients:
                client.close()
            for service in cluster.placers:
                await service.close()


def _ignore_text(_text: str) -> None:
    """Discard the progress text."""


def job_spec(script: str, cls: str = "web", **changes: Any) -> JobSpec:
    defaults = {"class": cls, "service": "front", "cores": 1.0, "memory": 1.0}
    return JobSpec.model_validate({**defaults, "command": ["sh", "-c", script], **changes})


def task_status(job: Job, index: int = 0) -> Task:
    assert job.status is not None
    return job.status.tasks[index]


async def until_state(client: Client, name: str, *states: str) -> Task:
    async with asyncio.timeout(30):
        while True:
            task = task_status(await client.get_job("climate", name))
            if task.state.value in states:
                return task
            await asyncio.sleep(0.02)


async def test_a_job_runs_its_command_and_its_output_is_read_through_the_api(tmp_path: Path) -> None:
    async with agent_cluster(tmp_path) as cluster:
        _, client = await cluster.placer()
        submitted_spec = job_spec(
            'echo "$GREETING from $KELPFRONT_JOB"; pwd; exit 3', env={"GREETING": "hello"}, workdir="/tmp"
        )
        await client.submit("climate", submitted_spec, name="front")
        task = await until_state(client, "front", "Ended")
        assert (task.answer, task.exit_code, task.machine) == ("Placed", 3, "n0")
        assert task.cpu_seconds is not None
        assert task.cpu_seconds >= 0
        assert await client.logs("climate", "front") == b"hello from climate/front\n/tmp\n"
        assert await client.logs("climate", "front", 0, attempt=0, tail_bytes=5) == b"/tmp\n"
        for wrong in ({"task": 7}, {"task": 0, "attempt": 3}):
            with pytest.raises(ApiError) as caught:
                await client.logs("climate", "front", **wrong)
            assert caught.value.code == 404
        runner = CliRunner()
        url = cluster.placers[0].url
        result = await asyncio.to_thread(
            runner.invoke, main, ["logs", "--server", url, "-n", "climate", "front", "0"]
        )
        assert result.output == "hello from climate/front\n/tmp\n", result.output


async def test_a_command_that_does_not_exist_is_refused_with_the_machines_message(tmp_path: Path) -> None:
    async with agent_cluster(tmp_path) as cluster:
        _, client = await cluster.placer()
        submitted_spec = JobSpec.model_validate(
            {
                "class": "blend",
                "service": "x",
                "cores": 1.0,
                "memory": 1.0,
                "command": ["no-such-program"],
                "patience": "1s",
            }
        )
        job = await client.wait_answers(await client.submit("climate", submitted_spec))
        task = task_status(job)
        assert task.answer == "Refused"  # no attempt has run
        assert "no-such-program: No such file" in (task.attempts[0].message or "")


async def test_a_deleted_job_is_stopped_with_its_grace_period(tmp_path: Path) -> None:
    async with agent_cluster(tmp_path) as cluster:
        _, client = await cluster.placer()
        out = cluster.agents[0].out
        submitted_spec = job_spec(
            f"trap 'echo term >> {out}/terms; exit 0' TERM; echo >> {out}/up; while :; do sleep 0.02; done",
            stop_grace="5s",
        )
        await client.submit("climate", submitted_spec, name="front")
        await cluster.agents[0].until_lines("up", 1)
        await client.delete_job("climate", "front")
        assert await cluster.agents[0].until_lines("terms", 1) == ["term"]


async def test_tasks_survive_a_killed_agent_and_the_placer_receives_their_exit_codes(tmp_path: Path) -> None:
    async with agent_cluster(tmp_path) as cluster:
        _, client = await cluster.placer()
        (agent,) = cluster.agents
        for name, script in (
            ("stays", "sleep 60"),
            ("ends", f"sleep 0.5; echo x >> {agent.out}/ends; exit 9"),
        ):
            await client.submit("climate", job_spec(script, "blend"), name=name)
            await until_state(client, name, "Running")
        address = agent.url.removeprefix("http://")
        await agent.kill()
        await agent.until_lines("ends", 1)
        await agent.start(overrides=(*OVERRIDES, "agent.name=n0", f"agent.listen={address}"))
        task = await until_state(client, "ends", "Ended", "Lost")
        assert (task.state, task.exit_code) == ("Ended", 9)
        task = await until_state(client, "stays", "Running", "Lost")
        assert task.state == "Running"
        assert len(task.attempts) == 1


async def test_a_restarted_placer_recovers_its_jobs_from_the_agents(tmp_path: Path) -> None:
    async with agent_cluster(tmp_path, 2) as cluster:
        first, client = await cluster.placer()
        submitted_spec = job_spec("sleep 60", "blend", count=4, stop_grace="1s", client_token="again")
        await client.submit("climate", submitted_spec, name="front")
        first_job = await client.wait_answers(await client.get_job("climate", "front"), timeout_s=30)
        assert first_job.status is not None, first_job
        assert first_job.status.counts.running == 4, first_job
        await first.close()
        _, client = await cluster.placer()
        job = await client.get_job("climate", "front")
        assert job.status is not None
        assert len(job.status.tasks) == 4
        assert {task.state.value for task in job.status.tasks} == {"Running"}
        assert job.spec.command == ["sh", "-c", "sleep 60"]
        assert job.spec.stop_grace == "1s"
        resubmitted = await client.submit("climate", submitted_spec)
        assert resubmitted.metadata.uid == job.metadata.uid
        await client.delete_job("climate", "front")
        async with asyncio.timeout(30):
            while any([await agent.tasks() for agent in cluster.agents]):  # noqa: ASYNC110
                await asyncio.sleep(0.02)


async def test_agents_killed_under_load_lose_no_task_and_start_none_twice(tmp_path: Path) -> None:
    """A short run of the laboratory's restart experiment, with a fixed seed."""
    shape = RestartsShape(seed=7, restarts=6, rate=20.0, seconds=6.0)
    figures = await Restarts(shape, tmp_path / "run", _ignore_text).run()
    assert figures["placed"] > 20
    assert figures["starts"] >= figures["placed"]
    failures = {name: figures[name] for name in ("lost", "duplicated", "unreported_exits", "violations")}
    assert not any(failures.values()), figures


@pytest.mark.parametrize(
    ("wrong", "found_as"),
    [
        ("forgets", "lost"),
        ("starts-again", "duplicated"),
        ("drops-exits", "lost"),
        ("running-never-ran", "lost"),
        ("misses-exits", "unreported_exits"),
        ("starts-twice", "duplicated"),
        ("halves-use", "use_error"),
    ],
)
async def test_the_experiment_detects_a_faulty_agent(tmp_path: Path, wrong: str, found_as: str) -> None:
    """In one of three short runs: which tasks are affected by a kill depends on the host's timing."""
    found = []
    for seed in (7, 8, 9):
        shape = RestartsShape(seed=seed, restarts=5, rate=20.0, seconds=5.0, wrong=wrong)
        figures = await Restarts(shape, tmp_path / f"run-{seed}", _ignore_text).run()
        found.append(figures[found_as])
        if figures[found_as] > (0.05 if found_as == "use_error" else 0):
            return
    raise AssertionError(f"{wrong} was not detected as {found_as}: {found}")
