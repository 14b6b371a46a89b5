"""Machine protocol messages are the same after conversion to gRPC messages and back."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from machines import offer

from kelpfront.machine import messages as m
from kelpfront.machine.grpc_conversion import (
    UnknownValueError,
    answer_message,
    offer_message,
    read_answer,
    read_offer,
    read_stream_message,
    stream_message,
)
from kelpfront.v1 import node_pb2 as pb

LOAD = m.LoadReport(1.0, 2.0, 3.0, 4.0, 5, 0.5)


RUN = m.Command(("sh", "-c", "x"), {"A": "b"}, "/tmp", 500.0)


@given(
    st.sampled_from(["safe", "keyed", "unsafe"]),
    st.sampled_from(["none", "machine", "cell", "zone", "all"]),
    st.text(max_size=5),
    st.floats(0, 1e15),
    st.sampled_from([None, RUN]),
)
@settings(derandomize=True)
def test_offers_survive_the_conversion(
    effect: Any, group: Any, key: str, not_after: float, run: m.Command | None
) -> None:
    sent = offer("t1", 3, effect=effect, group=group, key=key, not_after=not_after, run=run)
    wire = pb.OfferTask.FromString(offer_message(sent).SerializeToString())
    assert read_offer(wire) == sent


@pytest.mark.parametrize(
    "message",
    [
        m.Hello("boot", 5.0, "small", 500.0, resumed=True, next_seq=1 << 50),
        m.Snapshot(
            7,
            (m.TaskReport(offer("t"), "life", "ended", "sent-away", 3, ran=False, cpu_s=1.5, message="why"),),
        ),
        m.Snapshot(7, (m.TaskReport(offer("t"), "life", "running"),)),
        m.Heartbeat("draining", LOAD),
        m.Taken(9, "t", 1, running=True),
        m.Gone(9, "t", 1, "pushed-out", ran=True, exit_code=None, message="text", cpu_s=None),
        m.Gone(9, "t", 1, "ended", ran=True, exit_code=0, message="", cpu_s=0.0),
        m.Note("t", 1, "service", 0.5),
    ],
)
def test_stream_messages_survive_the_conversion(message: m.StreamMessage) -> None:
    wire = pb.NodeMessage.FromString(stream_message(message).SerializeToString())
    assert read_stream_message(wire) == message


@pytest.mark.parametrize("kind", ["running", "accepted", "refused", "error"])
def test_answers_survive_the_conversion(kind: Any) -> None:
    answer = m.Answer(kind, "NO_CORES", "text", LOAD if kind == "refused" else None)
    assert read_answer(answer_message("t", 1, answer).answer) == answer


def test_unknown_values_are_rejected_ignored_or_read_as_errors() -> None:
    later = pb.OfferTask.FromString(offer_message(offer("t")).SerializeToString() + b"\x40\x63")  # effect 99
    with pytest.raises(UnknownValueError, match="effect"):
        read_offer(later)
    unknown = pb.OfferAnswer.FromString(b"\x18\x63")  # kind 99 does not prove whether the task ran
    assert read_answer(unknown).answer == "error"
    assert read_stream_message(pb.NodeMessage.FromString(b"\xfa\x07\x00")) is None
    with pytest.raises(UnknownValueError, match="cause"):
        read_stream_message(pb.NodeMessage(gone=pb.Gone(cause="melted")))
