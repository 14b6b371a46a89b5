"""A node is restored after a restart of its agent, and placers resume its stream."""

from __future__ import annotations

import pytest
from machines import NodeDriver, offer, request

from kelpfront.machine.effects import SupersedeAttempt
from kelpfront.machine.messages import Gone, Hello, OfferRequest, Snapshot, Taken
from kelpfront.machine.model import Phase
from kelpfront.machine.restoration import RestoredTask
from kelpfront.machine.stream_offset import StreamOffset


def test_a_restored_task_uses_capacity_answers_offers_and_is_never_started() -> None:
    driver = NodeDriver()
    node = driver.node
    node.restore(driver.now, RestoredTask(request("t1", cores=15.0, memory=1.0), Phase.RUNNING, 1e18))
    node.restore(driver.now, RestoredTask(request("t2", cores=1.0), Phase.STOPPING, 0.0, "stopped"))
    assert node.load().free_cores == -5.0  # a stopping task holds no capacity
    answer = driver.offer("t1", cores=15.0, memory=1.0)
    assert answer is not None
    assert answer.answer == "running"
    assert not driver.starts
    refused = driver.offer("t3", cores=6.0)
    assert refused is not None
    assert refused.reason == "NO_CORES"
    assert driver.stop("t1") == "stopping"
    assert [stop.task for stop in driver.stops] == ["t1"]
    node.exited(driver.now, "t2", 143, 1.5)
    messages = node.outbox("p0").messages_from(1)
    assert [message.task for message in messages] == ["t1", "t2"]


def test_a_non_idempotent_task_that_ran_here_is_answered_with_an_error_not_a_refusal() -> None:
    driver = NodeDriver()
    driver.offer("t1", effect="unsafe")
    driver.node.exited(driver.now, "t1", 0)
    answer = driver.offer("t1", 1, effect="unsafe")
    assert answer is not None
    assert (answer.answer, answer.reason) == ("error", "RAN_HERE")
    driver.offer("t2", effect="safe")
    driver.node.exited(driver.now, "t2", 0)
    again = driver.offer("t2", 1, effect="safe")
    assert again is not None
    assert again.answer == "running"


def test_an_end_that_a_placer_has_acknowledged_is_not_in_its_next_snapshot() -> None:
    driver = NodeDriver()
    node = driver.node
    seqs = []
    for task in ("t1", "t2"):
        driver.offer(task)
        node.exited(driver.now, task, 0)
        seqs.append(node.outbox("p0").next_seq - 1)
    assert node.acknowledge("p0", seqs[0] + 1) == ["t1"]
    assert node.acknowledge("other", 99) == []
    snapshot = node.snapshot("p0")
    assert isinstance(snapshot, Snapshot)
    assert [report.offer.task for report in snapshot.tasks] == ["t2"]


def test_a_stream_is_resumed_after_the_last_accepted_message() -> None:
    offset = StreamOffset()
    assert offset.resume_point is None
    assert offset.accept(Hello("b1", 0.0, "small", 500.0, resumed=False, next_seq=7))
    assert offset.resume_point is None, "the snapshot was not received yet"
    assert offset.accept(Snapshot(6, ()))
    assert offset.resume_point == ("b1", 7)
    assert offset.accept(Taken(7, "t", 0, running=True))
    assert not offset.accept(Taken(7, "t", 0, running=True))
    assert offset.resume_point == ("b1", 8)
    with pytest.raises(ValueError, match="message 10 came where 8"):
        offset.accept(Gone(10, "t", 0, "ended", ran=True))
    assert offset.accept(Hello("b1", 0.0, "small", 500.0, resumed=True, next_seq=8))
    assert offset.resume_point == ("b1", 8)
    assert offset.accept(Hello("b2", 0.0, "small", 500.0, resumed=False, next_seq=1))
    assert offset.resume_point is None


def test_a_later_attempt_is_answered_only_once_the_supersession_is_recorded() -> None:
    driver = NodeDriver()
    driver.offer("t1")
    node = driver.node
    node.offer(driver.now, request("t1", 1))
    effects = node.pop_effects()
    assert [type(effect) for effect in effects] == [SupersedeAttempt]
    node.attempt_superseded(driver.now, "t1", 0)
    assert not node.pop_effects()
    node.attempt_superseded(driver.now, "t1", 1)
    driver.run()
    assert driver.answers["t1", 1].answer == "running"
    assert len(driver.starts) == 1


def test_tasks_of_a_placer_are_stopped_in_every_phase() -> None:
    driver = NodeDriver(starts_at_once=False, max_parallel_starts=1)
    driver.offer("starts", placer="x")
    node = driver.node
    node.offer(driver.now, OfferRequest("x", "life", offer("waits")))
    driver.run()
    node.offer(driver.now, OfferRequest("p1", "life", offer("stays")))
    driver.run()
    assert (
        node.stop_placer_tasks(driver.now, "p0", "lost") + node.stop_placer_tasks(driver.now, "x", "lost")
        == 2
    )
    driver.run()
    assert set(node.tasks) == {"stays"}
