"""Tests that a machine's message counts only for the attempt that it is about."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import platforms
import pytest
from core_stage import NOW, CoreFixture
from platforms import PlacerFixture, expect_ops
from waiting import until

from kelpfront.lab.platform import CALL, Json, Machine, Peer, line, member, offer
from kelpfront.platform.attempt_matching import AttemptMatch, match_message
from kelpfront.platform.intents import RecoverReports
from kelpfront.platform.messages import decode
from kelpfront.platform.requests import Attempt

CURRENT, EARLIER, AMBIGUOUS = AttemptMatch.CURRENT, AttemptMatch.EARLIER, AttemptMatch.AMBIGUOUS
COPY_DELAY_S = 0.3
ACCEPT_DELAY_S = 0.1


@pytest.fixture
async def stage(tmp_path: Path) -> AsyncIterator[PlacerFixture]:
    made = PlacerFixture(tmp_path)
    yield made
    await made.stop()


def retry_on_the_same_machine_info() -> Json:
    """Return settings under which a task of class `once` may return to a machine that has rejected it."""
    info = platforms.info()
    info["FamilyInfo"]["Precedence"] = [0, 2, 2]
    return info


@pytest.mark.parametrize(
    ("accepted", "sent_number", "op", "why", "expected"),
    [
        (False, 1, "accept", 0, CURRENT),
        (False, 1, "end", 34, CURRENT),
        (False, 0, "accept", 0, EARLIER),
        (False, 0, "end", 34, EARLIER),
        (False, None, "end", 34, EARLIER),
        (True, 1, "end", 16, CURRENT),
        (True, None, "end", 16, CURRENT),
        (True, None, "info", 0, CURRENT),
        (True, 0, "accept", 0, EARLIER),
        (True, 0, "info", 0, EARLIER),
        (True, 0, "end", 34, AMBIGUOUS),
        (True, 0, "end", 16, AMBIGUOUS),
        (True, 0, "end", 31, EARLIER),
        (True, 1, "end", 31, EARLIER),
        (True, None, "end", 31, EARLIER),
    ],
)
def test_a_message_is_matched_to_one_attempt(
    accepted: bool,  # noqa: FBT001 - set by the table
    sent_number: int | None,
    op: str,
    why: int,
    expected: AttemptMatch,
) -> None:
    """The second attempt of a request is in flight."""
    request = CoreFixture().call_after(offer())
    attempt = Attempt(request, 1, 7, NOW, NOW, NOW, sent=True, accepted=accepted)
    assert match_message(decode(line(op, why=why)), attempt, sent_number) is expected
    assert match_message(decode(line(op, why=why)), None, sent_number) is AttemptMatch.NONE


def test_cause_31_confirms_an_end_that_the_placer_has_sent() -> None:
    request = CoreFixture().call_after(offer())
    request.ended = True
    attempt = Attempt(request, 1, 7, NOW, NOW, NOW, sent=True, accepted=True)
    assert match_message(decode(line("end", why=31)), attempt, None) is CURRENT


def test_an_end_that_cannot_be_attributed_is_asked_for_again() -> None:
    core = CoreFixture(member("m-1"))
    machine = core.place()
    attempt = core.call().attempt
    assert attempt is not None
    attempt.number = 1
    core.machine(machine, "end", why=16, number=0)
    assert [intent.machine for intent in core.intents_of(RecoverReports)] == [machine]
    assert core.call().attempt is attempt


async def test_a_late_second_rejection_does_not_end_the_task_of_a_later_attempt(stage: PlacerFixture) -> None:
    """Guards against a client that is told the end of a running task, and asks for it a second time."""

    async def script(machine: Machine, peer: Peer, message: Json) -> None:
        loop = asyncio.get_running_loop()
        if message["op"] != "offer":
            return
        if len(machine.offers()) > 1:
            loop.call_later(ACCEPT_DELAY_S, peer.say, line("accept", message["call"], desc="good"))
            return
        rejection = line("end", message["call"], why=34, with_={"note": "nh"})
        peer.say(rejection)
        loop.call_later(COPY_DELAY_S, peer.say, rejection)

    machine = Machine("m-1", script)
    placer = await stage.start(machine, settings=retry_on_the_same_machine_info())
    client = await placer.client()
    client.say(offer(cls="once"))
    await expect_ops(client, "accept")
    await until(lambda: placer.core.counters.unexpected_ends)
    await until(lambda: machine.opened == 3)  # the one on which the machine would repeat a true end
    assert placer.core.requests.get(CALL) is not None
    machine.peers[-1].say(line("end", CALL, why=16))
    (ended,) = await expect_ops(client, "end")
    assert ended["why"] == 16
