"""Tests objects, lists and discovery of the REST API over real sockets."""

from __future__ import annotations

import asyncio
import json

import pytest
from clusters import cluster, spec
from rest_calls import BASE, JOB, JOBS_PATH, call, call_json

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import Job
from kelpfront.api.machines import Machine
from kelpfront.api.meta import MACHINES


async def test_discovery_health_and_openapi_documents_are_served() -> None:
    async with cluster(1) as (_, service, _client):
        for path, kind in (
            ("/api", "APIVersions"),
            ("/apis", "APIGroupList"),
            ("/apis/kelpfront.dev", "APIGroup"),
            (BASE, "APIResourceList"),
        ):
            status, body = await call_json(service, "GET", path)
            assert (status, body["kind"]) == (200, kind)
        resources = {r["name"]: r for r in (await call_json(service, "GET", BASE))[1]["resources"]}
        assert (resources["jobs"]["namespaced"], resources["machines"]["namespaced"]) == (True, False)
        assert (await call_json(service, "GET", "/version"))[1]["gitVersion"].startswith("v")
        assert [(await call(service, "GET", path)).body for path in ("/livez", "/readyz")] == [b"ok", b"ok"]
        assert (await call_json(service, "POST", "/version"))[0] == 405
        status, index = await call_json(service, "GET", "/openapi/v3")
        url = index["paths"]["apis/kelpfront.dev/v1"]["serverRelativeURL"]
        document = (await call_json(service, "GET", url))[1]
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
        referenced_schemas = {part.split('"')[0] for part in text.split('"$ref": "#/components/schemas/')[1:]}
        assert referenced_schemas <= set(document["components"]["schemas"])


async def test_objects_are_created_changed_and_deleted() -> None:
    async with cluster() as (_, service, _client):
        status, created = await call_json(service, "POST", JOBS_PATH, JOB)
        assert status == 201
        Job.model_validate(created)
        assert created["metadata"]["creationTimestamp"].endswith("Z")
        assert (await call_json(service, "POST", JOBS_PATH, JOB))[1]["reason"] == "AlreadyExists"
        labelled = {"metadata": {"labels": {"team": "x"}}}
        merge = "application/merge-patch+json"
        status, patched = await call_json(service, "PATCH", f"{JOBS_PATH}/a", labelled, kind=merge)
        assert (status, patched["metadata"].get("labels")) == (200, {"team": "x"}), patched
        assert patched["metadata"]["uid"] == created["metadata"]["uid"]
        stale = {**JOB, "metadata": {"name": "a", "resourceVersion": created["metadata"]["resourceVersion"]}}
        status, conflict = await call_json(service, "PUT", f"{JOBS_PATH}/a", stale)
        assert (status, conflict["reason"]) == (409, "Conflict")
        current = (await call_json(service, "GET", f"{JOBS_PATH}/a"))[1]
        current["spec"]["count"] = 3
        status, replaced = await call_json(service, "PUT", f"{JOBS_PATH}/a", current)
        assert (status, replaced["metadata"]["generation"]) == (200, 2)
        assert "labels" in replaced["metadata"]
        options = {"preconditions": {"uid": "another"}}
        assert (await call_json(service, "DELETE", f"{JOBS_PATH}/a", options))[0] == 409
        status, deleted_job = await call_json(service, "DELETE", f"{JOBS_PATH}/a")
        assert (status, deleted_job["status"], deleted_job["details"]["uid"]) == (
            200,
            "Success",
            created["metadata"]["uid"],
        )
        status, missing = await call_json(service, "GET", f"{JOBS_PATH}/a")
        assert (status, missing["reason"], missing["details"]["name"]) == (404, "NotFound", "a")
        for name in ("b", "c"):
            await call_json(
                service, "POST", JOBS_PATH, {**JOB, "metadata": {"name": name, "labels": {"t": name}}}
            )
        status, deleted = await call_json(service, "DELETE", f"{JOBS_PATH}?labelSelector=t%3Db")
        assert (status, deleted["details"]["deleted"]) == (200, 1)
        assert [j["metadata"]["name"] for j in (await call_json(service, "GET", JOBS_PATH))[1]["items"]] == [
            "c"
        ]


async def test_lists_are_paged_and_filtered() -> None:
    async with cluster(5) as (_, service, _client):
        for number in range(7):
            labels = {"half": "first" if number < 4 else "second"}
            path = f"{BASE}/namespaces/{'climate' if number % 2 else 'tickets'}/jobs"
            await call_json(
                service, "POST", path, {**JOB, "metadata": {"name": f"j{number}", "labels": labels}}
            )
        status, page = await call_json(service, "GET", f"{BASE}/jobs?limit=4")
        assert (status, len(page["items"]), page["metadata"]["remainingItemCount"]) == (200, 4, 3)
        token = page["metadata"]["continue"]
        last_page = (await call_json(service, "GET", f"{BASE}/jobs?limit=4&continue={token}"))[1]
        names = [item["metadata"]["name"] for item in page["items"] + last_page["items"]]
        assert names == ["j1", "j3", "j5", "j0", "j2", "j4", "j6"]
        assert last_page["metadata"]["resourceVersion"] == page["metadata"]["resourceVersion"]
        selected = (await call_json(service, "GET", f"{JOBS_PATH}?labelSelector=half%3Dfirst"))[1]["items"]
        assert [item["metadata"]["name"] for item in selected] == ["j1", "j3"]
        machines = (await call_json(service, "GET", f"{BASE}/machines?fieldSelector=spec.room%3Droom1"))[1][
            "items"
        ]
        assert [machine["metadata"]["name"] for machine in machines] == ["n1", "n3"]
        for machine in machines:
            Machine.model_validate(machine)


async def test_concurrent_posts_with_the_same_client_token_or_name_create_one_job() -> None:
    async with cluster(2) as (_, service, client):
        body = {"metadata": {}, "spec": {**JOB["spec"], "clientToken": "t-1"}}
        answers = await asyncio.gather(*(call_json(service, "POST", JOBS_PATH, body) for _ in range(10)))
        assert sorted(status for status, _ in answers) == [200] * 9 + [201]
        assert len({job["metadata"]["uid"] for _, job in answers}) == 1
        named = await asyncio.gather(*(call_json(service, "POST", JOBS_PATH, JOB) for _ in range(10)))
        assert sorted(status for status, _ in named) == [201] + [409] * 9
        assert len(await client.list_jobs("climate")) == 2
        changed_body = {"metadata": {}, "spec": {**body["spec"], "cores": 2}}
        status, conflict = await call_json(service, "POST", JOBS_PATH, changed_body)
        assert (status, conflict["reason"]) == (409, "Conflict")
        assert "cores" in conflict["message"]


async def test_only_unschedulable_of_a_machine_can_be_changed() -> None:
    async with cluster(2) as (_, service, client):
        machine = await client.set_unschedulable("n0", unschedulable=True)
        assert machine.status is not None
        assert (machine.spec.unschedulable, machine.status.state) == (True, "Draining")
        with pytest.raises(ApiError) as caught:
            await client.patch(MACHINES, None, "n0", {"spec": {"cores": 5, "rack": "x"}})
        assert {cause.field for cause in caught.value.causes} == {"spec.cores", "spec.rack"}
        body = await client.read(MACHINES, None, "n0")
        body["spec"]["unschedulable"] = False
        status, replaced = await call_json(service, "PUT", f"{BASE}/machines/n0", body)
        assert (status, replaced["status"]["state"]) == (200, "Ready")


async def test_a_full_placer_sends_retry_after() -> None:
    async with cluster(1, "limits.open_tasks=2") as (_, service, client):
        await client.submit("climate", spec(count=2, cores=1000.0))
        with pytest.raises(ApiError) as full:
            await client.submit("climate", spec())
        assert (full.value.code, full.value.reason, full.value.retry_after_s) == (429, "TooManyRequests", 1)
        reply = await call(service, "POST", JOBS_PATH, JOB)
        assert reply.headers["retry-after"] == "1"
