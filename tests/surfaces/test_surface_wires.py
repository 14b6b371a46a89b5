"""What is sent and read on each wire: the platform's lines, machines' messages, frames and datagrams.

`tests/platform/`, `tests/test_node.py`, `tests/test_wire.py` and `tests/test_liveness.py` hold
what is done about each, and what is refused. Golden files are rewritten as `surface_samples` says.
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
def test_wires_are_as_they_were(name: str) -> None:
    assert SAMPLES[name]() == golden(name)


def test_messages_of_machines_are_read_as_they_were_meant() -> None:
    rows = dict(line.split(b" ", 1) for line in golden("machine-messages.txt").splitlines())
    assert [name.decode() for name in rows] == list(MACHINE_MESSAGES)
    for name, (meant, decode) in MACHINE_MESSAGES.items():
        assert decode(rows[name.encode()]) == meant, name


def test_messages_of_machines_over_grpc_are_read_as_they_were_meant() -> None:
    for name, data in from_hex(golden("machine-grpc-messages.hex")).items():
        assert machine_grpc_read(name, data) == MACHINE_MESSAGES[name][0], name


async def test_a_placer_asks_the_coordinator_as_it_did() -> None:
    assert await coordinator_request() == b"GET /v2/stream?follow=41&wait_ms=0 HTTP/1.1\r\n"
