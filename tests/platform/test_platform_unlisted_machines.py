"""Tasks that clients hand over on machines that the endpoint list never names."""

from __future__ import annotations

import gc

from core_stage import CoreFixture

from kelpfront.lab.platform import offer
from kelpfront.platform.timeouts import MAX_UNLISTED_MACHINE_TIMEOUT_MS
from kelpfront.scheduling.model import Attempt

ROUNDS, TASKS_PER_ROUND = 20, 50


def live_attempts() -> int:
    gc.collect()
    return sum(isinstance(item, Attempt) for item in gc.get_objects())


def test_tasks_handed_over_under_ever_new_machine_names_leave_nothing_behind() -> None:
    """Guards against memory that grows without end: the attempts of such tasks were kept after their end."""
    stage = CoreFixture()
    before = live_attempts()
    for number in range(ROUNDS * TASKS_PER_ROUND):
        extras = f"cores:1;memory:1;service:1;at:unknown-{number}"
        stage.client(offer(f"{number:016x}", extras=extras))
        if number % TASKS_PER_ROUND == TASKS_PER_ROUND - 1:
            stage.advance(MAX_UNLISTED_MACHINE_TIMEOUT_MS + 1_000.0)
    assert len(stage.sent_to_clients) == ROUNDS * TASKS_PER_ROUND
    assert not len(stage.core.requests)
    assert live_attempts() == before
