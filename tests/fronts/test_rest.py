"""The REST API over real sockets: the conventions, and requests that are wrong in every way."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from clusters import cluster, spec
from kubernetes import client as stock
from kubernetes import watch as stock_watch
from rest_calls import BASE, JOB, JOBS_PATH, call, told
from waiting import until

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import Job
from kelpfront.api.machines import Machine
from kelpfront.api.meta import JOBS, MACHINES
from kelpfront.client import Client, ServerUnreachableError
from kelpfront.http.client import HttpConnection


async def test_discovery_and_health() -> None:
    async with cluster(1) as (_, service, _client):
        for path, kind in (
            ("/api", "APIVersions"),
            ("/apis", "APIGroupList"),
            ("/apis/kelpfront.dev", "APIGroup"),
            (BASE, "APIResourceList"),
        ):
            status, body = await told(service, "GET", path)
            assert (status, body["kind"]) == (200, kind)
        resources = {r["name"]: r for r in (await told(service, "GET", BASE))[1]["resources"]}
        assert (resources["jobs"]["namespaced"], resources["machines"]["namespaced"]) == (True, False)
        assert (await told(service, "GET", "/version"))[1]["gitVersion"].startswith("v")
        assert [(await call(service, "GET", path)).body for path in ("/livez", "/readyz")] == [b"ok", b"ok"]
        assert (await told(service, "POST", "/version"))[0] == 405
        status, index = await told(service, "GET", "/openapi/v3")
        url = index["paths"]["apis/kelpfront.dev/v1"]["serverRelativeURL"]
        document = (await told(service, "GET", url))[1]
        assert set(document["paths"]) == {
            f"{BASE}/jobs",
            f"{BASE}/namespaces/{{namespace}}/jobs",
            f"{BASE}/namespaces/{{namespace}}/jobs/{{name}}",
            f"{BASE}/namespaces/{{namespace}}/jobs/{{name}}/log",
            f"{BASE}/machines",
            f"{BASE}/machines/{{name}}",
            f"{BASE}/levels",
            f"{BASE}/levels/{{name}}",
        }
        spec_schema = document["components"]["schemas"]["JobSpec"]
        assert set(spec_schema["required"]) == {"class", "service", "cores", "memory"}
        text = json.dumps(document)
        wanted = {part.split('"')[0] for part in text.split('"$ref": "#/components/schemas/')[1:]}
        assert wanted <= set(document["components"]["schemas"])


async def test_objects_through_their_life() -> None:
    async with cluster() as (_, service, _client):
        status, made = await told(service, "POST", JOBS_PATH, JOB)
        assert status == 201
        Job.model_validate(made)
        assert made["metadata"]["creationTimestamp"].endswith("Z")
        assert (await told(service, "POST", JOBS_PATH, JOB))[1]["reason"] == "AlreadyExists"
        labelled = {"metadata": {"labels": {"team": "x"}}}
        merge = "application/merge-patch+json"
        status, patched = await told(service, "PATCH", f"{JOBS_PATH}/a", labelled, kind=merge)
        assert (status, patched["metadata"].get("labels")) == (200, {"team": "x"}), patched
        assert patched["metadata"]["uid"] == made["metadata"]["uid"]
        stale = {**JOB, "metadata": {"name": "a", "resourceVersion": made["metadata"]["resourceVersion"]}}
        status, conflict = await told(service, "PUT", f"{JOBS_PATH}/a", stale)
        assert (status, conflict["reason"]) == (409, "Conflict")
        now = (await told(service, "GET", f"{JOBS_PATH}/a"))[1]
        now["spec"]["count"] = 3
        status, replaced = await told(service, "PUT", f"{JOBS_PATH}/a", now)
        assert (status, replaced["metadata"]["generation"]) == (200, 2)
        assert "labels" in replaced["metadata"]
        options = {"preconditions": {"uid": "another"}}
        assert (await told(service, "DELETE", f"{JOBS_PATH}/a", options))[0] == 409
        status, gone = await told(service, "DELETE", f"{JOBS_PATH}/a")
        assert (status, gone["status"], gone["details"]["uid"]) == (200, "Success", made["metadata"]["uid"])
        status, missing = await told(service, "GET", f"{JOBS_PATH}/a")
        assert (status, missing["reason"], missing["details"]["name"]) == (404, "NotFound", "a")
        for name in ("b", "c"):
            await told(service, "POST", JOBS_PATH, {**JOB, "metadata": {"name": name, "labels": {"t": name}}})
        status, deleted = await told(service, "DELETE", f"{JOBS_PATH}?labelSelector=t%3Db")
        assert (status, deleted["details"]["deleted"]) == (200, 1)
        assert [j["metadata"]["name"] for j in (await told(service, "GET", JOBS_PATH))[1]["items"]] == ["c"]


async def test_lists_in_parts_and_selections() -> None:
    async with cluster(5) as (_, service, _client):
        for n in range(7):
            labels = {"half": "first" if n < 4 else "second"}
            where = f"{BASE}/namespaces/{'climate' if n % 2 else 'tickets'}/jobs"
            await told(service, "POST", where, {**JOB, "metadata": {"name": f"j{n}", "labels": labels}})
        status, page = await told(service, "GET", f"{BASE}/jobs?limit=4")
        assert (status, len(page["items"]), page["metadata"]["remainingItemCount"]) == (200, 4, 3)
        token = page["metadata"]["continue"]
        rest = (await told(service, "GET", f"{BASE}/jobs?limit=4&continue={token}"))[1]
        names = [item["metadata"]["name"] for item in page["items"] + rest["items"]]
        assert names == ["j1", "j3", "j5", "j0", "j2", "j4", "j6"]
        assert rest["metadata"]["resourceVersion"] == page["metadata"]["resourceVersion"]
        chosen = (await told(service, "GET", f"{JOBS_PATH}?labelSelector=half%3Dfirst"))[1]["items"]
        assert [item["metadata"]["name"] for item in chosen] == ["j1", "j3"]
        machines = (await told(service, "GET", f"{BASE}/machines?fieldSelector=spec.room%3Droom1"))[1][
            "items"
        ]
        assert [machine["metadata"]["name"] for machine in machines] == ["n1", "n3"]
        for machine in machines:
            Machine.model_validate(machine)


@pytest.mark.parametrize(
    ("method", "path", "status", "reason"),
    [
        ("GET", "/nothing", 404, "NotFound"),
        ("GET", f"{BASE}/pods", 404, "NotFound"),
        ("GET", f"{BASE}/namespaces/climate/machines", 404, "NotFound"),
        ("GET", f"{BASE}/jobs/a", 404, "NotFound"),
        ("POST", f"{BASE}/jobs", 405, "MethodNotAllowed"),
        ("POST", f"{BASE}/machines", 405, "MethodNotAllowed"),
        ("DELETE", f"{BASE}/machines/n0", 405, "MethodNotAllowed"),
        ("GET", f"{BASE}/jobs?limit=-1", 400, "BadRequest"),
        ("GET", f"{BASE}/jobs?limit=99999999999999999999", 400, "BadRequest"),
        ("GET", f"{BASE}/jobs?watch=maybe", 400, "BadRequest"),
        ("GET", f"{BASE}/jobs?continue=x", 400, "BadRequest"),
        ("GET", f"{BASE}/jobs?labelSelector=%28", 400, "BadRequest"),
        ("GET", f"{BASE}/jobs?fieldSelector=spec.cores%3D1", 400, "BadRequest"),
        (
            "GET",
            f"{BASE}/jobs?resourceVersion=999999999999999999&resourceVersionMatch=NotOlderThan",
            504,
            "Timeout",
        ),
        ("GET", f"{BASE}/jobs?resourceVersion=1&resourceVersionMatch=Exact", 410, "Expired"),
        ("POST", f"{BASE}/namespaces/Not-A-Name/jobs", 400, "BadRequest"),
        ("POST", f"{JOBS_PATH}?dryRun=All", 400, "BadRequest"),
        ("POST", f"{JOBS_PATH}?fieldValidation=Some", 400, "BadRequest"),
    ],
)
async def test_requests_that_cannot_be_served(method: str, path: str, status: int, reason: str) -> None:
    async with cluster(1) as (_, service, _client):
        got, body = await told(service, method, path, JOB if method == "POST" else None)
        assert (got, body["kind"], body["reason"], body["code"]) == (status, "Status", reason, status)


async def test_bodies_that_are_wrong() -> None:
    async with cluster(1) as (_, service, _client):
        status, body = await told(
            service, "POST", JOBS_PATH, {"spec": {"class": "web", "cores": "many", "x": 1}}
        )
        assert (status, body["reason"]) == (422, "Invalid")
        assert {cause["field"] for cause in body["details"]["causes"]} == {
            "spec.service",
            "spec.cores",
            "spec.memory",
            "spec.x",
        }
        status, body = await told(
            service, "POST", JOBS_PATH, {**JOB, "spec": {**JOB["spec"], "class": "none"}}
        )
        assert body["details"]["causes"][0]["message"] == "'none' is not one of web, ingest, blend"
        for raw, kind, want in (
            (b'{"spec": ', "application/json", 400),
            (b"[1]", "application/json", 400),
            (b"a: b", "application/yaml", 415),
            (b"x" * (1 << 21), "application/json", 413),
        ):
            status, body = await told(service, "POST", JOBS_PATH, raw, kind=kind)
            assert (status, body["kind"]) == (want, "Status")
        await told(service, "POST", JOBS_PATH, JOB)
        for kind in ("application/json-patch+json", "application/apply-patch+yaml", "application/json"):
            assert (await told(service, "PATCH", f"{JOBS_PATH}/a", {}, kind=kind))[0] == 415
        merge = "application/merge-patch+json"
        for patch, want in (
            ([], 400),
            ({"metadata": None}, 422),
            ({"metadata": {"name": "b"}}, 422),
            ({"spec": {"cores": 5}}, 422),
            ({"spec": None}, 422),
            ({"metadata": {"resourceVersion": "5"}}, 409),
        ):
            assert (await told(service, "PATCH", f"{JOBS_PATH}/a", patch, kind=merge))[0] == want, patch
        reply = await call(
            service, "POST", f"{JOBS_PATH}?fieldValidation=Warn", {**JOB, "odd": 1, "metadata": {}}
        )
        assert (reply.status, reply.headers["warning"]) == (201, '299 - "unknown field "odd""')
        assert (await told(service, "GET", JOBS_PATH, accept="application/xml"))[0] == 406
        assert service.controller.open_tasks <= 2


async def test_the_same_post_twice_at_once_is_one_job() -> None:
    async with cluster(2) as (_, service, client):
        body = {"metadata": {}, "spec": {**JOB["spec"], "clientToken": "t-1"}}
        answers = await asyncio.gather(*(told(service, "POST", JOBS_PATH, body) for _ in range(10)))
        assert sorted(status for status, _ in answers) == [200] * 9 + [201]
        assert len({job["metadata"]["uid"] for _, job in answers}) == 1
        named = await asyncio.gather(*(told(service, "POST", JOBS_PATH, JOB) for _ in range(10)))
        assert sorted(status for status, _ in named) == [201] + [409] * 9
        assert len(await client.list_jobs("climate")) == 2
        other = {"metadata": {}, "spec": {**body["spec"], "cores": 2}}
        status, conflict = await told(service, "POST", JOBS_PATH, other)
        assert (status, conflict["reason"]) == (409, "Conflict")
        assert "cores" in conflict["message"]


async def test_only_unschedulable_of_a_machine_can_be_changed() -> None:
    async with cluster(2) as (_, service, client):
        machine = await client.set_unschedulable("n0", unschedulable=True)
        assert machine.status is not None
        assert (machine.spec.unschedulable, machine.status.state) == (True, "Draining")
        with pytest.raises(ApiError) as error:
            await client.patch(MACHINES, None, "n0", {"spec": {"cores": 5, "rack": "x"}})
        assert {cause.field for cause in error.value.causes} == {"spec.cores", "spec.rack"}
        body = await client.read(MACHINES, None, "n0")
        body["spec"]["unschedulable"] = False
        status, replaced = await told(service, "PUT", f"{BASE}/machines/n0", body)
        assert (status, replaced["status"]["state"]) == (200, "Ready")


async def test_a_watch_tells_all_and_resumes_from_any_revision() -> None:
    async with cluster() as (_, service, client):
        job = await client.create(JOBS, "climate", JOB)
        first = job["metadata"]["resourceVersion"]
        await until(lambda: service.store.get(JOBS, ("climate", "a")).body["status"]["phase"] == "Active")

        async def lines(query: str) -> list[Any]:
            connection = await HttpConnection.open("127.0.0.1", service.http.port)
            _, headers, pieces = await connection.stream(
                "GET", f"{BASE}/jobs?watch=1&timeoutSeconds=1&{query}"
            )
            assert headers["transfer-encoding"] == "chunked"
            return [json.loads(line) for line in b"".join([p async for p in pieces]).splitlines()]

        whole, resumed, fresh, streamed, old = await asyncio.gather(
            lines(f"resourceVersion={first}"),
            lines(f"resourceVersion={int(first) + 1}&allowWatchBookmarks=true"),
            lines(""),
            lines("sendInitialEvents=true&allowWatchBookmarks=true&resourceVersionMatch=NotOlderThan"),
            lines("resourceVersion=5"),
        )
        changes = [event for event in whole if event["type"] == "MODIFIED"]
        assert changes and len(changes) == len(whole)
        states = [event["object"]["status"]["tasks"][0]["state"] for event in changes]
        assert states[-1] == "Running"
        assert [event["type"] for event in fresh] == ["ADDED"]
        assert resumed[-1]["type"] == "BOOKMARK"
        assert streamed[1]["object"]["metadata"]["annotations"] == {"k8s.io/initial-events-end": "true"}
        assert [(e["type"], e["object"]["code"], e["object"]["reason"]) for e in old] == [
            ("ERROR", 410, "Expired")
        ]


async def test_a_stock_client_library_of_the_api_works_unchanged() -> None:
    """The Kubernetes project's own Python client, with its custom-object calls."""
    async with cluster() as (_, service, _client):
        configuration = stock.Configuration()
        configuration.host = service.url
        where: dict[str, Any] = {
            "group": "kelpfront.dev",
            "version": "v1",
            "plural": "jobs",
            "namespace": "climate",
        }

        def use() -> list[tuple[str, str]]:
            with stock.ApiClient(configuration) as connection:
                api = stock.CustomObjectsApi(connection)
                made = api.create_namespaced_custom_object(body=JOB, **where)
                api.create_namespaced_custom_object(
                    body={**JOB, "metadata": {"generateName": "gen-"}}, **where
                )
                assert api.get_namespaced_custom_object(name="a", **where)["spec"]["class"] == "web"
                api.patch_namespaced_custom_object(
                    name="a", body={"metadata": {"labels": {"team": "x"}}}, **where
                )
                listed = api.list_namespaced_custom_object(label_selector="team=x", limit=1, **where)
                assert [item["metadata"]["name"] for item in listed["items"]] == ["a"]
                assert len(api.list_cluster_custom_object("kelpfront.dev", "v1", "machines")["items"]) == 4
                events, deleted = [], False
                watcher = stock_watch.Watch()
                for event in watcher.stream(
                    api.list_namespaced_custom_object,
                    resource_version=made["metadata"]["resourceVersion"],
                    field_selector="metadata.name=a",
                    timeout_seconds=20,
                    **where,
                ):
                    state = event["object"]["status"]["tasks"][0]["state"]
                    events.append((event["type"], state))
                    if state == "Running" and event["type"] == "MODIFIED" and not deleted:
                        deleted = True
                        api.delete_namespaced_custom_object(name="a", **where)
                    if event["type"] == "DELETED":
                        watcher.stop()
                with pytest.raises(stock.ApiException) as missing:
                    api.get_namespaced_custom_object(name="a", **where)
                assert missing.value.status == 404
                return events

        events = await asyncio.to_thread(use)
        assert events[-1][0] == "DELETED"
        assert ("MODIFIED", "Running") in events


async def test_the_client_says_whether_a_request_may_have_arrived() -> None:
    async with cluster(1) as (_, service, client):
        url = service.url
        await client.submit("climate", spec())
        await service.close()
        with pytest.raises(ServerUnreachableError) as error:
            await Client(url).submit("climate", spec())
        assert not error.value.may_have_arrived
    with pytest.raises(ValueError, match="is not http"):
        Client("ftp://x")


async def test_a_placer_that_is_full_says_when_to_come_back() -> None:
    async with cluster(1, "limits.open_tasks=2") as (_, service, client):
        await client.submit("climate", spec(count=2, cores=1000.0))
        with pytest.raises(ApiError) as full:
            await client.submit("climate", spec())
        assert (full.value.code, full.value.reason, full.value.retry_after_s) == (429, "TooManyRequests", 1)
        reply = await call(service, "POST", JOBS_PATH, JOB)
        assert reply.headers["retry-after"] == "1"
