"""Tests watches of the REST API with plain HTTP and with the Kubernetes client library for Python."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from clusters import cluster
from kubernetes import client as kubernetes_client
from kubernetes import watch as kubernetes_watch
from rest_calls import BASE, JOB
from waiting import until

from kelpfront.api.meta import JOBS
from kelpfront.http.client import HttpConnection


async def test_a_watch_sends_every_change_and_resumes_from_any_revision() -> None:
    async with cluster() as (_, service, client):
        job = await client.create(JOBS, "climate", JOB)
        first = job["metadata"]["resourceVersion"]
        await until(lambda: service.store.get(JOBS, ("climate", "a")).body["status"]["phase"] == "Active")

        async def read_events(query: str) -> list[Any]:
            connection = await HttpConnection.open("127.0.0.1", service.http.port)
            _, headers, chunks = await connection.stream(
                "GET", f"{BASE}/jobs?watch=1&timeoutSeconds=1&{query}"
            )
            assert headers["transfer-encoding"] == "chunked"
            return [json.loads(line) for line in b"".join([chunk async for chunk in chunks]).splitlines()]

        all_changes, resumed, without_revision, with_initial_events, expired = await asyncio.gather(
            read_events(f"resourceVersion={first}"),
            read_events(f"resourceVersion={int(first) + 1}&allowWatchBookmarks=true"),
            read_events(""),
            read_events("sendInitialEvents=true&allowWatchBookmarks=true&resourceVersionMatch=NotOlderThan"),
            read_events("resourceVersion=5"),
        )
        changes = [event for event in all_changes if event["type"] == "MODIFIED"]
        assert changes
        assert len(changes) == len(all_changes)
        states = [event["object"]["status"]["tasks"][0]["state"] for event in changes]
        assert states[-1] == "Running"
        assert [event["type"] for event in without_revision] == ["ADDED"]
        assert resumed[-1]["type"] == "BOOKMARK"
        assert with_initial_events[1]["object"]["metadata"]["annotations"] == {
            "k8s.io/initial-events-end": "true"
        }
        assert [(event["type"], event["object"]["code"], event["object"]["reason"]) for event in expired] == [
            ("ERROR", 410, "Expired")
        ]


async def test_the_kubernetes_client_library_works_unchanged() -> None:
    """Uses the custom-object calls of the unmodified Kubernetes client for Python."""
    async with cluster() as (_, service, _client):
        configuration = kubernetes_client.Configuration()
        configuration.host = service.url
        job_resource: dict[str, Any] = {
            "group": "kelpfront.dev",
            "version": "v1",
            "plural": "jobs",
            "namespace": "climate",
        }

        def exercise_api() -> list[tuple[str, str]]:
            with kubernetes_client.ApiClient(configuration) as connection:
                api = kubernetes_client.CustomObjectsApi(connection)
                created = api.create_namespaced_custom_object(body=JOB, **job_resource)
                api.create_namespaced_custom_object(
                    body={**JOB, "metadata": {"generateName": "gen-"}}, **job_resource
                )
                assert api.get_namespaced_custom_object(name="a", **job_resource)["spec"]["class"] == "web"
                api.patch_namespaced_custom_object(
                    name="a", body={"metadata": {"labels": {"team": "x"}}}, **job_resource
                )
                listed = api.list_namespaced_custom_object(label_selector="team=x", limit=1, **job_resource)
                assert [item["metadata"]["name"] for item in listed["items"]] == ["a"]
                assert len(api.list_cluster_custom_object("kelpfront.dev", "v1", "machines")["items"]) == 4
                events, deleted = [], False
                watcher = kubernetes_watch.Watch()
                for event in watcher.stream(
                    api.list_namespaced_custom_object,
                    resource_version=created["metadata"]["resourceVersion"],
                    field_selector="metadata.name=a",
                    timeout_seconds=20,
                    **job_resource,
                ):
                    state = event["object"]["status"]["tasks"][0]["state"]
                    events.append((event["type"], state))
                    if state == "Running" and event["type"] == "MODIFIED" and not deleted:
                        deleted = True
                        api.delete_namespaced_custom_object(name="a", **job_resource)
                    if event["type"] == "DELETED":
                        watcher.stop()
                with pytest.raises(kubernetes_client.ApiException) as missing:
                    api.get_namespaced_custom_object(name="a", **job_resource)
                assert missing.value.status == 404
                return events

        events = await asyncio.to_thread(exercise_api)
        assert events[-1][0] == "DELETED"
        assert ("MODIFIED", "Running") in events
