"""Tests invalid requests to the REST API, and requests to a placer that cannot be reached."""

from __future__ import annotations

import pytest
from clusters import cluster, spec
from rest_calls import BASE, JOB, JOBS_PATH, call, call_json

from kelpfront.client import Client, ServerUnreachableError


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
async def test_invalid_requests_are_rejected(method: str, path: str, status: int, reason: str) -> None:
    async with cluster(1) as (_, service, _client):
        actual, body = await call_json(service, method, path, JOB if method == "POST" else None)
        assert (actual, body["kind"], body["reason"], body["code"]) == (status, "Status", reason, status)


async def test_invalid_bodies_are_rejected() -> None:
    async with cluster(1) as (_, service, _client):
        status, body = await call_json(
            service, "POST", JOBS_PATH, {"spec": {"class": "web", "cores": "many", "x": 1}}
        )
        assert (status, body["reason"]) == (422, "Invalid")
        assert {cause["field"] for cause in body["details"]["causes"]} == {
            "spec.service",
            "spec.cores",
            "spec.memory",
            "spec.x",
        }
        status, body = await call_json(
            service, "POST", JOBS_PATH, {**JOB, "spec": {**JOB["spec"], "class": "none"}}
        )
        assert body["details"]["causes"][0]["message"] == "'none' is not one of web, ingest, blend"
        for raw_body, kind, expected_status in (
            (b'{"spec": ', "application/json", 400),
            (b"[1]", "application/json", 400),
            (b"a: b", "application/yaml", 415),
            (b"x" * (1 << 21), "application/json", 413),
        ):
            status, body = await call_json(service, "POST", JOBS_PATH, raw_body, kind=kind)
            assert (status, body["kind"]) == (expected_status, "Status")
        await call_json(service, "POST", JOBS_PATH, JOB)
        for kind in ("application/json-patch+json", "application/apply-patch+yaml", "application/json"):
            assert (await call_json(service, "PATCH", f"{JOBS_PATH}/a", {}, kind=kind))[0] == 415
        merge = "application/merge-patch+json"
        for patch, code in (
            ([], 400),
            ({"metadata": None}, 422),
            ({"metadata": {"name": "b"}}, 422),
            ({"spec": {"cores": 5}}, 422),
            ({"spec": None}, 422),
            ({"metadata": {"resourceVersion": "5"}}, 409),
        ):
            assert (await call_json(service, "PATCH", f"{JOBS_PATH}/a", patch, kind=merge))[0] == code, patch
        reply = await call(
            service, "POST", f"{JOBS_PATH}?fieldValidation=Warn", {**JOB, "odd": 1, "metadata": {}}
        )
        assert (reply.status, reply.headers["warning"]) == (201, '299 - "unknown field "odd""')
        assert (await call_json(service, "GET", JOBS_PATH, accept="application/xml"))[0] == 406
        assert service.controller.open_tasks <= 2


async def test_the_client_reports_whether_a_request_may_have_arrived() -> None:
    async with cluster(1) as (_, service, client):
        url = service.url
        await client.submit("climate", spec())
        await service.close()
        with pytest.raises(ServerUnreachableError) as caught:
            await Client(url).submit("climate", spec())
        assert not caught.value.may_have_arrived
    with pytest.raises(ValueError, match="expected a URL of the form http://HOST:PORT, got 'ftp://x'"):
        Client("ftp://x")
