"""Levels as a placer serves them: the resource, refusals, the command line, a client not written here."""

from __future__ import annotations

import asyncio
import contextlib
import json
from datetime import datetime
from typing import Any

import pytest
from clusters import cluster, spec
from command_line import ran
from kubernetes import client as stock
from kubernetes import watch as stock_watch
from rest_calls import BASE, JOB, JOBS_PATH, told
from waiting import until

from kelpfront.api.errors import ApiError
from kelpfront.api.levels import Level
from kelpfront.api.meta import JOBS, LEVELS
from kelpfront.degradation import Seen
from kelpfront.service.app import PlacerService

PATH = f"{BASE}/levels/placer-0"
SLACK_MS = 400.0


def shown(service: PlacerService) -> Any:
    return service.store.get(LEVELS, ("", "placer-0")).body


async def pinned(service: PlacerService, level: str, for_: str = "10m") -> Any:
    patch = {"spec": {"pin": {"level": level, "for": for_}}}
    status, body = await told(service, "PATCH", PATH, patch, kind="application/merge-patch+json")
    assert status == 200, body
    return body


async def test_the_level_is_a_resource_that_fits_its_own_schema() -> None:
    async with cluster(2) as (_, service, _client):
        await until(lambda: service.store.find(LEVELS, ("", "placer-0")))
        status, listed = await told(service, "GET", f"{BASE}/levels")
        assert (status, listed["kind"], len(listed["items"])) == (200, "LevelList", 1)
        its = Level.model_validate(listed["items"][0]).status
        assert its is not None and its.level == "full" and its.given_up == []
        assert [(cls.name, cls.rank, cls.essential) for cls in its.classes] == [
            ("web", 0, False),
            ("ingest", 1, True),
            ("blend", 1, True),
        ]
        assert (await told(service, "GET", f"{BASE}/levels?fieldSelector=status.level=holding"))[1][
            "items"
        ] == []


async def test_at_holding_the_cheap_are_turned_away_with_the_reason_and_the_dear_are_placed() -> None:
    async with cluster(2) as (_, service, client):
        body = await pinned(service, "holding")
        assert body["status"]["level"] == "holding" and body["status"]["pinnedUntil"]
        assert "web: nothing is taken" in body["status"]["givenUp"]
        status, refused = await told(service, "POST", JOBS_PATH, JOB)
        assert (status, refused["reason"]) == (429, "TooManyRequests")
        assert refused["details"]["retryAfterSeconds"] >= 1
        (cause,) = refused["details"]["causes"]
        assert (cause["reason"], cause["field"]) == ("ReducedService", "level:holding")
        with pytest.raises(ApiError) as caught:
            await client.submit("climate", spec(), name="b")
        assert caught.value.code == 429 and "level holding" in caught.value.message
        job = await client.wait_answers(await client.submit("climate", spec("blend"), name="c"), timeout_s=5)
        assert job.status is not None and job.status.tasks[0].answer == "Placed"
        assert service.store.find(JOBS, ("climate", "a")) is None, "what is turned away was never taken"
        body = (await told(service, "GET", PATH))[1]
        assert body["status"]["changes"][-1]["after"] == "holding"


async def test_a_pin_that_is_given_again_begins_anew_and_one_written_back_does_not() -> None:
    async with cluster(1) as (_, service, _client):
        first = await pinned(service, "careful")
        await asyncio.sleep(0.01)
        status, back = await told(service, "PUT", PATH, first)
        assert (status, back["status"]["pinnedUntil"]) == (200, first["status"]["pinnedUntil"])
        again = await pinned(service, "careful")
        assert again["status"]["pinnedUntil"] > first["status"]["pinnedUntil"]


async def test_a_pin_ends_and_is_taken_back() -> None:
    async with cluster(1) as (_, service, _client):
        await pinned(service, "essential", "1s")
        await until(lambda: shown(service)["spec"] == {})
        body = await pinned(service, "holding")
        generation = body["metadata"]["generation"]
        patch = {"spec": {"pin": None}}
        status, body = await told(service, "PATCH", PATH, patch, kind="application/merge-patch+json")
        assert (status, body["spec"], body["metadata"]["generation"]) == (200, {}, generation + 1)


@pytest.mark.parametrize(
    ("pin", "field"),
    [
        ({"level": "halfway", "for": "10m"}, "spec.pin.level"),
        ({"level": "holding"}, "spec.pin.for"),
        ({"level": "holding", "for": "soon"}, "spec.pin.for"),
    ],
)
async def test_a_wrong_pin_is_refused_by_its_field_and_changes_nothing(pin: Any, field: str) -> None:
    async with cluster(1) as (_, service, _client):
        await until(lambda: service.store.find(LEVELS, ("", "placer-0")))
        status, body = await told(
            service, "PATCH", PATH, {"spec": {"pin": pin}}, kind="application/merge-patch+json"
        )
        assert status == 422 and body["details"]["causes"][0]["field"] == field
        assert shown(service)["status"]["level"] == "full"


async def test_an_answer_is_shown_at_once_at_every_level() -> None:
    """Progress may wait for the next showing; an answer is owed by its deadline."""
    async with cluster(1) as (_, service, client):
        await pinned(service, "holding")
        service.controller.flush(service.clock.now())
        seen: list[str] = []
        job = await client.submit("climate", spec("blend"), name="a")

        async def follow() -> None:
            async for state in client.follow(job):
                assert state.status is not None
                seen.append(state.status.tasks[0].state)
                if state.status.tasks[0].answer:
                    return

        began = asyncio.get_running_loop().time()
        await asyncio.wait_for(follow(), 10)
        assert seen[-1] in ("Placed", "Running")
        assert asyncio.get_running_loop().time() - began < 5


async def test_a_client_not_written_here_lists_watches_and_pins() -> None:
    async with cluster(1) as (_, service, _client):
        await until(lambda: service.store.find(LEVELS, ("", "placer-0")))
        configuration = stock.Configuration()
        configuration.host = service.url

        def work() -> list[str]:
            with stock.ApiClient(configuration) as api_client:
                its = stock.CustomObjectsApi(api_client)
                where = {"group": "kelpfront.dev", "version": "v1", "plural": "levels"}
                listed = its.list_cluster_custom_object(**where)
                its.patch_cluster_custom_object(
                    **where,
                    name="placer-0",
                    body={"spec": {"pin": {"level": "careful", "for": "5m"}}},
                    _content_type="application/merge-patch+json",
                )
                levels = []
                events = stock_watch.Watch().stream(
                    its.list_cluster_custom_object,
                    **where,
                    resource_version=listed["metadata"]["resourceVersion"],
                    timeout_seconds=20,
                )
                for event in events:
                    levels.append(event["object"]["status"]["level"])
                    if levels[-1] == "careful":
                        break
                return levels

        assert (await asyncio.to_thread(work))[-1] == "careful"


async def test_the_command_line_shows_explains_pins_and_watches() -> None:
    async with cluster(2) as (_, service, client):
        url = service.url
        await client.submit("climate", spec(), name="a")
        status = await ran("status", url=url)
        assert status.code == 0 and "placer-0  full" in status.out and "2 Ready" in status.out, status.err
        told_as = json.loads((await ran("status", "--json", url=url)).out)
        assert told_as["level"] == "full" and told_as["jobs"]
        watching = asyncio.create_task(ran("watch", "levels", "--seconds", "5", url=url))
        pin = await ran("levels", "pin", "essential", "--for", "3m", url=url)
        assert pin.out.startswith("level/placer-0 essential, pinned until"), pin.err
        explained = await ran("levels", "explain", url=url)
        assert "the pin ends in" in explained.out and "web: taken while fewer than" in explained.out
        assert "pinned by an operator" in explained.out
        table = await ran("get", "levels", url=url)
        assert "essential" in table.out and "0 of 12 in the hour" in table.out
        assert "essential" in (await watching).out
        assert (await ran("levels", "unpin", url=url)).out == "level/placer-0 essential\n"
        wrong = await ran("levels", "pin", "essential", "--for", "soon", url=url)
        assert wrong.code == 2 and "--for" in wrong.err


async def test_a_level_is_entered_for_what_the_placer_sees_of_its_machines() -> None:
    """Most of the machines die: careful, then essential, with the evidence in the log's words."""
    async with cluster(4) as (its, service, _client):
        await until(lambda: shown_level(service) == "full")
        for name in ("n0", "n1", "n2"):
            its.fleet.machines[name].crash()
        await until(lambda: shown_level(service) == "essential")
        change = shown(service)["status"]["changes"][-1]
        assert {one["symptom"] for one in change["evidence"]} == {"cores-lost"}
        assert change["evidence"][0]["value"] == 0.75
        assert any("cores-lost must fall under" in line for line in shown(service)["status"]["leavesWhen"])


def shown_level(service: PlacerService) -> str:
    with contextlib.suppress(ApiError):
        level: str = shown(service)["status"]["level"]
        return level
    return ""


async def test_memory_and_lag_are_symptoms_of_the_process_itself() -> None:
    async with cluster(1, "levels.memory=16 MiB") as (_, service, _client):
        await until(lambda: service.controller.degradation.process_load.memory_share > 1.0)
        await until(lambda: shown_level(service) == "holding")
        assert "memory" in shown(service)["status"]["why"]
    governor = service.controller.degradation.governor
    assert governor.symptoms.readings(governor.at, Seen(lag_ms=300.0))["lag"] == 300.0


async def test_under_a_flood_drains_hold_and_what_was_taken_is_answered_in_time() -> None:
    """Jobs, watches and connections that break, far more than the placer can look at, while one drains."""
    async with cluster(4, "limits.open_tasks=400") as (its, service, client):
        host, port = "127.0.0.1", service.http.port
        flooding = True
        taken: list[str] = []
        turned = 0

        async def flood(number: int) -> None:
            nonlocal turned
            count = 0
            while flooding:
                count += 1
                name = f"f{number}-{count}"
                try:
                    await client.submit("climate", spec(cores=0.5, patience="4s"), name=name)
                    taken.append(name)
                except ApiError as error:
                    assert error.code in (429, 503), error
                    turned += 1
                await asyncio.sleep(0)

        async def break_off() -> None:
            while flooding:
                reader, writer = await asyncio.open_connection(host, port)
                writer.write(f"GET {BASE}/jobs?watch=true HTTP/1.1\r\nhost: x\r\n\r\n".encode())
                await reader.read(100)
                writer.transport.abort()
                await asyncio.sleep(0.005)

        work = [asyncio.create_task(flood(number)) for number in range(40)]
        work += [asyncio.create_task(break_off()) for _ in range(4)]
        await asyncio.sleep(3.0)
        its.fleet.machines["n0"].drain(True)
        await asyncio.sleep(3.0)
        flooding = False
        await asyncio.gather(*work)
        assert taken and turned
        await until(lambda: service.controller.open_tasks == 0)
        told_at = its.events("told", machine="n0", state="draining")[0]["t"]
        # Flood, machines and placer share this process: what they owe is measured with some slack.
        late = [o for o in its.events("offer", machine="n0") if o["t"] > told_at + 500.0 + SLACK_MS]
        assert late == []
        for name in taken:
            task = service.store.get(JOBS, ("climate", name)).body["status"]["tasks"][0]
            assert task.get("answer"), name
            waited = _ms(task["answeredAt"]) - _ms(task["createdAt"])
            assert waited <= 4000.0 + SLACK_MS, (name, waited)


def _ms(stamp: str) -> float:
    return datetime.fromisoformat(stamp.replace("Z", "+00:00")).timestamp() * 1000.0
