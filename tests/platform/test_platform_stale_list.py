"""Long outages of discovery: nothing is offered by a stale list, and each request is answered."""

from __future__ import annotations

from core_stage import CoreFixture

from kelpfront.lab.platform import CALL, event, member, offer
from kelpfront.platform.intents import Offer
from kelpfront.platform.log_records import OffersPaused, OffersResumed
from kelpfront.platform.messages import Cause
from kelpfront.platform.timeouts import DISCOVERY_STALE_MS
from kelpfront.scheduling.events import AttemptOutcome

LONG_OUTAGE_MS = 60_000.0


def stage_with_answer() -> CoreFixture:
    """Return a core whose coordinator has just answered."""
    stage = CoreFixture()
    stage.events({"index": 1, "updates": []})
    stage.core.log.drain()
    return stage


def test_nothing_is_offered_from_7_s_of_silence_until_the_coordinator_answers() -> None:
    """Guards against offers to a draining machine in an outage that lasts for longer than some seconds."""
    stage = stage_with_answer()
    started_at = stage.now
    stage.advance(DISCOVERY_STALE_MS)
    for number in range(int(LONG_OUTAGE_MS / 500.0)):
        stage.client(offer(f"{number:016x}", left="2000"))
        stage.advance(500.0)
    assert not stage.intents_of(Offer)
    stage.advance(2_000.0)
    answers = [message["why"] for _, message in stage.sent_to_clients]
    assert answers == [Cause.CONGESTION] * int(LONG_OUTAGE_MS / 500.0)
    stage.client(offer(left="20000"))
    stage.events({"index": 2, "updates": [event(2, member("m-1", phase="Terminating"))]})
    (intent,) = stage.intents_of(Offer)
    assert stage.core.endpoints.machines[intent.machine].name == "m-2"
    paused, resumed = stage.core.log.drain()
    assert paused == OffersPaused(DISCOVERY_STALE_MS)
    assert isinstance(resumed, OffersResumed)
    assert resumed.paused_ms == stage.now - (started_at + DISCOVERY_STALE_MS)


def test_a_configuration_file_that_is_read_in_an_outage_does_not_end_the_pause() -> None:
    """Guards against offers by the list of a file, after which the coordinator may have reported drains."""
    stage = stage_with_answer()
    stage.advance(DISCOVERY_STALE_MS)
    stage.client(offer(left="20000"))
    stage.apply_events({"index": 2, "updates": [event(2, member("m-3"))]})
    stage.advance(1_000.0)
    assert not stage.intents_of(Offer)


def test_an_offer_that_waited_for_its_connection_is_not_sent_by_a_list_that_became_stale() -> None:
    """Guards against an offer decided just before the list became stale and written long after that."""
    stage = stage_with_answer()
    stage.advance(DISCOVERY_STALE_MS - 100.0)
    stage.client(offer(left="20000"))
    (intent,) = stage.intents_of(Offer)
    stage.now += 1_000.0  # the loop was busy: the timer of the list has not run yet
    assert stage.core.encode_offer(stage.now, intent.key) is None
    assert stage.core.counters.attempt_outcomes[AttemptOutcome.NOT_SENT] == 1
    stage.collect_intents()
    stage.advance(1_000.0)
    assert len(stage.intents_of(Offer)) == 1
    stage.events({"index": 1, "updates": []})
    assert len(stage.intents_of(Offer)) == 2
    stage.send_offer(CALL)
