"""A failure detector and a placer's view: subscriptions, digests, and which digests are applied."""

from __future__ import annotations

import pytest

from kelpfront.failure_detection import digest
from kelpfront.failure_detection.detector import RECONNECTION_NOTICE_MS, FailureDetector, ListedMachine
from kelpfront.failure_detection.digest import Digest, Hello
from kelpfront.failure_detection.subscribers import MAX_SUBSCRIBERS
from kelpfront.failure_detection.view import LivenessView
from kelpfront.scheduling.events import LivenessObserved

PLACER = ("127.0.0.1", 1)


@pytest.fixture
def detector() -> FailureDetector:
    """A detector of two machines in one zone."""
    detector = FailureDetector(1, 1_000.0)
    detector.apply_endpoint_list(0.0, {0: [ListedMachine(1, "m"), ListedMachine(2, "n")]})
    return detector


def test_subscribers_are_bounded_and_expire(detector: FailureDetector) -> None:
    for port in range(MAX_SUBSCRIBERS + 5):
        detector.receive_hello(0.0, ("127.0.0.1", port), Hello(port, 1))
    assert detector.subscriber_count == MAX_SUBSCRIBERS
    assert detector.counters.subscribers_rejected == 5
    detector.build_digests(20_000.0)
    assert detector.subscriber_count == 0


def test_digests_report_a_reconnection_for_a_limited_time(detector: FailureDetector) -> None:
    detector.receive_hello(0.0, PLACER, Hello(5, 1))
    for now, reconnected in ((0.0, 0), (100.0, 2), (100.0 + RECONNECTION_NOTICE_MS, 0)):
        if now <= 100.0:
            detector.record_connection(now, 2)
        (outgoing,) = detector.build_digests(now)
        decoded = digest.unpack(outgoing.data)
        assert isinstance(decoded, Digest)
        assert decoded.sections[0].reconnected == reconnected
        detector.receive_hello(now + 1.0, PLACER, Hello(5, int(now) + 2))


def test_digests_for_another_incarnation_and_duplicates_are_ignored(detector: FailureDetector) -> None:
    view, other = LivenessView(5, 1), LivenessView(6, 1)
    for liveness_view in (view, other):
        liveness_view.apply_endpoint_list({0: [1, 2]})
    detector.receive_hello(0.0, PLACER, view.hello(50.0))
    detector.record_answer(1, detector.begin_check(0.0, 1) or "")
    (outgoing,) = detector.build_digests(1_000.0)
    assert other.receive(2_000.0, 0, outgoing.data) == []
    assert [observed.machines for observed in view.receive(2_000.0, 0, outgoing.data)] == [(1,)]
    assert view.receive(2_000.0, 0, outgoing.data) == []  # a duplicate
    view.apply_endpoint_list({0: [1, 2, 3]})
    detector.receive_hello(1_000.0, PLACER, view.hello(1_000.0))
    (outgoing,) = detector.build_digests(1_100.0)
    observations = view.receive(2_000.0, 0, outgoing.data)
    assert isinstance(observations[0], LivenessObserved)
