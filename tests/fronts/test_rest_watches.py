"""Watches of the REST API, by hand and by the Kubernetes project's own client."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from clusters import cluster
from kubernetes import client as stock
from kubernetes import watch as stock_watch
from rest_calls import BASE, JOB
from waiting import until

from kelpfront.api.meta import JOBS
from kelpfront.http.client import HttpConnection


async def test_a_watch_sends_every_change_and_resumes_from_any_revision() -> None:
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

        complete, resumed, fresh, streamed, old = await asyncio.gather(
            lines(f"resourceVersion={first}"),
            lines(f"resourceVersion={int(first) + 1}&allowWatchBookmarks=true"),
            lines(""),
            lines("sendInitialEvents=true&allowWatchBookmarks=true&resourceVersionMatch=NotOlderThan"),
            lines("resourceVersion=5"),
        )
        changes = [event for event in complete if event["type"] == "MODIFIED"]
        assert changes
        assert len(changes) == len(complete)
        states = [event["object"]["status"]["tasks"][0]["state"] for event in changes]
        assert states[-1] == "Running"
        assert [event["type"] for event in fresh] == ["ADDED"]
        assert resumed[-1]["type"] == "BOOKMARK"
        assert streamed[1]["object"]["metadata"]["annotations"] == {"k8s.io/initial-events-end": "true"}
        assert [(e["type"], e["object"]["code"], e["object"]["reason"]) for e in old] == [
            ("ERROR", 410, "Expired")
        ]


async def test_the_kubernetes_client_library_works_unchanged() -> None:
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
