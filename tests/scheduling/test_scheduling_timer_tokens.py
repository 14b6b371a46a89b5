"""Timer tokens: their values are part of the simulator's wire protocol."""

from __future__ import annotations

import pytest

from kelpfront.scheduling.timer_tokens import TimerKind, TimerToken, decode_token, encode_token


@pytest.mark.parametrize(
    ("kind", "task", "token"),
    [
        (TimerKind.RETRY_WAITING, 0, 0),
        (TimerKind.POLL_ENDPOINT_LIST, 0, 1),
        (TimerKind.TASK_DEADLINE, 5, 22),
        (TimerKind.TASK_DEADLINE, (1 << 62) - 1, (1 << 64) - 2),
        (TimerKind.HEALTH_CHECK_SCAN, 0, 3),
    ],
)
def test_tokens_have_their_wire_values(kind: TimerKind, task: int, token: int) -> None:
    assert encode_token(kind, task) == token
    assert type(encode_token(kind, task)) is int
    assert decode_token(token) == TimerToken(kind, task)
