"""Invalid requests and messages of clients in the core, without sockets."""

from __future__ import annotations

import pytest
from core_stage import CoreFixture

from kelpfront.lab.platform import line, offer
from kelpfront.platform.intents import (
    AbandonAttempt,
    Offer,
)
from kelpfront.platform.log_records import MachineEjected
from kelpfront.platform.messages import Cause


def test_an_invalid_request_is_rejected_at_once_and_never_sent() -> None:
    stage = CoreFixture()
    assert not stage.client(offer(left="-1"))
    assert [message["op"] for _, message in stage.sent_to_clients] == ["end"]
    assert not stage.intents_of(Offer)


def test_a_request_with_the_id_of_an_open_one_on_another_connection_does_not_affect_it() -> None:
    stage = CoreFixture()
    stage.core.sessions.open(stage.now, 2, "127.0.0.66")
    stage.client(offer())
    sent = stage.send_offer()
    assert not stage.client(offer(desc="other"), conn=2)
    assert [(conn, message["op"]) for conn, message in stage.sent_to_clients] == [(2, "end")]
    stage.client(line("end", why=16), conn=2)
    stage.machine(sent.machine, "accept", desc="given")
    assert [(conn, message["op"]) for conn, message in stage.sent_to_clients][-1] == (1, "accept")


def test_two_requests_of_one_id_on_one_connection_are_rejected_once_and_nothing_runs() -> None:
    stage = CoreFixture()
    stage.client(offer())
    sent = stage.send_offer()
    assert not stage.client(offer(desc="other"))
    stage.machine(sent.machine, "accept", desc="late")
    assert [message["op"] for _, message in stage.sent_to_clients] == ["end"]
    assert stage.intents_of(AbandonAttempt)
    assert not stage.core.requests


def test_errors_on_requests_of_an_unknown_client_eject_no_machine() -> None:
    """Guards against ejecting healthy machines that return errors for requests which no check detects."""
    stage = CoreFixture()
    stage.core.sessions.open(stage.now, 2, "127.0.0.66")
    for conn, call in ((2, "00000000000000b1"), (2, "00000000000000b2"), (2, "00000000000000b3")):
        stage.client(offer(call, cls="once"), conn=conn)
        stage.machine(stage.send_offer(call).machine, "end", call, why=47)
    assert not stage.core.log
    stage.place()
    for number in range(0xC1, 0xC5):
        call = f"{number:016x}"
        stage.client(offer(call, cls="once"))
        if any(
            intent.request_id == call for intent in stage.intents_of(Offer)
        ):  # no offer is made after both machines are ejected
            stage.machine(stage.send_offer(call).machine, "end", call, why=47)
    assert any(
        isinstance(record, MachineEjected) and record.scope == "once" for record in stage.core.log.drain()
    )


def test_machines_that_normally_end_tasks_which_never_ran_are_not_ejected() -> None:
    """Guards against ejecting all machines because they end tasks normally within milliseconds."""
    stage = CoreFixture()
    for number in range(0xD1, 0xD6):
        call = f"{number:016x}"
        stage.client(offer(call, cls="once"))
        stage.machine(stage.send_offer(call).machine, "end", call, why=16)
    assert [message["why"] for _, message in stage.sent_to_clients] == [Cause.TEMPORARY_FAILURE] * 5
    assert not stage.core.log


@pytest.mark.parametrize("op", ["end", "info", "ringing", "nonsense", "redirect"])
def test_messages_on_unknown_requests_are_invalid_or_answered_with_an_error(op: str) -> None:
    stage = CoreFixture()
    is_valid = stage.client(line(op, "00000000000000ff", why=16))
    assert not is_valid or [message["why"] for _, message in stage.sent_to_clients] == [Cause.UNKNOWN_CALL]
