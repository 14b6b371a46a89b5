"""Tests of levels in a running placer: API resource, rejections, command line and Kubernetes client."""

from __future__ import annotations

import asyncio
import contextlib
import json
from datetime import datetime
from typing import Any

import pytest
from clusters import cluster, spec
from command_line import run_command_async
from kubernetes import client as kubernetes_client
from kubernetes import watch as kubernetes_watch
from rest_calls import BASE, JOB, JOBS_PATH, call_json
from waiting import until

from kelpfront.api.errors import ApiError
from kelpfront.api.levels import Level
from kelpfront.api.meta import JOBS, LEVELS
from kelpfront.degradation import OverloadObservation
from kelpfront.service.placer import PlacerService

PATH = f"{BASE}/levels/placer-0"
SLACK_MS = 400.0
"""Tolerance of measured times: the load, the machines and the placer share one process."""


def level_object(service: PlacerService) -> Any:
    return service.store.get(LEVELS, ("", "placer-0")).body


async def pin_level(service: PlacerService, level: str, for_: str = "10m") -> Any:
    patch = {"spec": {"pin": {"level": level, "for": for_}}}
    status, body = await call_json(service, "PATCH", PATH, patch, kind="application/merge-patch+json")
    assert status == 200, body
    return body


async def test_the_level_resource_conforms_to_its_schema() -> None:
    async with cluster(2) as (_, service, _client):
        await until(lambda: service.store.find(LEVELS, ("", "placer-0")))
        status, listed = await call_json(service, "GET", f"{BASE}/levels")
        assert (status, listed["kind"], len(listed["items"])) == (200, "LevelList", 1)
        level_status = Level.model_validate(listed["items"][0]).status
        assert level_status is not None
        assert level_status.level == "full"
        assert level_status.given_up == []
        assert [(cls.name, cls.rank, cls.essential) for cls in level_status.classes] == [
            ("web", 0, False),
            ("ingest", 1, True),
            ("blend", 1, True),
        ]
        assert (await call_json(service, "GET", f"{BASE}/levels?fieldSelector=status.level=holding"))[1][
            "items"
        ] == []


async def test_holding_rejects_other_classes_with_a_reason_and_places_essential_ones() -> None:
    async with cluster(2) as (_, service, client):
        body = await pin_level(service, "holding")
        assert body["status"]["level"] == "holding"
        assert body["status"]["pinnedUntil"]
        assert "web: nothing is taken" in body["status"]["givenUp"]
        status, refused = await call_json(service, "POST", JOBS_PATH, JOB)
        assert (status, refused["reason"]) == (429, "TooManyRequests")
        assert refused["details"]["retryAfterSeconds"] >= 1
        (cause,) = refused["details"]["causes"]
        assert (cause["reason"], cause["field"]) == ("ReducedService", "level:holding")
        with pytest.raises(ApiError) as caught:
            await client.submit("climate", spec(), name="b")
        assert caught.value.code == 429
        assert "level holding" in caught.value.message
        job = await client.wait_answers(await client.submit("climate", spec("blend"), name="c"), timeout_s=5)
        assert job.status is not None
        assert job.status.tasks[0].answer == "Placed"
        assert service.store.find(JOBS, ("climate", "a")) is None, "a rejected job must not be stored"
        body = (await call_json(service, "GET", PATH))[1]
        assert body["status"]["changes"][-1]["after"] == "holding"


async def test_a_repeated_pin_extends_its_time_and_an_unchanged_object_written_back_does_not() -> None:
    async with cluster(1) as (_, service, _client):
        first = await pin_level(service, "careful")
        await asyncio.sleep(0.01)
        status, back = await call_json(service, "PUT", PATH, first)
        assert (status, back["status"]["pinnedUntil"]) == (200, first["status"]["pinnedUntil"])
        again = await pin_level(service, "careful")
        assert again["status"]["pinnedUntil"] > first["status"]["pinnedUntil"]


async def test_a_pin_expires_and_can_be_removed() -> None:
    async with cluster(1) as (_, service, _client):
        await pin_level(service, "essential", "1s")
        await until(lambda: level_object(service)["spec"] == {})
        body = await pin_level(service, "holding")
        generation = body["metadata"]["generation"]
        patch = {"spec": {"pin": None}}
        status, body = await call_json(service, "PATCH", PATH, patch, kind="application/merge-patch+json")
        assert (status, body["spec"], body["metadata"]["generation"]) == (200, {}, generation + 1)


@pytest.mark.parametrize(
    ("pin", "field"),
    [
        ({"level": "halfway", "for": "10m"}, "spec.pin.level"),
        ({"level": "holding"}, "spec.pin.for"),
        ({"level": "holding", "for": "soon"}, "spec.pin.for"),
    ],
)
async def test_an_invalid_pin_is_rejected_with_its_field_and_changes_nothing(pin: Any, field: str) -> None:
    async with cluster(1) as (_, service, _client):
        await until(lambda: service.store.find(LEVELS, ("", "placer-0")))
        status, body = await call_json(
            service, "PATCH", PATH, {"spec": {"pin": pin}}, kind="application/merge-patch+json"
        )
        assert status == 422
        assert body["details"]["causes"][0]["field"] == field
        assert level_object(service)["status"]["level"] == "full"


async def test_answers_are_published_at_once_at_every_level() -> None:
    """Progress may wait for the next publication; an answer must arrive by its deadline."""
    async with cluster(1) as (_, service, client):
        await pin_level(service, "holding")
        service.controller.flush(service.clock.now())
        observed_states: list[str] = []
        job = await client.submit("climate", spec("blend"), name="a")

        async def follow() -> None:
            async for state in client.follow(job):
                assert state.status is not None
                observed_states.append(state.status.tasks[0].state)
                if state.status.tasks[0].answer:
                    return

        started_at = asyncio.get_running_loop().time()
        await asyncio.wait_for(follow(), 10)
        assert observed_states[-1] in ("Placed", "Running")
        assert asyncio.get_running_loop().time() - started_at < 5


async def test_the_kubernetes_client_lists_watches_and_pins() -> None:
    async with cluster(1) as (_, service, _client):
        await until(lambda: service.store.find(LEVELS, ("", "placer-0")))
        configuration = kubernetes_client.Configuration()
        configuration.host = service.url

        def list_pin_and_watch() -> list[str]:
            with kubernetes_client.ApiClient(configuration) as api_client:
                objects_api = kubernetes_client.CustomObjectsApi(api_client)
                resource = {"group": "kelpfront.dev", "version": "v1", "plural": "levels"}
                listed = objects_api.list_cluster_custom_object(**resource)
                objects_api.patch_cluster_custom_object(
                    **resource,
                    name="placer-0",
                    body={"spec": {"pin": {"level": "careful", "for": "5m"}}},
                    _content_type="application/merge-patch+json",
                )
                levels = []
                events = kubernetes_watch.Watch().stream(
                    objects_api.list_cluster_custom_object,
                    **resource,
                    resource_version=listed["metadata"]["resourceVersion"],
                    timeout_seconds=20,
                )
                for event in events:
                    levels.append(event["object"]["status"]["level"])
                    if levels[-1] == "careful":
                        break
                return levels

        assert (await asyncio.to_thread(list_pin_and_watch))[-1] == "careful"


async def test_the_command_line_shows_explains_pins_and_watches() -> None:
    async with cluster(2) as (_, service, client):
        url = service.url
        await client.submit("climate", spec(), name="a")
        status = await run_command_async("status", url=url)
        assert status.exit_code == 0, status.stderr
        assert "placer-0  full" in status.stdout, status.stderr
        assert "2 Ready" in status.stdout, status.stderr
        status_object = json.loads((await run_command_async("status", "--json", url=url)).stdout)
        assert status_object["level"] == "full"
        assert status_object["jobs"]
        watching = asyncio.create_task(run_command_async("watch", "levels", "--seconds", "5", url=url))
        pin = await run_command_async("levels", "pin", "essential", "--for", "3m", url=url)
        assert pin.stdout.startswith("level/placer-0 essential, pinned until"), pin.stderr
        explained = await run_command_async("levels", "explain", url=url)
        assert "the pin ends in" in explained.stdout
        assert "web: taken while fewer than" in explained.stdout
        assert "pinned by an operator" in explained.stdout
        table = await run_command_async("get", "levels", url=url)
        assert "essential" in table.stdout
        assert "0 of 12 in the hour" in table.stdout
        assert "essential" in (await watching).stdout
        assert (await run_command_async("levels", "unpin", url=url)).stdout == "level/placer-0 essential\n"
        invalid = await run_command_async("levels", "pin", "essential", "--for", "soon", url=url)
        assert invalid.exit_code == 2
        assert "--for" in invalid.stderr


async def test_lost_machines_raise_the_level_with_evidence() -> None:
    """When most machines crash, the level rises to essential with the lost cores as evidence."""
    async with cluster(4) as (test_cluster, service, _client):
        await until(lambda: level_name(service) == "full")
        for name in ("n0", "n1", "n2"):
            test_cluster.fleet.machines[name].crash()
        await until(lambda: level_name(service) == "essential")
        change = level_object(service)["status"]["changes"][-1]
        assert {item["symptom"] for item in change["evidence"]} == {"cores-lost"}
        assert change["evidence"][0]["value"] == 0.75
        assert any(
            "cores-lost must fall under" in line for line in level_object(service)["status"]["leavesWhen"]
        )


def level_name(service: PlacerService) -> str:
    with contextlib.suppress(ApiError):
        name: str = level_object(service)["status"]["level"]
        return name
    return ""


async def test_memory_and_timer_lag_are_signals_of_the_process() -> None:
    async with cluster(1, "levels.memory=16 MiB") as (_, service, _client):
        await until(lambda: service.controller.degradation.process_load.memory_share > 1.0)
        await until(lambda: level_name(service) == "holding")
        assert "memory" in level_object(service)["status"]["why"]
    controller = service.controller.degradation.degradation_controller
    observation = OverloadObservation(timer_lag_ms=300.0)
    assert controller.signals.readings(controller.elapsed_ms, observation)["lag"] == 300.0


async def test_during_a_flood_drains_take_effect_and_admitted_tasks_are_answered_in_time() -> None:
    """A machine drains while jobs, watches and broken connections exceed what a placer can handle."""
    async with cluster(4, "limits.open_tasks=400") as (test_cluster, service, client):
        host, port = "127.0.0.1", service.http.port
        flooding = True
        admitted: list[str] = []
        rejected_count = 0

        async def flood(number: int) -> None:
            nonlocal rejected_count
            count = 0
            while flooding:
                count += 1
                name = f"f{number}-{count}"
                try:
                    await client.submit("climate", spec(cores=0.5, patience="4s"), name=name)
                    admitted.append(name)
                except ApiError as error:
                    if error.code not in (429, 503):
                        raise
                    rejected_count += 1
                await asyncio.sleep(0)

        async def abort_watches() -> None:
            while flooding:
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(f"GET {BASE}/jobs?watch=true HTTP/1.1\r\nhost: x\r\n\r\n".encode())
                await reader.read(100)
                writer.transport.abort()
                await asyncio.sleep(0.005)

        clients = [asyncio.create_task(flood(number)) for number in range(40)]
        clients += [asyncio.create_task(abort_watches()) for _ in range(4)]
        await asyncio.sleep(3.0)
        test_cluster.fleet.machines["n0"].drain(on=True)
        await asyncio.sleep(3.0)
        flooding = False
        await asyncio.gather(*clients)
        assert admitted
        assert rejected_count
        await until(lambda: service.controller.open_tasks == 0)
        drain_sent_at = test_cluster.events("told", machine="n0", state="draining")[0]["t"]
        late_offers = [
            offer
            for offer in test_cluster.events("offer", machine="n0")
            if offer["t"] > drain_sent_at + 500.0 + SLACK_MS
        ]
        assert late_offers == []

        def stored_task(name: str) -> dict[str, Any]:
            task: dict[str, Any] = service.store.get(JOBS, ("climate", name)).body["status"]["tasks"][0]
            return task

        # The store gets an answer in an iteration of the control loop after the one that gave it.
        await until(lambda: all(stored_task(name).get("answer") for name in admitted))
        for name in admitted:
            task = stored_task(name)
            waited_ms = _epoch_ms(task["answeredAt"]) - _epoch_ms(task["createdAt"])
            assert waited_ms <= 4000.0 + SLACK_MS, (name, waited_ms)


def _epoch_ms(timestamp: str) -> float:
    return datetime.fromisoformat(timestamp.replace("Z", "+00:00")).timestamp() * 1000.0
