"""Requests with the id of an earlier one, whose client has left or whose task has ended."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from core_stage import CoreFixture

from kelpfront.lab.platform import CALL, line, offer
from kelpfront.platform import requests
from kelpfront.platform.intents import Offer
from kelpfront.platform.messages import Cause

End = Callable[[CoreFixture], None]


def leave(stage: CoreFixture) -> None:
    stage.core.on_client_disconnected(stage.now, 1)


def withdraw(stage: CoreFixture) -> None:
    stage.client(line("end", why=16))


def place_and_end(stage: CoreFixture) -> None:
    attempt = stage.call().attempt
    assert attempt is not None
    stage.machine(attempt.machine, "accept", desc="given")
    stage.machine(attempt.machine, "end", why=16)


def ask_again(stage: CoreFixture, cls: str) -> list[int | None]:
    """Send the same request on a new connection; return the causes of the answers."""
    stage.collect_intents()
    stage.core.sessions.open(stage.now, 2, "127.0.0.5")
    stage.client(offer(cls=cls), conn=2)
    return [message.get("why") for connection, message in stage.sent_to_clients if connection == 2]


@pytest.mark.parametrize("cls", ["keyed", "once"])
@pytest.mark.parametrize("end", [leave, withdraw, place_and_end])
def test_an_id_that_may_have_run_is_not_offered_again(cls: str, end: End) -> None:
    """Guards against a second execution when an id comes again after its client has left."""
    stage = CoreFixture()
    stage.client(offer(cls=cls))
    stage.send_offer()
    end(stage)
    for number in range(10, 60):  # requests that are never sent do not displace the record
        stage.core.sessions.open(stage.now, number, "127.0.0.6")
        stage.client(offer(f"{number:016x}"), conn=number)
        stage.core.on_client_disconnected(stage.now, number)
    assert ask_again(stage, cls) == [Cause.INVALID_FIELD]
    assert len([intent for intent in stage.intents_of(Offer) if intent.request_id == CALL]) == 1


@pytest.mark.parametrize("end", [leave, withdraw, place_and_end])
def test_an_id_of_an_idempotent_class_may_come_again(end: End) -> None:
    stage = CoreFixture()
    stage.client(offer())
    stage.send_offer()
    end(stage)
    assert ask_again(stage, "easy") == []
    assert len([intent for intent in stage.intents_of(Offer) if intent.request_id == CALL]) == 2


def test_an_id_that_no_machine_can_have_executed_may_come_again() -> None:
    stage = CoreFixture()
    stage.client(offer(cls="once"))
    leave(stage)
    assert ask_again(stage, "once") == []


def test_the_record_of_executed_ids_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(requests, "MAX_EXECUTED_IDS", 3)
    stage = CoreFixture()
    for number in range(5):
        call = f"{number:016x}"
        stage.machine(stage.place(call, cls="once"), "end", call, why=16)
    remembered = [stage.core.requests.was_possibly_executed(f"{number:016x}") for number in range(5)]
    assert remembered == [False, False, True, True, True]
