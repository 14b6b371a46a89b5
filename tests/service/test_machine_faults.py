"""Tasks on machines that answer late, lose answers, crash or drain."""

from __future__ import annotations

from typing import Any

from clusters import cluster, spec
from waiting import until

from kelpfront.api.meta import JOBS, MACHINES
from kelpfront.service.placer import PlacerService


def state_and_answer(service: PlacerService, name: str, index: int = 0) -> tuple[str, str | None]:
    service.controller.flush(service.clock.now())
    tasks = service.store.get(JOBS, ("climate", name)).body["status"]["tasks"]
    task = next(task for task in tasks if task["index"] == index)
    return task["state"], task.get("answer")


def first_task(service: PlacerService, name: str) -> Any:
    service.controller.flush(service.clock.now())
    return service.store.get(JOBS, ("climate", name)).body["status"]["tasks"][0]


async def wait_for_state(service: PlacerService, name: str, expected: str) -> None:
    await until(lambda: state_and_answer(service, name)[0] == expected)


async def test_an_idempotent_task_whose_machine_is_late_is_cancelled_there_and_placed_elsewhere() -> None:
    async with cluster(3) as (test_cluster, service, client):
        await client.submit("climate", spec(patience="1h"), name="probe")
        await wait_for_state(service, "probe", "Running")
        preferred = first_task(service, "probe")["machine"]  # a service's next task goes to the same machine
        test_cluster.fleet.machines[preferred].troubles.late_ms = 3_000.0
        test_cluster.fleet.machines[preferred].silence(on=True)
        await client.submit("climate", spec(patience="2s"), name="a")
        await until(lambda: len(first_task(service, "a")["attempts"]) >= 1)
        await wait_for_state(service, "a", "Running")
        test_cluster.fleet.machines[preferred].silence(on=False)
        task = first_task(service, "a")
        assert task["machine"] != preferred
        assert task["attempts"][0]["end"] == "timed out"
        uid = task["uid"]
        await until(
            lambda: (
                test_cluster.events("end", task=uid, machine=preferred)
                or uid not in test_cluster.fleet.machines[preferred].node.tasks
            )
        )
        assert sum(uid in machine.node.tasks for machine in test_cluster.fleet.machines.values()) == 1


async def test_a_non_idempotent_task_whose_machine_is_late_fails_and_is_found_running_later() -> None:
    async with cluster(1, "cluster.recheck=30s") as (test_cluster, service, client):
        test_cluster.fleet.machines["n0"].silence(on=True)
        await client.submit("climate", spec("blend", patience="600ms"), name="a")
        await wait_for_state(service, "a", "Failed")
        assert len(test_cluster.events("offer")) == 1
        test_cluster.fleet.machines["n0"].silence(on=False)
        await wait_for_state(service, "a", "Running")
        assert state_and_answer(service, "a") == ("Running", "Failed"), (
            "the task was found running; its answer stays"
        )
        assert len(test_cluster.events("start")) == 1
        assert len(test_cluster.events("offer")) == 1, "the task was not offered again"


async def test_a_task_with_an_idempotency_key_is_retried_in_its_zone_only_and_starts_once() -> None:
    async with cluster(6) as (test_cluster, service, client):
        for machine in test_cluster.fleet.machines.values():
            machine.troubles.reset_share = 1.0
        await client.submit("climate", spec("ingest", cores=0.5), name="a")
        await until(lambda: state_and_answer(service, "a")[1] is not None)
        offers = test_cluster.events("offer")
        assert len({line["room"] for line in offers}) == 1
        assert len({line["machine"] for line in offers}) == len(offers) <= 4
        assert len(test_cluster.events("start")) == 1, "the task starts once in its zone"
        await wait_for_state(service, "a", "Running")


async def test_a_non_idempotent_task_whose_answer_is_lost_is_not_retried() -> None:
    async with cluster(4) as (test_cluster, service, client):
        for machine in test_cluster.fleet.machines.values():
            machine.troubles.reset_share = 1.0
        for index in range(10):
            await client.submit("climate", spec("blend", cores=0.2, memory=0.2), name=f"u{index}")
        await until(lambda: service.controller.open_tasks == 0)
        assert len(test_cluster.events("offer")) == 10
        await until(lambda: all(state_and_answer(service, f"u{n}")[0] == "Running" for n in range(10)))
        answers = {state_and_answer(service, f"u{n}")[1] for n in range(10)}
        assert answers <= {"Placed", "Failed"}
        assert len(test_cluster.events("start")) == 10


async def test_a_machine_that_crashes_loses_its_tasks_and_new_ones_are_placed_elsewhere() -> None:
    async with cluster(2) as (test_cluster, service, client):
        await client.submit("climate", spec(), name="a")
        await wait_for_state(service, "a", "Running")
        preferred = first_task(service, "a")["machine"]
        test_cluster.fleet.machines[preferred].crash()
        await client.submit("climate", spec(), name="b")
        await wait_for_state(service, "b", "Running")
        assert first_task(service, "b")["machine"] != preferred
        await test_cluster.fleet.machines[preferred].boot(cold=True)
        await wait_for_state(service, "a", "Lost")
        assert first_task(service, "a")["reason"] == "MACHINE_LOST"
        await until(lambda: service.store.get(MACHINES, ("", preferred)).body["status"]["state"] == "Ready")


async def test_a_draining_machine_gets_no_new_tasks_and_its_tasks_are_reported_as_sent_away() -> None:
    async with cluster(2) as (test_cluster, service, client):
        await client.submit("climate", spec(), name="a")
        await wait_for_state(service, "a", "Running")
        preferred = first_task(service, "a")["machine"]
        test_cluster.fleet.machines[preferred].drain(on=True)
        await wait_for_state(service, "a", "Lost")
        assert first_task(service, "a")["reason"] == "SENT_AWAY"
        for index in range(5):
            await client.submit("climate", spec(), name=f"b{index}")
            await wait_for_state(service, f"b{index}", "Running")
        draining_at = test_cluster.events("told", machine=preferred, state="draining")[0]["t"]
        assert [
            o for o in test_cluster.events("offer", machine=preferred) if o["t"] > draining_at + 500
        ] == []
        assert {first_task(service, f"b{n}")["machine"] for n in range(5)}.isdisjoint({preferred})


async def test_deleting_a_job_stops_each_of_its_tasks_once() -> None:
    async with cluster(2) as (test_cluster, service, client):
        await client.submit("climate", spec(count=3), name="a")
        await until(
            lambda: (
                sum(
                    m.node.tasks[t].phase == "running"
                    for m in test_cluster.fleet.machines.values()
                    for t in m.node.tasks
                )
                == 3
            )
        )
        await client.delete_job("climate", "a")
        await until(lambda: not any(m.node.tasks for m in test_cluster.fleet.machines.values()))
        assert len(test_cluster.events("end", cause="stopped")) == 3
        context = service.controller.context
        await until(lambda: context.task_table.by_uid == {} and len(context.stops) == 0)
