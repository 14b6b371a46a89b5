"""Memory that open requests use: by the bytes of their content, within a share of the placer's limit."""

from __future__ import annotations

import json
import tracemalloc

from core_stage import CoreFixture

from kelpfront.lab.platform import CALL, Json, line, offer
from kelpfront.platform.limits import Limit
from kelpfront.platform.messages import MAX_LINE_BYTES, Cause, OfferContent
from kelpfront.platform.request_memory import RequestMemory
from kelpfront.platform.requests import max_request_bytes

MEMORY_MB = 192
BAD_CLIENTS, REQUESTS_PER_CLIENT = 5, 700
WIDE = "\N{GRINNING FACE}"  # a text with it uses four bytes for each character


def limits(memory_mb: float) -> Json:
    return {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}


def largest_offer(call: str) -> bytes:
    """Return a request of exactly the size that a message may have."""
    message = json.loads(offer(call, desc=WIDE))
    used = len(json.dumps(message, ensure_ascii=False).encode()) + 1
    message["desc"] += "x" * (MAX_LINE_BYTES - used)
    return json.dumps(message, ensure_ascii=False).encode() + b"\n"


def test_hundreds_of_large_requests_of_a_few_clients_stay_within_the_memory_limit() -> None:
    """Guards against a placer killed for memory: descriptions of 16 KiB took 64 KiB each, uncounted."""
    stage = CoreFixture(limits=limits(MEMORY_MB))
    tracemalloc.start()
    try:
        for client in range(2, 2 + BAD_CLIENTS):
            stage.core.sessions.open(stage.now, client, "127.0.0.6")
            for number in range(REQUESTS_PER_CLIENT):
                stage.client(largest_offer(f"{client:08x}{number:08x}"), conn=client)
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    share_bytes = max_request_bytes(MEMORY_MB)
    assert stage.core.requests.used_bytes <= share_bytes
    assert used_bytes < 1.5 * share_bytes  # the messages that this test has collected are part of it
    stage.client(offer())
    assert not [message for connection, message in stage.sent_to_clients if connection == 1]


def test_a_request_past_the_memory_share_is_rejected_as_congestion() -> None:
    """Guards against a client that uses up the memory of all requests."""
    stage = CoreFixture(limits=limits(2))
    stage.core.sessions.open(stage.now, 2, "127.0.0.6")
    for number in range(40):
        stage.client(largest_offer(f"{number:016x}"))
    rejected = [message["why"] for _, message in stage.sent_to_clients]
    assert rejected
    assert set(rejected) == {Cause.CONGESTION}
    assert stage.core.limits.counts[Limit.REQUEST_MEMORY] == len(rejected)
    stage.client(offer(), conn=2)
    assert stage.core.requests.get(CALL) is not None
    assert [connection for connection, _ in stage.sent_to_clients] == [1] * len(rejected)


def test_an_accepted_task_keeps_no_content_and_its_end_frees_all_of_its_memory() -> None:
    """Guards against thousands of running tasks with descriptions that nobody needs any more."""
    stage = CoreFixture()
    stage.place(desc="x" * 15_000)
    request = stage.call()
    assert request.spec.content == OfferContent()
    assert stage.core.requests.used_bytes == request.memory_bytes < 15_000
    assert request.attempt is not None
    stage.machine(request.attempt.machine, "end", why=16)
    assert stage.core.requests.used_bytes == 0


def test_the_timer_of_a_rejected_attempt_keeps_no_content() -> None:
    """Guards against descriptions that stay in memory until the time-out of an attempt that has ended."""
    stage = CoreFixture()
    request = stage.call_after(largest_offer(CALL))
    stage.client(line("end", why=16))
    assert not len(stage.core.requests)
    assert request.spec.encoded_content == b""
    assert stage.core.requests.used_bytes == 0


def test_a_connection_gets_as_much_memory_as_is_still_free() -> None:
    """Guards against a few clients that leave no memory for the others."""
    memory = RequestMemory(1_200)
    for connection in range(1, 6):
        while memory.has_room(connection, 10):
            memory.reserve(connection, 10)
    assert memory.used_bytes < 1_200
    assert memory.has_room(6, 10)
    memory.release(1, 10)
    assert memory.used_bytes > 1_000
