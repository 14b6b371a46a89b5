"""Running and adopted tasks in the core, without sockets: ends, migrations, health checks."""

from __future__ import annotations

import platforms
import pytest
from core_stage import NOW, CoreFixture
from platforms import config

from kelpfront.lab.platform import CALL, event, line, member, offer
from kelpfront.platform import requests
from kelpfront.platform.core import PlacerCore
from kelpfront.platform.endpoint_events import parse_events
from kelpfront.platform.intents import (
    AbandonAttempt,
    ForgetMachine,
    KeepConnected,
    Offer,
    SendHealthCheck,
    SendToMachine,
)
from kelpfront.platform.limits import Limit
from kelpfront.platform.log_records import LimitReached
from kelpfront.platform.messages import OfferContent, decode, machine_id
from kelpfront.platform.sessions import UNDELIVERED_END_TTL_MS
from kelpfront.platform.timeouts import (
    UNLISTED_MACHINE_TIMEOUT_MS,
)
from kelpfront.scheduling.actions import Migrate
from kelpfront.scheduling.scheduler import Scheduler


def test_a_client_ends_a_task_on_any_connection_and_no_end_is_sent_to_it() -> None:
    stage = CoreFixture()
    machine = stage.place()
    stage.core.sessions.open(stage.now, 2, "127.0.0.5")
    stage.client(line("end", why=16), conn=2)
    assert stage.intents_of(SendToMachine)[0].machine == machine
    stage.machine(machine, "end", why=31)
    assert [message["op"] for _, message in stage.sent_to_clients] == ["accept", "ended"]


def test_a_migration_is_sent_to_client_and_machine_and_no_end_follows() -> None:
    stage = CoreFixture()
    machine = stage.place()
    stage.core.carry_out(stage.now, Migrate(stage.call().task))
    stage.collect_intents()
    assert stage.intents_of(SendToMachine)[0].machine == machine
    stage.machine(machine, "end", why=31)
    stage.client(line("end", why=16))
    assert [message["op"] for _, message in stage.sent_to_clients] == ["accept", "redirect", "ended"]


def test_an_end_by_the_client_before_its_machine_is_listed_reaches_the_machine() -> None:
    stage = CoreFixture()
    stage.client(offer(extras="cores:1;memory:2;service:b4;at:m-9"))
    stage.client(line("end", why=16))
    stage.events({"index": 2, "updates": [event(2, member("m-9"))]})
    assert [intent.machine for intent in stage.intents_of(SendToMachine)] == [machine_id("m-9")]


def test_ends_of_client_and_machine_that_cross_are_each_processed_once() -> None:
    stage = CoreFixture()
    machine = stage.place()
    stage.machine(machine, "end", why=16)
    stage.client(line("end", why=16))
    stage.machine(machine, "end", why=31)
    assert [message["op"] for _, message in stage.sent_to_clients] == ["accept", "end", "ended"]


def test_a_new_machine_at_the_address_of_a_removed_one_is_another_machine() -> None:
    stage = CoreFixture(member("m-1", "127.0.0.1:7"))
    stage.place()
    removed, added = member("m-1", "127.0.0.1:7", "Gone"), member("m-2", "127.0.0.1:7")
    stage.events({"index": 2, "updates": [event(2, removed, added)]})
    stage.machine(machine_id("m-2"), "end", why=16)
    assert [message["why"] for _, message in stage.sent_to_clients if message["op"] == "end"] == [41]
    assert stage.intents_of(ForgetMachine)[0].machine == machine_id("m-1")
    stage.client(offer("00000000000000a2"))
    assert stage.intents_of(Offer)[-1].machine == machine_id("m-2")


def test_no_more_than_the_maximum_of_attempts_is_made() -> None:
    stage = CoreFixture(*(member(f"m-{n}") for n in range(1, 8)))
    stage.client(offer(left="3000"))
    for _ in range(8):
        open_offers = [
            i for i in stage.intents_of(Offer) if stage.core.encode_offer(stage.now, i.key) is not None
        ]
        for sent in open_offers:
            stage.machine(sent.machine, "end", why=47)
    assert len(stage.intents_of(Offer)) == stage.config.settings.max_attempts
    assert [message["op"] for _, message in stage.sent_to_clients] == ["end"]


def test_a_task_end_whose_connection_is_closed_is_sent_on_another_of_its_client() -> None:
    stage = CoreFixture()
    machine = stage.place()
    stage.core.sessions.open(stage.now, 2, "127.0.0.5")
    stage.core.sessions.open(stage.now, 3, "127.0.0.6")
    stage.core.on_client_disconnected(stage.now, 1)
    stage.machine(machine, "end", why=16)
    assert stage.sent_to_clients[-1][0] == 2
    assert stage.sent_to_clients[-1][1]["op"] == "end"


def test_a_task_end_without_a_connection_waits_for_the_next_one_until_it_expires() -> None:
    stage = CoreFixture()
    for call, wait in ((CALL, 100.0), ("00000000000000a2", UNDELIVERED_END_TTL_MS + 1)):
        stage.core.sessions.open(stage.now, 2, "127.0.0.7")
        machine = stage.place(call)
        stage.core.on_client_disconnected(stage.now, 1)
        stage.core.on_client_disconnected(stage.now, 2)
        stage.machine(machine, "end", call, why=16)
        stage.advance(wait)
        stage.sent_to_clients.clear()
        stage.core.sessions.open(stage.now, 1, "127.0.0.5")
        stage.collect_intents()
        assert [message["op"] for _, message in stage.sent_to_clients] == (
            ["end"] if wait < UNDELIVERED_END_TTL_MS else []
        )


def test_an_adopted_task_is_not_answered_and_its_end_is_sent() -> None:
    stage = CoreFixture()
    extras = "cores:1;memory:2;service:b4;at:m-1"
    stage.client(offer(left="4294967", extras=extras))
    stage.client(offer(left="4294967", extras=extras))
    assert stage.sent_to_clients == []
    assert stage.intents_of(KeepConnected)[0].machine == machine_id("m-1")
    stage.machine(machine_id("m-1"), "end", why=16)
    assert [message["op"] for _, message in stage.sent_to_clients] == ["end"]


def test_a_task_end_that_arrives_before_the_task_is_adopted_is_sent_on_adoption() -> None:
    """Guards against adopted tasks that are kept forever: machines report the end of a task only once."""
    stage = CoreFixture()
    stage.machine(machine_id("m-1"), "end", why=16)
    stage.client(offer(extras="cores:1;memory:2;service:b4;at:m-1"))
    assert [message["why"] for _, message in stage.sent_to_clients] == [16]
    assert not stage.core.requests


def test_an_adopted_task_on_a_machine_that_is_never_listed_is_lost() -> None:
    stage = CoreFixture()
    stage.client(offer(extras="cores:1;memory:2;service:b4;at:m-9"))
    stage.advance(1000)
    stage.events({"index": 1, "updates": []})  # the coordinator reports no change
    assert stage.sent_to_clients == []
    stage.advance(2000)
    assert [message["op"] for _, message in stage.sent_to_clients] == ["end"]
    assert not stage.core.adopted_tasks
    assert not stage.core.requests


def test_a_task_adopted_during_a_discovery_outage_is_not_lost() -> None:
    """Guards against reporting the end of a task that is still running: its client would start it again."""
    stage = CoreFixture()
    stage.client(offer(cls="once", extras="cores:1;memory:2;service:1;at:m-9"))
    stage.advance(UNLISTED_MACHINE_TIMEOUT_MS + 1.0)
    assert stage.sent_to_clients == []
    stage.advance(UNLISTED_MACHINE_TIMEOUT_MS)
    stage.events({"index": 2, "updates": [event(2, member("m-9"))]})
    stage.advance(UNLISTED_MACHINE_TIMEOUT_MS)
    assert stage.sent_to_clients == []
    assert stage.core.has_running_tasks(machine_id("m-9"))


def test_the_end_of_an_adopted_task_is_sent_in_time_although_the_coordinator_is_silent() -> None:
    stage = CoreFixture()
    stage.client(offer(cls="once", extras="cores:1;memory:2;service:1;at:m-9"))
    stage.advance(8_000.0)
    assert [message["op"] for _, message in stage.sent_to_clients] == ["end"]


def test_a_task_adopted_before_its_machine_is_listed_continues_to_run() -> None:
    stage = CoreFixture()
    stage.client(offer(extras="cores:1;memory:2;service:b4;at:m-9"))
    stage.events({"index": 2, "updates": [event(2, member("m-9"))]})
    stage.advance(3000)
    assert stage.sent_to_clients == []
    assert stage.core.has_running_tasks(machine_id("m-9"))


@pytest.mark.parametrize("how", ["refused", "restarted", "gone"])
def test_tasks_end_with_their_machine(how: str) -> None:
    stage = CoreFixture()
    ident = stage.place()
    name = stage.core.endpoints.machines[ident].name
    if how == "refused":
        stage.core.on_machine_process_dead(stage.now, ident)
    else:
        now = member(name, up_since_ms=NOW) if how == "restarted" else member(name, address="", phase="Gone")
        stage.events({"index": 2, "updates": [event(2, now)]})
    stage.collect_intents()
    assert [message["op"] for _, message in stage.sent_to_clients] == ["accept", "end"]
    assert (len(stage.intents_of(ForgetMachine)) == 1) is (how == "gone")
    assert not stage.core.requests


def test_a_machine_that_becomes_unresponsive_is_health_checked_and_its_tasks_end_in_time() -> None:
    """Guards against machines that are cut off: their connections stay open, and nobody reports them."""
    stage = CoreFixture(member("m-1"))
    stage.place()
    stage.advance(6900)
    assert [message["op"] for _, message in stage.sent_to_clients] == [
        "accept"
    ]  # a machine cut off for some seconds keeps its tasks
    stage.advance(1000)  # within 8 s after the machine became unresponsive
    assert [message["op"] for _, message in stage.sent_to_clients] == ["accept", "end"]
    assert len(stage.intents_of(SendHealthCheck)) >= 3


def test_a_machine_that_only_runs_tasks_is_health_checked_rarely() -> None:
    """Guards against sixteen placers that each check nearly every machine every second without need."""
    stage = CoreFixture(member("m-1"))
    machine = stage.place()
    stage.advance(4000)
    assert not stage.intents_of(SendHealthCheck)
    stage.machine(machine, "info", with_={"note": "c", "value": "0.5"})  # any message counts
    stage.advance(4000)
    assert not stage.intents_of(SendHealthCheck)
    stage.advance(1000)
    assert len(stage.intents_of(SendHealthCheck)) == 1


def test_a_machine_with_an_unanswered_offer_is_health_checked_soon() -> None:
    """Guards against requests that wait until their timeout for a machine that became unresponsive."""
    stage = CoreFixture(member("m-1"))
    stage.client(offer(left="20000"))
    stage.send_offer()
    stage.advance(900)
    assert not stage.intents_of(SendHealthCheck)
    stage.advance(600)
    assert len(stage.intents_of(SendHealthCheck)) == 1


def test_an_idle_machine_that_answers_health_checks_keeps_its_tasks() -> None:
    stage = CoreFixture(member("m-1"))
    machine = stage.place()
    answered = 0
    for _ in range(200):
        stage.advance(100)
        for test in stage.intents_of(SendHealthCheck)[answered:]:
            stage.machine(machine, "tested", test.check_id, why=1)
            answered += 1
    assert [message["op"] for _, message in stage.sent_to_clients] == ["accept"]
    assert answered >= 4


@pytest.mark.parametrize(("cls", "retries"), [("easy", True), ("once", False)])
def test_an_offer_on_an_unresponsive_machine_goes_elsewhere_only_if_that_is_harmless(
    cls: str, *, retries: bool
) -> None:
    stage = CoreFixture()
    stage.client(offer(cls=cls, left="20000"))
    silent = stage.send_offer().machine
    stage.advance(3500)
    offers = stage.intents_of(Offer)
    assert (len(offers) == 2 and offers[1].machine != silent) is retries
    assert any(intent.key.request_id == CALL for intent in stage.intents_of(AbandonAttempt)) is retries


def test_a_machine_that_fails_its_health_checks_is_reachable_and_keeps_its_offers() -> None:
    """Guards against abandoning offers on busy machines, which fail a health check but answer soon after."""
    stage = CoreFixture()
    stage.client(offer(left="20000"))
    machine = stage.send_offer().machine
    for _ in range(20):
        stage.advance(300)
        for test in stage.intents_of(SendHealthCheck):
            stage.machine(machine, "tested", test.check_id, why=0)
    assert len(stage.intents_of(SendHealthCheck)) > 2
    assert not stage.intents_of(AbandonAttempt)
    stage.machine(machine, "accept", desc="slow")
    assert [message["op"] for _, message in stage.sent_to_clients] == ["accept"]


@pytest.mark.parametrize(("cls", "why"), [("easy", 42), ("keyed", 41), ("once", 41)])
@pytest.mark.parametrize("sign", ["a note", "a reason"])
def test_a_task_that_ends_before_its_late_acceptance_is_reported_and_not_retried(
    cls: str, why: int, sign: str
) -> None:
    """Guards against answers that a peer delays: the task ran, and its client must receive the end soon."""
    stage = CoreFixture()
    stage.client(offer(cls=cls))
    machine = stage.send_offer().machine
    if sign == "a note":
        stage.machine(machine, "info", with_={"note": "c", "value": "0.6"})
        stage.machine(machine, "end", why=41)
    else:
        stage.machine(machine, "end", why=41, with_={"note": "pre"})
    stage.machine(machine, "accept", desc="late")
    stage.advance(5000)
    assert [(message["op"], message["why"]) for _, message in stage.sent_to_clients] == [("end", why)]
    assert len(stage.intents_of(Offer)) == 1


def test_an_attempt_without_a_sign_of_execution_is_retried_if_that_is_harmless() -> None:
    stage = CoreFixture()
    stage.client(offer())
    stage.machine(stage.send_offer().machine, "end", why=41)
    assert len(stage.intents_of(Offer)) == 2
    assert not stage.sent_to_clients


def test_22_000_tasks_may_be_adopted_on_one_connection_without_using_the_capacity_for_requests() -> None:
    """Guards against running tasks that no placer tracks after most placers of a region are lost."""
    stage = CoreFixture()
    for number in range(22_000):
        extras = f"cores:0.01;memory:0.01;service:1;at:m-{1 + number % 2}"
        stage.core.on_client_message(stage.now, 1, decode(offer(f"{0xF0000 + number:016x}", extras=extras)))
    assert len(stage.core.requests) == stage.core.counters.adopted_tasks == 22_000
    assert not stage.core.limits.counts
    tracked = sum(len(machine.running) for machine in stage.core.endpoints.machines.values())
    assert tracked == 22_000
    stage.client(offer())
    assert (
        stage.core.limits.counts[Limit.REQUESTS]
        == stage.core.limits.counts[Limit.REQUESTS_PER_CONNECTION]
        == 0
    )
    assert stage.core.requests.get(CALL) is not None


def test_adopted_tasks_are_limited_by_the_memory_limit_and_one_that_ends_frees_capacity() -> None:
    stage = CoreFixture()
    max_adopted = requests.max_adopted_tasks(3.0)
    assert requests.max_adopted_tasks(192.0) > 22_000
    assert requests.max_adopted_tasks(1e-6) == 1
    assert max_adopted == 384
    limits = platforms.raw_config(member("m-1"))["limits"] | {"memory_mb": 3.0}
    limited_config = config(member("m-1"), limits=limits)
    stage.core = core = PlacerCore(limited_config, Scheduler(limited_config.settings, 7))
    core.apply_endpoint_events(NOW, *parse_events(limited_config.known, limited_config))
    core.sessions.open(NOW, 1, "127.0.0.5")
    extras = "cores:0.01;memory:0.01;service:1;at:m-1"
    for number in range(max_adopted + 5):
        stage.client(offer(f"{0xF0000 + number:016x}", extras=extras))
    assert len(core.requests) == max_adopted
    assert core.limits.counts[Limit.ADOPTED_TASKS] == 5
    assert core.log.drain() == [LimitReached("adopted_tasks")]
    stage.machine(machine_id("m-1"), "end", f"{0xF0000:016x}", why=16)
    stage.client(offer(f"{0xF0000 + max_adopted:016x}", extras=extras))
    assert len(core.requests) == max_adopted
    assert core.limits.counts[Limit.ADOPTED_TASKS] == 5


def test_fields_of_an_adopted_task_that_only_its_machine_needs_are_not_kept() -> None:
    """Guards against 22,000 descriptions of 16 KiB each."""
    stage = CoreFixture()
    stage.client(offer(extras="cores:1;memory:2;service:b4;at:m-1", desc="x" * 15_000))
    request = stage.core.requests.get(CALL)
    assert request is not None
    assert request.spec.content == OfferContent()
    assert request.spec.running_on == ""
