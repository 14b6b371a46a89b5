"""Placement requests in the core, without sockets: exactly one answer, attempts, limits."""

from __future__ import annotations

import math

import pytest
from core_stage import CoreFixture

from kelpfront.lab.platform import CALL, event, line, member, offer
from kelpfront.platform import messages, requests
from kelpfront.platform.intents import (
    AbandonAttempt,
    KeepConnected,
    Offer,
)
from kelpfront.platform.log_records import LimitReached
from kelpfront.platform.messages import Cause, decode, machine_id
from kelpfront.scheduling.events import AttemptOutcome


def test_a_request_is_offered_accepted_ended_and_removed() -> None:
    stage = CoreFixture()
    machine = stage.place()
    assert stage.sent_to_clients == [(1, {"op": "accept", "call": CALL, "with": {}, "desc": "given"})]
    assert stage.intents_of(KeepConnected)
    stage.machine(machine, "accept", desc="twice")
    stage.machine(machine, "end", why=16)
    stage.machine(machine, "end", why=16)
    assert [message["op"] for _, message in stage.sent_to_clients] == ["accept", "end"]
    assert not stage.core.sessions.is_in_use(1)
    assert not stage.core.requests


def test_an_answer_from_another_machine_or_before_the_offer_was_sent_is_ignored() -> None:
    stage = CoreFixture()
    stage.client(offer())
    sent = stage.intents_of(Offer)[-1]
    stage.machine(sent.machine, "accept", desc="early")
    other = ({machine_id("m-1"), machine_id("m-2")} - {sent.machine}).pop()
    stage.send_offer()
    stage.machine(other, "accept", desc="foreign")
    assert stage.sent_to_clients == []


def test_an_unanswered_attempt_is_abandoned_before_the_next_one_is_sent() -> None:
    stage = CoreFixture()
    stage.client(offer(left="1500"))
    stage.send_offer()
    stage.advance(1400)
    kinds = [type(intent) for intent in stage.intents]
    assert kinds[:3] == [Offer, AbandonAttempt, Offer]
    assert stage.intents[1].key.attempt_number == 0
    assert stage.intents[2].key.attempt_number == 1


def test_a_non_idempotent_task_whose_connection_broke_fails_at_once_and_is_not_rejected() -> None:
    stage = CoreFixture()
    stage.client(offer(cls="once"))
    sent = stage.send_offer()
    stage.core.on_attempt_failed(stage.now, sent.key, AttemptOutcome.RESET)
    stage.collect_intents()
    ((_, answer),) = stage.sent_to_clients
    assert answer["op"] == "end"
    assert answer["why"] not in messages.RETRYABLE_CAUSES
    assert len(stage.intents_of(Offer)) == 1


def test_a_non_idempotent_task_that_was_never_sent_goes_to_another_machine() -> None:
    stage = CoreFixture()
    stage.client(offer(cls="once"))
    sent = stage.intents_of(Offer)[-1]
    stage.core.on_attempt_failed(stage.now, sent.key, AttemptOutcome.UNREACHABLE)
    stage.collect_intents()
    assert len(stage.intents_of(Offer)) == 2
    assert not stage.sent_to_clients


def test_a_request_that_cannot_be_placed_is_answered_in_time_and_once() -> None:
    stage = CoreFixture(member("m-1", phase="Terminating"))
    stage.client(offer(left="900"))
    stage.advance(900)
    assert [(message["op"], message["why"]) for _, message in stage.sent_to_clients] == [
        ("end", Cause.CONGESTION)
    ]
    stage.advance(5000)
    assert len(stage.sent_to_clients) == 1


def test_no_offer_is_sent_to_a_machine_that_drains_after_the_decision() -> None:
    stage = CoreFixture()
    stage.client(offer(cls="once"))
    sent = stage.intents_of(Offer)[-1]
    name = next(m.name for m in stage.core.endpoints.machines.values() if m.id == sent.machine)
    stage.events({"index": 2, "updates": [event(2, member(name, phase="Terminating"))]})
    assert stage.core.encode_offer(stage.now, sent.key) is None
    stage.collect_intents()
    assert stage.intents_of(Offer)[-1].machine != sent.machine


def test_a_withdrawn_request_has_no_answer_and_its_machine_is_notified() -> None:
    stage = CoreFixture()
    stage.client(offer())
    sent = stage.send_offer()
    stage.client(line("end", why=16))
    assert stage.intents_of(AbandonAttempt)[0].machine == sent.machine
    stage.machine(sent.machine, "accept", desc="late")
    stage.client(line("end", why=16))
    assert [message["op"] for _, message in stage.sent_to_clients] == ["ended"]


def test_requests_withdrawn_in_the_same_read_are_never_sent() -> None:
    stage = CoreFixture()
    for number in range(100):
        call = f"{number:016x}"
        stage.core.on_client_message(stage.now, 1, decode(offer(call)))
        stage.core.on_client_message(stage.now, 1, decode(line("end", call, why=16)))
    stage.client(offer())
    assert [intent.request_id for intent in stage.intents_of(Offer)] == [CALL]
    assert not stage.sent_to_clients


def test_only_the_ids_of_ended_requests_are_kept() -> None:
    stage = CoreFixture()
    for number in range(300):
        call = f"{number:016x}"
        machine = stage.place(call)
        stage.machine(machine, "end", call, why=16)
    stage.advance(10_000)
    core = stage.core
    assert not core.requests
    assert not core.sessions.undelivered_count
    assert core.timers.next() == math.inf
    assert sum(core.requests.has_ended(f"{number:016x}") for number in range(300)) == 300
    assert not core.endpoints.machines[machine_id("m-1")].running


def test_requests_are_limited_in_total_and_per_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(requests, "MAX_REQUESTS", 3)
    monkeypatch.setattr(requests, "MAX_REQUESTS_PER_CONNECTION", 2)
    stage = CoreFixture()
    stage.core.sessions.open(stage.now, 2, "127.0.0.6")
    for number, conn in ((1, 1), (2, 1), (3, 1), (4, 2), (5, 2)):
        stage.client(offer(f"{number:016x}"), conn=conn)
    rejected = {message["call"][-1]: message["why"] for _, message in stage.sent_to_clients}
    assert rejected == {"3": Cause.CONGESTION, "5": Cause.CONGESTION}
    reached = [record for record in stage.core.log.drain() if isinstance(record, LimitReached)]
    assert reached == [LimitReached("requests_per_connection"), LimitReached("requests")]


def test_an_offer_decided_for_a_previous_incarnation_is_not_sent_to_the_next() -> None:
    """Guards against a cold machine that receives, beyond its share, an offer chosen for a warm one.

    The machine restarts between the decision and the write.
    """
    stage = CoreFixture(member("m-1"))
    stage.client(offer(left="3000"))
    (first_offer,) = [intent for intent in stage.intents if isinstance(intent, Offer)]
    stage.now += 10.0
    stage.events({"index": 2, "updates": [event(2, member("m-1", up_since_ms=stage.now - 1.0))]})
    assert stage.core.encode_offer(stage.now, first_offer.key) is None
    assert stage.core.counters.attempt_outcomes[AttemptOutcome.NOT_SENT] == 1
    stage.collect_intents()
    stage.client(offer("00000000000000a2"))  # later decisions take the restart into account
    assert all(
        i.request_id != "00000000000000a2" or stage.core.encode_offer(stage.now, i.key)
        for i in stage.intents
        if isinstance(i, Offer)
    )
