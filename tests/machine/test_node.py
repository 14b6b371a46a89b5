"""A machine's decisions: what it admits, in which order it starts, what it stops, and what it reports."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from machines import NodeDriver, node_settings, request
from waiting import until

from kelpfront.http.client import HttpConnection, NoAnswerError
from kelpfront.machine.admission import Capacity, Claim, Request, decide_admission, select_evictions
from kelpfront.machine.effects import StartTask, StopTask, SupersedeAttempt
from kelpfront.machine.idempotency_records import SharedIdempotencyRecords
from kelpfront.machine.messages import (
    Answer,
    Gone,
    Hello,
    Note,
    Snapshot,
    StopRequest,
    StreamMessage,
    Taken,
    decode_answer,
    decode_stream_message,
    encode,
)
from kelpfront.machine.model import Incarnation, Phase, ResourceUsage
from kelpfront.machine.node import Node
from kelpfront.machine.outbox import Outbox
from kelpfront.machine.server import MachineServer
from kelpfront.machine.slow_start import SlowStart

CAPACITY = Capacity(10.0, 20.0, 2.0, 1.5)


def kind(answer: Answer | None) -> tuple[str, str]:
    assert answer is not None
    return answer.answer, answer.reason


def reported(driver: NodeDriver, placer: str = "p0") -> list[Any]:
    return list(driver.node.outbox(placer).messages_from(1))


# ---- Admission --------------------------------------------------------------------------------------------


def test_asks_are_accepted_up_to_the_factors_and_refused_with_a_reason() -> None:
    driver = NodeDriver()
    assert kind(driver.offer("a", cores=20.0, memory=1.0)) == ("running", "")
    assert kind(driver.offer("b", cores=0.5)) == ("refused", "NO_CORES")
    assert driver.stop("a") == "stopping"
    assert kind(driver.offer("c", cores=1.0, memory=30.0)) == ("running", "")
    assert kind(driver.offer("d", cores=1.0, memory=1.0)) == ("refused", "NO_MEMORY")
    answer = driver.offer("e", needs_kind="large")
    assert kind(answer) == ("refused", "NOT_HERE")
    assert driver.node.load().free_memory == -10.0


def test_push_out_takes_the_fewest_of_the_least_priority_youngest_first() -> None:
    held = [
        Claim("old", 0, 5, 1, since=1),
        Claim("young", 0, 5, 1, since=2),
        Claim("dear", 2, 10, 1, since=3),
    ]
    assert decide_admission(CAPACITY, held, Request(2, 5, 1), preempts=True).preempted == ("young",)
    assert decide_admission(CAPACITY, held, Request(2, 10, 1), preempts=True).preempted == ("young", "old")
    assert decide_admission(CAPACITY, held, Request(2, 11, 1), preempts=True).reason == "NO_CORES"
    assert decide_admission(CAPACITY, held, Request(0, 5, 1), preempts=True).reason == "NO_CORES"
    assert decide_admission(CAPACITY, held, Request(2, 5, 1), preempts=False).reason == "NO_CORES"


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 3), st.floats(0, 4), st.floats(0, 8)), max_size=12),
    st.integers(0, 3),
    st.floats(0.1, 12),
    st.floats(0.1, 20),
)
def test_weigh_never_overfills_and_pushes_out_only_lower_priorities(
    held: list[tuple[int, float, float]], priority: int, cores: float, memory: float
) -> None:
    claims = [Claim(str(n), p, c, m, since=n) for n, (p, c, m) in enumerate(held)]
    decision = decide_admission(CAPACITY, claims, Request(priority, cores, memory), preempts=True)
    left = [claim for claim in claims if claim.task not in decision.preempted]
    assert all(claim.priority < priority for claim in claims if claim.task in decision.preempted)
    fits = sum(c.cores for c in left) + cores <= 20.001 and sum(c.memory for c in left) + memory <= 30.001
    assert fits == (not decision.reason)
    lasting = [claim for claim in claims if claim.priority >= priority]
    possible = sum(c.cores for c in lasting) + cores <= 20 and sum(c.memory for c in lasting) + memory <= 30
    assert not possible or not decision.reason


def test_eviction_takes_low_priorities_and_those_furthest_over_first() -> None:
    claims = [
        Claim("dear", 2, 1, 5, 0, used_memory=9),
        Claim("over", 0, 1, 2, 0, used_memory=8),
        Claim("under", 0, 1, 8, 0, used_memory=6),
    ]
    assert select_evictions(CAPACITY, claims) == ("over",)
    assert select_evictions(CAPACITY, claims, other_memory=10) == ("over", "under")
    assert select_evictions(CAPACITY, claims[:1]) == ()


# ---- Offers -----------------------------------------------------------------------------------------------


def test_asks_are_weighed_one_at_a_time_and_only_so_many_wait() -> None:
    driver = NodeDriver(evaluation_ms=10.0, max_pending_offers=3)
    answers = [driver.offer(name) for name in "abcd"]
    assert answers[:3] == [None, None, None]
    assert kind(answers[3]) == ("refused", "QUEUE_FULL")
    driver.advance(10.0)
    assert set(driver.answers) == {("d", 0), ("a", 0)}
    driver.advance(20.0)
    assert [kind(driver.answers[name, 0])[0] for name in "abc"] == ["running"] * 3


def test_an_offer_that_comes_again_gets_the_first_answer_and_starts_nothing() -> None:
    driver = NodeDriver(starts_at_once=False)
    assert driver.offer("a") is None
    assert driver.offer("a") is None, "not answered yet: both wait"
    driver.started("a")
    assert kind(driver.answers["a", 0]) == ("running", "")
    assert kind(driver.offer("a")) == ("running", "")
    driver.node.exited(driver.now, "a", 0)
    assert kind(driver.offer("a")) == ("running", "")
    assert len(driver.starts) == 1


def test_a_later_attempt_takes_the_copy_over() -> None:
    driver = NodeDriver(starts_at_once=False)
    driver.offer("a", 0)
    driver.offer("a", 1)
    driver.started("a")
    assert kind(driver.answers["a", 0])[0] == "error", "nobody may take it for never run"
    assert kind(driver.answers["a", 1])[0] == "running"
    assert kind(driver.offer("a", 2))[0] == "running"
    assert kind(driver.offer("a", 1))[0] == "running", "its first answer"
    assert len(driver.starts) == 1
    assert [(m.attempt, m.running) for m in reported(driver)] == [(1, True), (2, True)]


def test_an_earlier_attempt_is_refused_where_a_later_one_is() -> None:
    driver = NodeDriver()
    driver.offer("a", 3)
    assert kind(driver.offer("a", 2)) == ("refused", "NOT_HERE")


def test_an_ask_that_was_given_up_is_dropped_if_it_has_not_begun() -> None:
    driver = NodeDriver(evaluation_ms=10.0, starts_at_once=False)
    driver.offer("a")
    driver.offer("b")
    driver.node.abandon(driver.now, "a", 0)
    driver.advance(10.0)
    assert [start.offer.task for start in driver.starts] == ["b"]
    driver.node.abandon(driver.now, "b", 0)
    driver.started("b")
    assert "b" in driver.node.tasks, "it had begun: its placer is told and decides"
    assert [type(m) for m in reported(driver)] == [Taken]


def test_nothing_starts_for_a_placer_that_has_given_up_by_the_common_clock() -> None:
    driver = NodeDriver(evaluation_ms=50.0)
    assert driver.offer("a", not_after=driver.now + 20) is None
    driver.advance(60.0)
    assert kind(driver.answers["a", 0]) == ("refused", "NOT_HERE")
    slow = NodeDriver(starts_at_once=False, max_parallel_starts=1)
    slow.offer("x")
    slow.offer("late", not_after=slow.now + 20)
    slow.now += 30
    slow.started("x")
    assert kind(slow.answers["late", 0]) == ("refused", "NOT_HERE")
    assert [start.offer.task for start in slow.starts] == ["x"]


def test_a_stop_that_overtakes_its_offer_is_kept() -> None:
    driver = NodeDriver()
    assert driver.stop("a", 1) == "unknown"
    assert kind(driver.offer("a", 1)) == ("refused", "NOT_HERE")
    assert kind(driver.offer("a", 2)) == ("running", "")


def test_stop_at_each_phase() -> None:
    driver = NodeDriver(evaluation_ms=10.0, starts_at_once=False, max_parallel_starts=1)
    for name in ("runs", "starts", "queued"):
        driver.offer(name)
    driver.advance(30.0)
    driver.started("runs")
    driver.offer("line")
    assert [driver.stop(name) for name in ("line", "queued", "starts", "runs")] == [
        "stopped",
        "stopped",
        "stopping",
        "stopping",
    ]
    assert [kind(driver.answers[name, 0])[0] for name in ("line", "queued", "starts")] == [
        "refused",
        "refused",
        "error",
    ]
    assert driver.node.tasks == {}
    assert [(m.task, m.cause) for m in reported(driver) if isinstance(m, Gone)] == [
        ("starts", "stopped"),
        ("runs", "stopped"),
    ]
    assert driver.stop("runs") == "unknown"
    assert driver.node.load().waiting == 0


def test_accepted_is_answered_before_the_start_and_told_again_when_it_runs() -> None:
    driver = NodeDriver(starts_at_once=False, answer_mode="accepted", max_parallel_starts=1)
    assert kind(driver.offer("a")) == ("accepted", "")
    assert kind(driver.offer("b")) == ("accepted", "")
    driver.started("a")
    driver.node.set_draining(driver.now, draining=True)
    driver.run()
    messages = reported(driver)
    assert [(m.task, m.running) for m in messages if isinstance(m, Taken)] == [
        ("a", False),
        ("b", False),
        ("a", True),
    ]
    starts_on = [m for m in messages if isinstance(m, Gone)]
    assert starts_on == [], "b had begun to start when a ran"


def test_accepted_but_not_begun_is_handed_back_by_a_drain() -> None:
    driver = NodeDriver(starts_at_once=False, answer_mode="accepted", max_parallel_starts=1)
    driver.offer("a")
    driver.offer("b")
    driver.node.set_draining(driver.now, draining=True)
    driver.run()
    assert [(m.task, m.cause, m.ran) for m in reported(driver) if isinstance(m, Gone)] == [
        ("b", "sent-away", False)
    ]
    assert kind(driver.offer("c")) == ("refused", "NOT_HERE")
    driver.node.set_draining(driver.now, draining=False)
    assert kind(driver.offer("c", 1)) == ("accepted", "")


def test_a_paced_drain_sends_one_task_away_at_a_time_the_least_priority_first() -> None:
    driver = NodeDriver(drain_mode="paced")
    for name, priority in (("dear", 2), ("cheap", 0), ("mid", 1)):
        driver.offer(name, priority=priority)
    driver.node.set_draining(driver.now, draining=True)
    driver.run()
    assert [stop.task for stop in driver.stops] == ["cheap"]
    driver.advance(100.0)
    assert [stop.task for stop in driver.stops] == ["cheap", "mid"]
    driver.advance(100.0)
    assert [stop.task for stop in driver.stops] == ["cheap", "mid", "dear"]
    assert {m.cause for m in reported(driver) if isinstance(m, Gone)} == {"sent-away"}


def test_a_dearer_task_starts_when_those_pushed_out_for_it_have_gone() -> None:
    driver = NodeDriver(preempts=True)
    driver.offer("cheap", cores=20.0)
    driver.node.offer(driver.now, request("dear", priority=2, cores=15.0))
    effects = driver.node.pop_effects()
    assert effects == [StopTask("cheap", "pushed-out")]
    driver.node.exited(driver.now, "cheap")
    driver.run()
    assert [start.offer.task for start in driver.starts] == ["cheap", "dear"]
    assert kind(driver.answers["dear", 0]) == ("running", "")


def test_of_a_key_one_copy_stands_in_its_group() -> None:
    records = SharedIdempotencyRecords()
    east1 = NodeDriver(records=records)
    east2 = NodeDriver(records=records, name="n2")
    west = NodeDriver(records=records, name="n3", zone="west")
    keyed: dict[str, Any] = {"key": "batch-7/0", "group": "zone", "effect": "keyed"}
    assert kind(east1.offer("a", **keyed)) == ("running", "")
    answer = east2.offer("a", 1, **keyed)
    assert kind(answer) == ("refused", "NOT_HERE")
    assert answer is not None
    assert answer.message == "a copy stands on n1"
    assert kind(west.offer("a", 2, **keyed)) == ("running", "")
    east1.stop("a")
    assert kind(east2.offer("a", 3, **keyed)) == ("running", "")
    records.remove_machine("n2")
    assert kind(east1.offer("a", 4, **keyed)) == ("running", "")


def test_memory_that_runs_out_evicts() -> None:
    driver = NodeDriver()
    driver.offer("a", memory=10.0)
    driver.offer("b", memory=10.0, priority=1)
    usage = {"a": ResourceUsage(0.5, 12.0), "b": ResourceUsage(0.5, 9.0)}
    driver.node.record_usage(driver.now, usage)
    driver.run()
    assert [(stop.task, stop.cause) for stop in driver.stops] == [("a", "evicted")]
    assert driver.node.load().unused_memory == 11.0


# ---- Starts -----------------------------------------------------------------------------------------------


def test_few_starts_at_a_time_and_fewer_while_cold() -> None:
    cold = NodeDriver(
        starts_at_once=False,
        max_parallel_starts=4,
        max_pending_offers=20,
        slow_start=SlowStart(0.25, 10_000.0),
    )
    for n in range(8):
        cold.offer(f"t{n}", cores=0.1)
    assert len(cold.starts) == 1, "a quarter of four"
    cold.advance(9_000.0)
    cold.started("t0")
    assert len(cold.starts) == 5
    assert cold.node.load().waiting == 7


def test_starts_are_paced_where_a_rate_is_told() -> None:
    driver = NodeDriver(
        max_parallel_starts=100, max_pending_offers=200, starts_per_ms=0.01, slow_start=SlowStart(0.5, 4000.0)
    )
    for n in range(100):
        driver.offer(f"t{n}", cores=0.1, memory=0.1)
    assert len(driver.starts) == 1
    driver.advance(3_000.0)
    assert 20 <= len(driver.starts) <= 28, "from one in 160 ms to one in 100 ms"


def test_a_first_start_of_a_service_is_dear_unless_its_program_is_kept() -> None:
    driver = NodeDriver(max_cached_programs=1)
    for task, service in (("a", "x"), ("b", "x"), ("c", "y")):
        driver.offer(task, service=service)
    for task in ("a", "b", "c"):
        driver.stop(task)
    driver.offer("d", service="y")
    driver.offer("e", service="x")
    assert [start.needs_program for start in driver.starts] == [True, False, True, False, True]


def test_a_start_that_fails_without_running_is_a_refusal() -> None:
    driver = NodeDriver(starts_at_once=False)
    driver.offer("a")
    driver.node.start_failed(driver.now, "a", "no such command")
    driver.run()
    assert kind(driver.answers["a", 0]) == ("refused", "START_FAILED")
    driver.offer("b")
    driver.node.start_unconfirmed(driver.now, "b", "broke")
    driver.run()
    assert kind(driver.answers["b", 0]) == ("error", "")
    assert driver.node.load().waiting == 0


@settings(derandomize=True, deadline=None)
@given(st.floats(0, 20_000), st.floats(0, 20_000))
def test_warmup_grows_and_its_sum_is_that_of_its_share(begin: float, length: float) -> None:
    slow_start = SlowStart(0.25, 10_000.0)
    assert 0.25 <= slow_start.share_at(begin) <= slow_start.share_at(begin + length) <= 1.0
    steps = 400
    summed = (
        sum(slow_start.share_at(begin + length * (n + 0.5) / steps) for n in range(steps)) * length / steps
    )
    assert slow_start.starts_between(begin, begin + length, 1.0) == pytest.approx(summed, rel=2e-3, abs=1e-6)


# ---- What placers are told --------------------------------------------------------------------------------


def test_an_outbox_resumes_within_its_history_and_says_where_it_ends() -> None:
    outbox = Outbox(max_messages=3, max_status_reports=2)
    for n in range(5):
        outbox.append_accepted(f"t{n}", 0, running=True)
    assert [message.seq for message in outbox.messages_from(4)] == [4, 5]
    assert [outbox.reaches(seq) for seq in (2, 3, 5, 6, 7)] == [False, True, True, True, False]
    for value in (1.0, 2.0, 3.0):
        outbox.add_status_report(Note("t", 0, "cores", value))
    assert [report.value for report in outbox.pop_status_reports()] == [2.0, 3.0]


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.sampled_from(["offer", "exit", "cut"]), max_size=60), st.data())
def test_a_placer_that_is_cut_anywhere_knows_in_the_end_what_runs(
    steps: list[str], data: st.DataObject
) -> None:
    """Whatever is cut and lost, numbered messages and snapshots together show each task's last state."""
    driver = NodeDriver(max_pending_offers=100, capacity=Capacity(1000, 1000, 2, 2))
    driver.node._report_log._outboxes["p0"] = Outbox(max_messages=4)
    known: dict[str, bool] = {}
    first: int | None = None

    def read(most: int) -> None:
        nonlocal first
        hello = driver.node.hello(driver.now, "p0", first)
        at = hello.next_seq
        if not hello.resumed:
            snapshot = driver.node.snapshot("p0")
            known.clear()
            known.update({report.offer.task: report.phase != "ended" for report in snapshot.tasks})
            at = snapshot.seq + 1
        for message in driver.node.outbox("p0").messages_from(at)[:most]:
            known[message.task] = isinstance(message, Taken)
            at = message.seq + 1
        first = at

    for n, step in enumerate(steps):
        if step == "offer":
            driver.offer(f"t{n}", cores=0.1, memory=0.1)
        elif step == "exit" and driver.node.tasks:
            driver.node.exited(driver.now, data.draw(st.sampled_from(sorted(driver.node.tasks))))
        else:
            read(data.draw(st.integers(0, 3)))
    read(100)
    assert {task for task, runs in known.items() if runs} == set(driver.node.tasks)


# ---- On a socket ------------------------------------------------------------------------------------------


class AtOnce:
    """Starts tasks at once, unless told to hold them."""

    def __init__(self) -> None:
        self.server: MachineServer | None = None
        self.held: list[str] = []
        self.hold = False

    def start_task(self, start: StartTask) -> None:
        if self.hold:
            self.held.append(start.offer.task)
        else:
            asyncio.get_running_loop().call_soon(self.start, start.offer.task)

    def start(self, task: str) -> None:
        assert self.server is not None
        self.server.node.started(1.0, task)
        self.server.changed()

    def stop_task(self, stop: StopTask) -> None:
        assert self.server is not None
        self.server.node.exited(1.0, stop.task)

    def supersede_attempt(self, superseding: SupersedeAttempt) -> None:
        assert self.server is not None
        offer = superseding.offer
        self.server.node.attempt_superseded(1.0, offer.task, offer.attempt)


class Listener:
    """Reads a machine's stream as a placer does."""

    def __init__(self, server: MachineServer) -> None:
        self.server = server
        self.messages: list[StreamMessage] = []

    async def open(self, query: str = "") -> None:
        self.connection = await HttpConnection.open("127.0.0.1", self.server.http.port)
        _, _, pieces = await self.connection.stream("GET", f"/v1/stream?placer=p0{query}")

        async def read() -> None:
            rest = b""
            async for piece in pieces:
                *lines, rest = (rest + piece).split(b"\n")
                self.messages += [decode_stream_message(line) for line in lines]

        self.task = asyncio.create_task(read())

    def cut(self) -> None:
        self.task.cancel()
        self.connection.abort()

    def of(self, kind: type[Any]) -> list[Any]:
        return [message for message in self.messages if isinstance(message, kind)]


async def machine() -> tuple[MachineServer, AtOnce]:
    runtime = AtOnce()
    server = MachineServer(Node(node_settings(), Incarnation("boot-1", 0.0)), runtime, lambda: 1.0)
    runtime.server = server
    await server.start("127.0.0.1", 0)
    return server, runtime


async def post(server: MachineServer, path: str, message: Any) -> tuple[int, bytes]:
    connection = await HttpConnection.open("127.0.0.1", server.http.port)
    reply = await connection.request("POST", path, encode(message))
    connection.close()
    return reply.status, reply.body


async def test_offers_stops_and_the_stream_over_a_socket() -> None:
    server, _ = await machine()
    listener = Listener(server)
    await listener.open()
    status, body = await post(server, "/v1/offers", request("a"))
    assert (status, decode_answer(body).answer) == (200, "running")
    assert (await post(server, "/v1/offers", request("b", cores=99.0)))[0] == 409
    await post(server, "/v1/stops", StopRequest("p0", "a", 0))
    await until(lambda: listener.of(Gone))
    assert [type(m).__name__ for m in listener.messages if not isinstance(m, Note)][:3] == [
        "Hello",
        "Snapshot",
        "Heartbeat",
    ]
    assert [(m.seq, m.task) for m in listener.of(Taken) + listener.of(Gone)] == [(1, "a"), (2, "a")]
    assert (await post(server, "/v1/offers", {"placer": 3}))[0] == 400
    assert (await post(server, "/v1/nothing", {}))[0] == 404
    listener.cut()
    await server.close()


async def test_a_stream_that_breaks_resumes_and_one_of_another_life_starts_anew() -> None:
    server, _ = await machine()
    listener = Listener(server)
    await listener.open()
    await post(server, "/v1/offers", request("a"))
    await until(lambda: listener.of(Taken))
    listener.cut()
    await post(server, "/v1/offers", request("b"))
    again = Listener(server)
    await again.open("&from=2&boot=boot-1")
    await until(lambda: again.of(Taken))
    assert [m.resumed for m in again.of(Hello)] == [True]
    assert [m.task for m in again.of(Taken)] == ["b"]
    other = Listener(server)
    await other.open("&from=2&boot=boot-0")
    await until(lambda: other.of(Snapshot))
    assert {report.offer.task for report in other.of(Snapshot)[0].tasks} == {"a", "b"}
    await until(lambda: again.task.done())
    assert not again.task.cancelled(), "one stream a placer: the newer ends the older"
    other.cut()
    await server.close()


async def test_a_drain_is_told_at_once_and_not_with_the_next_heartbeat() -> None:
    runtime = AtOnce()
    server = MachineServer(Node(node_settings(heartbeat_ms=1e7), Incarnation("b", 0.0)), runtime, lambda: 1.0)
    await server.start("127.0.0.1", 0)
    listener = Listener(server)
    await listener.open()
    await until(lambda: len(listener.messages) == 3)
    server.node.set_draining(1.0, draining=True)
    server.changed()
    await until(lambda: listener.messages[-1].state == "draining")  # type: ignore[union-attr]
    listener.cut()
    await server.close()


async def test_an_offer_whose_placer_leaves_is_abandoned() -> None:
    server, runtime = await machine()
    runtime.hold = True
    for task in ("a", "b", "c"):  # two starts at a time: c waits
        connection = await HttpConnection.open("127.0.0.1", server.http.port)
        call = asyncio.create_task(connection.request("POST", "/v1/offers", encode(request(task))))
        await until(lambda task=task: task in server.node.tasks)  # type: ignore[misc]
        connection.abort()
        with pytest.raises(NoAnswerError):
            await call
    await until(lambda: set(server.node.tasks) == {"a", "b"})
    runtime.start("a")
    assert server.node.tasks["a"].phase is Phase.RUNNING
    await server.close()
