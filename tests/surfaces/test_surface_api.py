"""The APIs as clients see them: discovery, the OpenAPI document byte for byte, the descriptors of `proto/`.

`tools/protos.py --check` checks that `kelpfront/v1` matches `proto/`, and `tests/fronts` tests the calls.
`surface_samples` explains how to rewrite the golden files.
"""

from __future__ import annotations

import pytest
from clusters import cluster
from surface_golden import golden
from surface_samples import SAMPLES

from kelpfront.http.client import HttpConnection


@pytest.mark.parametrize("name", ["openapi.json", "discovery.json", "descriptors.txt"])
def test_api_documents_match_the_golden_files(name: str) -> None:
    assert SAMPLES[name]() == golden(name)


async def test_openapi_document_is_served_byte_for_byte() -> None:
    async with cluster(1) as (_, service, _client):
        connection = await HttpConnection.open("127.0.0.1", service.http.port)
        reply = await connection.request("GET", "/openapi/v3/apis/kelpfront.dev/v1")
        connection.close()
    assert (reply.status, reply.body) == (200, golden("openapi.json"))
