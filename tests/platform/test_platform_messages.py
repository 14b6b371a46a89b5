"""Decoding and encoding of protocol lines, without sockets."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from platforms import config

from kelpfront.lab.platform import CALL, DESC, line, member, offer
from kelpfront.platform import messages
from kelpfront.platform.messages import MAX_LINE_BYTES, InvalidMessageError, decode
from kelpfront.scheduling.events import AttemptOutcome, LoadReport, OutcomeReason


@given(st.binary(max_size=200))
def test_any_bytes_decode_to_a_message_or_raise_an_error_with_a_text(data: bytes) -> None:
    message, error = None, ""
    try:
        message = decode(data)
    except InvalidMessageError as raised:
        error = str(raised)
    assert error or (message is not None and len(message.call) == 16)


@pytest.mark.parametrize(
    "data",
    [
        b"{}",
        b"[]",
        b'{"op":"offer","call":"xyz","with":{}}',
        b'{"op":"offer","call":"00000000000000g1","with":{}}',
        b'{"op":1,"call":"00000000000000a1"}',
        b'{"op":"end","call":"00000000000000a1","why":"x"}',
        b'{"op":"end","call":"00000000000000a1","with":{"a":[1]}}',
        b"[" * 9000,
        b'{"op":"\xff","call":"00000000000000a1"}',
        b" " * (MAX_LINE_BYTES + 1),
    ],
)
def test_a_malformed_line_is_an_error(data: bytes) -> None:
    with pytest.raises(InvalidMessageError):
        decode(data)


@pytest.mark.parametrize(
    ("changes", "names"),
    [
        ({"cls": "none such"}, "class"),
        ({"left": "-5"}, "left"),
        ({"left": "0"}, "left"),
        ({"left": "1e300"}, "left"),
        ({"left": "soon"}, "left"),
        ({"left": "nan"}, "left"),
        ({"left": ""}, "left"),
        ({"extras": "cores:-1;memory:2;service:1"}, "cores"),
        ({"extras": "cores:1e9;memory:2;service:1"}, "cores"),
        ({"extras": "cores:inf;memory:2;service:1"}, "cores"),
        ({"extras": "cores:1;service:1"}, "memory"),
        ({"extras": "cores:1;memory:2;service:zz"}, "service"),
        ({"with_": {"key": ""}}, "key"),
        ({"cls": "keyed", "with_": {"idem": ""}}, "idem"),
        ({"desc": ""}, "desc"),
    ],
)
def test_an_invalid_request_is_an_error_that_names_the_field(changes: dict[str, Any], names: str) -> None:
    with pytest.raises(InvalidMessageError, match=names):
        messages.parse_request(decode(offer(**changes)), config(member("m-1")).settings)


def test_an_offer_contains_only_the_fields_for_machines() -> None:
    request = messages.parse_request(decode(offer(cls="keyed")), config(member("m-1")).settings)
    sent = json.loads(request.encode_offer("keyed", 812.4))
    assert sent == {
        "op": "offer",
        "call": CALL,
        "with": {"class": "keyed", "left": "812", "key": "7f3a9c21e0b4d655", "idem": "5c0f"},
        "desc": DESC,
    }


def test_load_reports_and_outcomes_of_machines() -> None:
    def end_message(**fields: Any) -> messages.Message:
        return decode(line("end", **fields))

    assert messages.parse_load(end_message(with_={"load": "x0:12;x1:40;queue:3;new:9;x1:nan"})) == LoadReport(
        12.0, 40.0, 3.0
    )
    assert messages.parse_load(end_message(with_={"load": ";:;x0:a"})) is None
    assert messages.parse_outcome(end_message(why=34, with_={"note": "nm"}), accepted=False) == (
        AttemptOutcome.REJECTED,
        OutcomeReason.NO_MEMORY,
    )
    assert messages.parse_outcome(end_message(why=47), accepted=False) == (
        AttemptOutcome.ERROR,
        OutcomeReason.UNSPECIFIED,
    )
    assert messages.parse_outcome(end_message(why=102), accepted=False) == (
        AttemptOutcome.NOT_SENT,
        OutcomeReason.UNSPECIFIED,
    )
    assert messages.parse_outcome(end_message(why=41), accepted=False)[0] is AttemptOutcome.RESET
    assert messages.parse_outcome(end_message(why=16), accepted=False) == (
        AttemptOutcome.RESET,
        OutcomeReason.NOT_HERE,
    )
    assert messages.parse_outcome(end_message(why=16), accepted=True)[0] is AttemptOutcome.ENDED
    assert messages.parse_outcome(end_message(why=41, with_={"note": "ev"}), accepted=True) == (
        AttemptOutcome.RESET,
        OutcomeReason.EVICTED,
    )
    assert messages.parse_outcome(end_message(why=31), accepted=True)[0] is AttemptOutcome.CANCELLED


def test_lines_are_assembled_wherever_the_data_is_split() -> None:
    splitter = messages.LineSplitter()
    assert splitter.feed(b"a\nbc") == [b"a"]
    assert splitter.has_partial_line
    assert splitter.feed(b"d\n\n") == [b"bcd", b""]
    assert not splitter.has_partial_line
    assert splitter.feed(b"x" * (MAX_LINE_BYTES - 1)) == []
    with pytest.raises(InvalidMessageError):
        splitter.feed(b"x")
