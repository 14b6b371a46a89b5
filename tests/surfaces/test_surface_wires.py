"""The encoding of each protocol: the platform's lines, machines' messages, frames and datagrams.

`tests/platform/`, `tests/machine/test_node.py`, `tests/scheduling/test_wire.py` and
`tests/failure_detection/test_digest.py` test how messages are handled and which are rejected.
`surface_samples` explains how to rewrite the golden files.
"""

from __future__ import annotations

import pytest
from surface_golden import from_hex, golden
from surface_machines import MACHINE_MESSAGES, machine_grpc_read
from surface_platform import coordinator_request
from surface_samples import SAMPLES

NAMES = [
    "platform-dialogue.txt",
    "platform-words-read.json",
    "machine-messages.txt",
    "machine-grpc-messages.hex",
    "simulator-batch.hex",
    "simulator-batch-read.json",
    "simulator-replies.hex",
    "datagrams.hex",
    "datagrams-read.json",
]


@pytest.mark.parametrize("name", NAMES)
def test_protocols_match_the_golden_files(name: str) -> None:
    assert SAMPLES[name]() == golden(name)


def test_machine_messages_decode_to_the_originals() -> None:
    rows = dict(line.split(b" ", 1) for line in golden("machine-messages.txt").splitlines())
    assert [name.decode() for name in rows] == list(MACHINE_MESSAGES)
    for name, (expected, decode) in MACHINE_MESSAGES.items():
        assert decode(rows[name.encode()]) == expected, name


def test_machine_messages_over_grpc_decode_to_the_originals() -> None:
    for name, data in from_hex(golden("machine-grpc-messages.hex")).items():
        assert machine_grpc_read(name, data) == MACHINE_MESSAGES[name][0], name


async def test_placer_requests_the_endpoint_list_from_the_coordinator() -> None:
    assert await coordinator_request() == b"GET /v2/stream?follow=41&wait_ms=0 HTTP/1.1\r\n"
