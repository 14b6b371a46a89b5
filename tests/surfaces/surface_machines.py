"""Samples of the messages between placers and machines, as JSON and over gRPC."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from surface_golden import BOOT, as_hex

from kelpfront.machine import grpc_conversion as machine_grpc
from kelpfront.machine import messages as machine
from kelpfront.v1 import node_pb2

_JOB = machine.JobRef("climate", "job-a", "uid-a", 2, 5, "token-1", {"tier": "web"})
_COMMAND = machine.Command(("sh", "-c", "exit 3"), {"LEVEL": "2"}, "/srv", 2_500.0)
OFFER = machine.Offer(
    "uid-a-2",
    1,
    _JOB,
    "ingest",
    "climate/front",
    1.5,
    2.25,
    "keyed",
    9e12,
    3,
    "small",
    "key-1",
    "zone",
    _COMMAND,
)
PLAIN_OFFER = machine.Offer(
    "uid-b-0",
    0,
    machine.JobRef("climate", "job-b", "uid-b", 0),
    "web",
    "climate/front",
    1.0,
    2.0,
    "safe",
    1e12,
)
_LOAD = machine.LoadReport(20.5, 40.25, 18.0, 39.0, 2, 0.75)
_REPORT = machine.TaskReport(OFFER, "life-1", "ended", "failed", 3, True, 0.25, "exit status 3")
_RUNNING = machine.TaskReport(PLAIN_OFFER, "life-1", "running")

MACHINE_MESSAGES: dict[str, tuple[Any, Callable[[bytes], Any]]] = {
    "offer": (OFFER, machine.decode_offer),
    "offer-plain": (PLAIN_OFFER, machine.decode_offer),
    "offer-request": (machine.OfferRequest("p0", "life-1", OFFER), machine.decode_offer_request),
    "answer": (machine.Answer("refused", machine.NO_CORES, "full", _LOAD), machine.decode_answer),
    "answer-no-memory": (machine.Answer("refused", machine.NO_MEMORY), machine.decode_answer),
    "answer-queue-full": (machine.Answer("refused", machine.QUEUE_FULL), machine.decode_answer),
    "answer-not-here": (machine.Answer("refused", machine.NOT_HERE), machine.decode_answer),
    "answer-running": (machine.Answer("running"), machine.decode_answer),
    "stop-request": (machine.StopRequest("p0", "uid-a-2", 1, "moved"), machine.decode_stop_request),
    "stop-reply": (machine.StopReply("stopping"), machine.decode_stop_reply),
    "load": (_LOAD, machine.decode_load),
    "load-plain": (machine.LoadReport(1.0, 2.0, 1.0, 2.0), machine.decode_load),
    "hello": (machine.Hello(BOOT, 1200.5, "small", 500.0, True, 12), machine.decode_stream_message),
    "snapshot": (machine.Snapshot(11, (_REPORT, _RUNNING)), machine.decode_stream_message),
    "heartbeat": (machine.Heartbeat("draining", _LOAD), machine.decode_stream_message),
    "taken": (machine.Taken(12, "uid-a-2", 1, True), machine.decode_stream_message),
    "gone": (
        machine.Gone(13, "uid-a-2", 1, "evicted", True, 143, "no memory", 1.5),
        machine.decode_stream_message,
    ),
    "gone-plain": (machine.Gone(14, "uid-b-0", 0, "lost", False), machine.decode_stream_message),
    "note": (machine.Note("uid-b-0", 0, "pressure", 0.5), machine.decode_stream_message),
}


def machine_messages() -> bytes:
    return b"".join(
        name.encode() + b" " + machine.encode(message) + b"\n"
        for name, (message, _) in MACHINE_MESSAGES.items()
    )


def machine_grpc_messages() -> bytes:
    """Return the offers, answers and stream messages of MACHINE_MESSAGES as they are encoded for gRPC."""
    sent: list[tuple[str, Any]] = [
        ("offer", machine_grpc.offer_message(OFFER)),
        ("offer-plain", machine_grpc.offer_message(PLAIN_OFFER)),
    ]
    for name, (message, _) in MACHINE_MESSAGES.items():
        if isinstance(message, machine.Answer):
            sent.append((name, machine_grpc.answer_message("uid-a-2", 1, message)))
        elif isinstance(message, machine.StreamMessage):
            sent.append((name, machine_grpc.stream_message(message)))
    return as_hex([(name, message.SerializeToString(deterministic=True)) for name, message in sent])


def machine_grpc_read(name: str, data: bytes) -> Any:
    """Decode a message from gRPC into the type that MACHINE_MESSAGES holds under its name."""
    if name.startswith("offer"):
        return machine_grpc.read_offer(node_pb2.OfferTask.FromString(data))
    message = node_pb2.NodeMessage.FromString(data)
    if name.startswith("answer"):
        return machine_grpc.read_answer(message.answer)
    return machine_grpc.read_stream_message(message)
