"""Tests which events a Bindings stream sends. No sockets."""

from __future__ import annotations

from typing import Any

import pytest

from kelpfront.api.errors import ApiError
from kelpfront.fronts.grpc.binding_session import MAX_CREDITS, MAX_REJECTIONS, BindingSession
from kelpfront.rpc.limits import MAX_STREAM_JOBS


def session_job(state: str, answer: str = "", attempts: int = 1, end: str = "") -> dict[str, Any]:
    attempt_records = [
        {"attempt": number, "machine": f"n{number}", "sentAt": "", "end": "refused"}
        for number in range(attempts)
    ]
    if attempt_records:
        attempt_records[-1]["end"] = end
    task = {"index": 0, "uid": "u-0", "state": state, "attempts": attempt_records}
    return {
        "metadata": {"name": "j", "uid": "u"},
        "status": {"tasks": [task | ({"answer": answer} if answer else {})]},
    }


def next_event_names(session: BindingSession, limit: int = 100) -> list[str | None]:
    return [event.WhichOneof("event") for event in session.next_events(limit)]


def test_a_session_sends_every_event_once_even_if_it_is_read_late() -> None:
    session = BindingSession(answers_only=False)
    session.record_submission("r", session_job("Pending", attempts=0), created=True)
    for attempts in (1, 2, 3):
        session.record_change("r", session_job("Placing", attempts=attempts))
    session.record_change("r", session_job("Ended", "Placed", attempts=3, end="ended"))
    assert next_event_names(session) == []
    session.grant_credits(2)
    assert next_event_names(session) == ["accepted", "offered"]
    session.grant_credits(100)
    sent = next_event_names(session)
    assert sent == ["offer_ended", "offered", "offer_ended", "offered", "bound", "over"] or sent == [
        "offer_ended",
        "offered",
        "offer_ended",
        "offered",
        "offer_ended",
        "bound",
        "over",
    ]
    assert not session.active_refs
    assert next_event_names(session) == []


def test_a_session_for_answers_only_sends_no_offers() -> None:
    session = BindingSession(answers_only=True)
    session.grant_credits(100)
    session.record_submission("r", session_job("Refused", "Refused", attempts=4, end="refused"), created=True)
    assert next_event_names(session) == ["accepted", "refused"]
    assert not session.active_refs


def test_the_number_of_jobs_and_credits_of_a_session_is_limited() -> None:
    session = BindingSession(answers_only=False)
    for number in range(MAX_STREAM_JOBS):
        session.check_ref(f"r{number}")
        session.record_submission(f"r{number}", session_job("Pending", attempts=0), created=True)
    with pytest.raises(ApiError, match="which is the most"):
        session.check_ref("more")
    with pytest.raises(ApiError, match="on this stream already"):
        session.check_ref("r1")
    for invalid in (0, -1, MAX_CREDITS + 1):
        with pytest.raises(ApiError, match="credits"):
            session.grant_credits(invalid)
    session.grant_credits(MAX_CREDITS)
    session.grant_credits(MAX_CREDITS)
    assert session.credits == MAX_CREDITS


def test_the_number_of_unread_rejections_is_limited() -> None:
    session = BindingSession(answers_only=False)
    for number in range(MAX_REJECTIONS):
        session.record_rejection(f"r{number}", ApiError(422, "x"))
    with pytest.raises(ApiError, match="rejections wait"):
        session.record_rejection("more", ApiError(422, "x"))
    session.grant_credits(1)
    assert next_event_names(session) == ["rejected"]
    assert not session.is_drained


def test_a_second_submission_by_a_ref_in_use_is_rejected_and_the_first_continues() -> None:
    session = BindingSession(answers_only=False)
    session.grant_credits(100)
    session.record_submission("r", session_job("Pending", attempts=0), created=True)
    for _ in range(3):
        session.record_rejection("r", ApiError(409, "x", reason="AlreadyExists"))
    sent = sorted(str(name) for name in next_event_names(session))
    assert sent == ["accepted", "rejected", "rejected", "rejected"]
    session.record_change("r", session_job("Running", "Placed"))
    assert next_event_names(session) == ["offered", "bound"]
