"""Helpers that send requests to the REST API of a placer, shared by tests of several packages."""

from __future__ import annotations

import json
from typing import Any

from kelpfront.http.client import HttpConnection, Reply
from kelpfront.service.placer import PlacerService

BASE = "/apis/kelpfront.dev/v1"
JOBS_PATH = f"{BASE}/namespaces/climate/jobs"
JOB: dict[str, Any] = {
    "metadata": {"name": "a"},
    "spec": {"class": "web", "service": "front", "cores": 1, "memory": 2},
}


async def call(
    service: PlacerService,
    method: str,
    path: str,
    body: Any = None,
    kind: str = "application/json",
    **headers: str,
) -> Reply:
    encoded_body = body if isinstance(body, bytes) else b"" if body is None else json.dumps(body).encode()
    connection = await HttpConnection.open("127.0.0.1", service.http.port)
    request_headers = (
        ("content-type", kind),
        *((name.replace("_", "-"), value) for name, value in headers.items()),
    )
    reply = await connection.request(method, path, encoded_body, request_headers)
    connection.close()
    return reply


async def call_json(
    service: PlacerService, method: str, path: str, body: Any = None, **more: Any
) -> tuple[int, Any]:
    reply = await call(service, method, path, body, **more)
    return reply.status, json.loads(reply.body)
