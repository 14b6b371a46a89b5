"""What a Bindings stream is to send, without sockets."""

from __future__ import annotations

from typing import Any

import pytest

from kelpfront.api.errors import ApiError
from kelpfront.fronts.grpc.binding_session import MAX_CREDITS, MAX_REJECTIONS, BindingSession
from kelpfront.rpc.limits import MAX_STREAM_JOBS


def session_job(state: str, answer: str = "", attempts: int = 1, end: str = "") -> dict[str, Any]:
    attempt_records = [
        {"attempt": n, "machine": f"n{n}", "sentAt": "", "end": "refused"} for n in range(attempts)
    ]
    if attempt_records:
        attempt_records[-1]["end"] = end
    task = {"index": 0, "uid": "u-0", "state": state, "attempts": attempt_records}
    return {
        "metadata": {"name": "j", "uid": "u"},
        "status": {"tasks": [task | ({"answer": answer} if answer else {})]},
    }


def kinds(session: BindingSession, limit: int = 100) -> list[str | None]:
    return [event.WhichOneof("event") for event in session.next_events(limit)]


def test_a_session_sends_every_event_once_however_late_it_is_read() -> None:
    session = BindingSession(answers_only=False)
    session.record_submission("r", session_job("Pending", attempts=0), created=True)
    for attempts in (1, 2, 3):
        session.record_change("r", session_job("Placing", attempts=attempts))
    session.record_change("r", session_job("Ended", "Placed", attempts=3, end="ended"))
    assert kinds(session) == []
    session.grant_credits(2)
    assert kinds(session) == ["accepted", "offered"]
    session.grant_credits(100)
    sent = kinds(session)
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
    assert kinds(session) == []


def test_a_session_for_answers_only_sends_no_offers() -> None:
    session = BindingSession(answers_only=True)
    session.grant_credits(100)
    session.record_submission("r", session_job("Refused", "Refused", attempts=4, end="refused"), created=True)
    assert kinds(session) == ["accepted", "refused"]
    assert not session.active_refs


def test_jobs_and_credits_of_a_session_are_limited() -> None:
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


def test_unread_rejections_are_limited() -> None:
    session = BindingSession(answers_only=False)
    for number in range(MAX_REJECTIONS):
        session.record_rejection(f"r{number}", ApiError(422, "x"))
    with pytest.raises(ApiError, match="rejections wait"):
        session.record_rejection("more", ApiError(422, "x"))
    session.grant_credits(1)
    assert kinds(session) == ["rejected"]
    assert not session.is_drained


def test_a_second_submission_by_a_ref_in_use_is_rejected_and_the_first_continues() -> None:
    session = BindingSession(answers_only=False)
    session.grant_credits(100)
    session.record_submission("r", session_job("Pending", attempts=0), created=True)
    for _ in range(3):
        session.record_rejection("r", ApiError(409, "x", reason="AlreadyExists"))
    sent = sorted(str(kind) for kind in kinds(session))
    assert sent == ["accepted", "rejected", "rejected", "rejected"]
    session.record_change("r", session_job("Running", "Placed"))
    assert kinds(session) == ["offered", "bound"]
