"""Messages, configuration, events and the core of the placer in service, without sockets."""

from __future__ import annotations

import json
import math
from typing import Any

import platforms
import pytest
from hypothesis import given
from hypothesis import strategies as st
from platforms import config

from kelpfront.lab.platform import CALL, DESC, Json, event, line, member, offer
from kelpfront.platform import client_connections, idle_connections, messages, requests
from kelpfront.platform.config import ConfigError, config_of
from kelpfront.platform.core import PlacerCore
from kelpfront.platform.descriptor_shares import ACCEPT_BURST, MIN_CLIENT_CONNECTIONS, DescriptorShares
from kelpfront.platform.endpoint_events import InvalidEventError, parse_events
from kelpfront.platform.idle_connections import ConnectionActivity, EvictionOrder, PartialLine
from kelpfront.platform.intents import (
    AbandonAttempt,
    ForgetMachine,
    KeepConnected,
    Offer,
    SendHealthCheck,
    SendToClient,
    SendToMachine,
)
from kelpfront.platform.limits import Limit
from kelpfront.platform.log_records import LimitReached, MachineEjected
from kelpfront.platform.messages import MAX_LINE_BYTES, Cause, InvalidMessageError, decode, machine_id
from kelpfront.platform.sessions import UNDELIVERED_END_TTL_MS
from kelpfront.platform.timeouts import (
    DRAIN_SERVE_MS,
    UNLISTED_MACHINE_MS,
    ReachabilityCheck,
    ShutdownSchedule,
)
from kelpfront.scheduling.actions import Migrate
from kelpfront.scheduling.events import AttemptOutcome, LoadReport, MachineState, OutcomeReason
from kelpfront.scheduling.scheduler import Scheduler

NOW = 1_790_000_000_000.0


class Stage:
    """A core with its list, one owner's connection, and what it wanted done so far."""

    def __init__(self, *members: Json) -> None:
        self.config = config(*(members or (member("m-1"), member("m-2"))))
        self.core = PlacerCore(self.config, Scheduler(self.config.settings, 7))
        self.now = NOW
        self.told: list[tuple[int, Json]] = []
        self.done: list[Any] = []
        self.core.apply_endpoint_events(self.now, *parse_events(self.config.known, self.config))
        self.take()
        self.core.sessions.open(self.now, 1, "127.0.0.5")

    def events(self, raw: Json) -> None:
        self.core.apply_endpoint_events(self.now, *parse_events(raw, self.config))
        self.core.freshness.on_answer(self.now)
        self.take()

    def take(self) -> None:
        for intent in self.core.outbox.drain():
            if isinstance(intent, SendToClient):
                self.told += [(intent.connection, json.loads(part)) for part in intent.data.splitlines()]
            else:
                self.done.append(intent)

    def owner(self, data: bytes, conn: int = 1) -> bool:
        sound = self.core.on_client_message(self.now, conn, decode(data))
        self.core.submit_arrivals(self.now)
        self.take()
        return sound

    def machine(self, ident: int, op: str, call: str = CALL, **fields: Any) -> None:
        found = self.core.requests.get(call)
        number = fields.pop(
            "number", None if found is None or found.attempt is None else found.attempt.number
        )
        self.core.on_machine_message(self.now, ident, decode(line(op, call, **fields)), number)
        self.take()

    def later(self, ms: float) -> None:
        until = self.now + ms
        while (due := self.core.timers.next()) <= until:
            self.now = max(self.now, due)
            self.core.timers.run(self.now)
            self.take()
        self.now = until

    def written(self, call: str = CALL) -> Offer:
        """The last offer of the call, after it has gone out."""
        last = [i for i in self.done if isinstance(i, Offer) and i.request_id == call][-1]
        assert self.core.encode_offer(self.now, last.key) is not None
        return last

    def placed(self, call: str = CALL, **changes: Any) -> int:
        self.owner(offer(call, **changes))
        machine = self.written(call).machine
        self.machine(machine, "accept", call, desc="given")
        return machine

    def call(self, call: str = CALL) -> requests.PendingRequest:
        found = self.core.requests.get(call)
        assert found is not None
        return found

    def of(self, kind: type) -> list[Any]:
        return [intent for intent in self.done if isinstance(intent, kind)]


# ---- Messages ---------------------------------------------------------------------------------------------


@given(st.binary(max_size=200))
def test_any_bytes_are_a_message_or_a_named_error(data: bytes) -> None:
    message, error = None, ""
    try:
        message = decode(data)
    except InvalidMessageError as raised:
        error = str(raised)
    assert error or (message is not None and len(message.call) == 16)


@pytest.mark.parametrize(
    "data",
    [
        b"{}",
        b"[]",
        b'{"op":"offer","call":"xyz","with":{}}',
        b'{"op":"offer","call":"00000000000000g1","with":{}}',
        b'{"op":1,"call":"00000000000000a1"}',
        b'{"op":"end","call":"00000000000000a1","why":"x"}',
        b'{"op":"end","call":"00000000000000a1","with":{"a":[1]}}',
        b"[" * 9000,
        b'{"op":"\xff","call":"00000000000000a1"}',
        b" " * (MAX_LINE_BYTES + 1),
    ],
)
def test_a_bad_line_is_an_error(data: bytes) -> None:
    with pytest.raises(InvalidMessageError):
        decode(data)


@pytest.mark.parametrize(
    ("changes", "names"),
    [
        ({"cls": "none such"}, "class"),
        ({"left": "-5"}, "left"),
        ({"left": "0"}, "left"),
        ({"left": "1e300"}, "left"),
        ({"left": "soon"}, "left"),
        ({"left": "nan"}, "left"),
        ({"left": ""}, "left"),
        ({"extras": "cores:-1;memory:2;service:1"}, "cores"),
        ({"extras": "cores:1e9;memory:2;service:1"}, "cores"),
        ({"extras": "cores:inf;memory:2;service:1"}, "cores"),
        ({"extras": "cores:1;service:1"}, "memory"),
        ({"extras": "cores:1;memory:2;service:zz"}, "service"),
        ({"with_": {"key": ""}}, "key"),
        ({"cls": "keyed", "with_": {"idem": ""}}, "idem"),
        ({"desc": ""}, "desc"),
    ],
)
def test_a_set_up_that_cannot_be_is_an_error_that_names_the_field(
    changes: dict[str, Any], names: str
) -> None:
    with pytest.raises(InvalidMessageError, match=names):
        messages.parse_request(decode(offer(**changes)), config(member("m-1")).settings)


def test_a_set_up_goes_on_with_what_machines_are_to_see_and_no_more() -> None:
    asked = messages.parse_request(decode(offer(cls="keyed")), config(member("m-1")).settings)
    sent = json.loads(asked.encode_offer("keyed", 812.4))
    assert sent == {
        "op": "offer",
        "call": CALL,
        "with": {"class": "keyed", "left": "812", "key": "7f3a9c21e0b4d655", "idem": "5c0f"},
        "desc": DESC,
    }


def test_reports_and_causes_of_machines() -> None:
    def said(**fields: Any) -> messages.Message:
        return decode(line("end", **fields))

    assert messages.parse_load(said(with_={"load": "x0:12;x1:40;queue:3;new:9;x1:nan"})) == LoadReport(
        12.0, 40.0, 3.0
    )
    assert messages.parse_load(said(with_={"load": ";:;x0:a"})) is None
    assert messages.parse_outcome(said(why=34, with_={"note": "nm"}), accepted=False) == (
        AttemptOutcome.REJECTED,
        OutcomeReason.NO_MEMORY,
    )
    assert messages.parse_outcome(said(why=47), accepted=False) == (
        AttemptOutcome.ERROR,
        OutcomeReason.UNSPECIFIED,
    )
    assert messages.parse_outcome(said(why=102), accepted=False) == (
        AttemptOutcome.NOT_SENT,
        OutcomeReason.UNSPECIFIED,
    )
    assert messages.parse_outcome(said(why=41), accepted=False)[0] is AttemptOutcome.RESET
    assert messages.parse_outcome(said(why=16), accepted=False) == (
        AttemptOutcome.RESET,
        OutcomeReason.NOT_HERE,
    )
    assert messages.parse_outcome(said(why=16), accepted=True)[0] is AttemptOutcome.ENDED
    assert messages.parse_outcome(said(why=41, with_={"note": "ev"}), accepted=True) == (
        AttemptOutcome.RESET,
        OutcomeReason.EVICTED,
    )
    assert messages.parse_outcome(said(why=31), accepted=True)[0] is AttemptOutcome.CANCELLED


# ---- Configuration and events -----------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("changes", "names"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"coordinator": 5}, "coordinator"),
        ({"limits": {"sockets": 3}}, "sockets"),
        ({"seed": "xyz"}, "seed"),
        ({"known": []}, "known"),
        ({"settings": {}}, "settings"),
        ({"settings": platforms.info(Zones=None)}, "Zones"),
    ],
)
def test_a_bad_configuration_names_the_key(changes: dict[str, Any], names: str) -> None:
    with pytest.raises(ConfigError, match=names):
        config_of(platforms.raw_config() | changes)


def test_events_become_lists_and_bad_ones_are_refused_whole() -> None:
    its = config(member("m-1"))
    index, (first,) = parse_events(its.known, its)
    assert (index, first.complete, first.entries[0].name) == (1, True, "m-1")
    view = first.entries[0].endpoint
    assert (view.state, view.free_cores, view.free_memory) == (MachineState.READY, 20.0, 40.0)
    for broken in (
        {"phase": "Lost"},
        {"spare": [1]},
        {"host_port": "x"},
        {"cell": -1},
        {"up_since_ms": "now"},
    ):
        with pytest.raises(InvalidEventError):
            parse_events({"index": 2, "updates": [event(2, member("m-1", **broken))]}, its)
    shapes: list[Any] = [[], {"updates": 1}, {"updates": [1]}, {"updates": [{"index": "a"}]}]
    for bad in shapes:
        with pytest.raises(InvalidEventError):
            parse_events(bad, its)


def test_events_that_were_taken_are_not_taken_again() -> None:
    stage = Stage()
    drained = event(2, member("m-1", phase="Terminating"))
    stage.events({"index": 2, "updates": [drained]})
    stage.events({"index": 2, "updates": [event(1, member("m-1"), whole=True)]})
    assert stage.core.endpoints.machines[machine_id("m-1")].state is MachineState.DRAINING


# ---- One answer -------------------------------------------------------------------------------------------


def test_a_set_up_is_offered_accepted_released_and_forgotten() -> None:
    stage = Stage()
    machine = stage.placed()
    assert stage.told == [(1, {"op": "accept", "call": CALL, "with": {}, "desc": "given"})]
    assert stage.of(KeepConnected)
    stage.machine(machine, "accept", desc="twice")
    stage.machine(machine, "end", why=16)
    stage.machine(machine, "end", why=16)
    assert [message["op"] for _, message in stage.told] == ["accept", "end"]
    assert not stage.core.sessions.is_in_use(1)
    assert not stage.core.requests


def test_an_answer_from_another_machine_or_before_the_set_up_was_written_is_not_taken() -> None:
    stage = Stage()
    stage.owner(offer())
    sent = stage.of(Offer)[-1]
    stage.machine(sent.machine, "accept", desc="early")
    other = ({machine_id("m-1"), machine_id("m-2")} - {sent.machine}).pop()
    stage.written()
    stage.machine(other, "accept", desc="foreign")
    assert stage.told == []


def test_what_a_machine_did_not_answer_is_given_up_there_before_it_is_sent_again() -> None:
    stage = Stage()
    stage.owner(offer(left="1500"))
    stage.written()
    stage.later(1400)
    kinds = [type(intent) for intent in stage.done]
    assert kinds[:3] == [Offer, AbandonAttempt, Offer]
    assert stage.done[1].key.attempt_number == 0
    assert stage.done[2].key.attempt_number == 1


def test_an_unsafe_task_whose_connection_broke_is_failed_at_once_not_refused() -> None:
    stage = Stage()
    stage.owner(offer(cls="once"))
    sent = stage.written()
    stage.core.on_attempt_failed(stage.now, sent.key, AttemptOutcome.RESET)
    stage.take()
    ((_, answer),) = stage.told
    assert answer["op"] == "end"
    assert answer["why"] not in messages.RETRYABLE_CAUSES
    assert len(stage.of(Offer)) == 1


def test_an_unsafe_task_that_was_never_written_goes_to_another_machine() -> None:
    stage = Stage()
    stage.owner(offer(cls="once"))
    sent = stage.of(Offer)[-1]
    stage.core.on_attempt_failed(stage.now, sent.key, AttemptOutcome.UNREACHABLE)
    stage.take()
    assert len(stage.of(Offer)) == 2
    assert not stage.told


def test_what_cannot_be_placed_is_answered_in_time_and_only_once() -> None:
    stage = Stage(member("m-1", phase="Terminating"))
    stage.owner(offer(left="900"))
    stage.later(900)
    assert [(message["op"], message["why"]) for _, message in stage.told] == [("end", Cause.CONGESTION)]
    stage.later(5000)
    assert len(stage.told) == 1


def test_nothing_is_written_to_a_machine_that_drains_meanwhile() -> None:
    stage = Stage()
    stage.owner(offer(cls="once"))
    sent = stage.of(Offer)[-1]
    name = next(m.name for m in stage.core.endpoints.machines.values() if m.id == sent.machine)
    stage.events({"index": 2, "updates": [event(2, member(name, phase="Terminating"))]})
    assert stage.core.encode_offer(stage.now, sent.key) is None
    stage.take()
    assert stage.of(Offer)[-1].machine != sent.machine


def test_an_owner_that_gives_up_is_owed_nothing_and_the_machine_is_told() -> None:
    stage = Stage()
    stage.owner(offer())
    sent = stage.written()
    stage.owner(line("end", why=16))
    assert stage.of(AbandonAttempt)[0].machine == sent.machine
    stage.machine(sent.machine, "accept", desc="late")
    stage.owner(line("end", why=16))
    assert [message["op"] for _, message in stage.told] == ["ended"]


# ---- Standing tasks ---------------------------------------------------------------------------------------


def test_an_owner_ends_a_task_on_any_connection_and_is_owed_no_release() -> None:
    stage = Stage()
    machine = stage.placed()
    stage.core.sessions.open(stage.now, 2, "127.0.0.5")
    stage.owner(line("end", why=16), conn=2)
    assert stage.of(SendToMachine)[0].machine == machine
    stage.machine(machine, "end", why=31)
    assert [message["op"] for _, message in stage.told] == ["accept", "ended"]


def test_a_move_is_told_to_owner_and_machine_and_no_release_follows() -> None:
    stage = Stage()
    machine = stage.placed()
    stage.core.carry_out(stage.now, Migrate(stage.call().task))
    stage.take()
    assert stage.of(SendToMachine)[0].machine == machine
    stage.machine(machine, "end", why=31)
    stage.owner(line("end", why=16))
    assert [message["op"] for _, message in stage.told] == ["accept", "redirect", "ended"]


def test_what_an_owner_says_of_a_task_before_its_machine_is_listed_reaches_the_machine() -> None:
    stage = Stage()
    stage.owner(offer(extras="cores:1;memory:2;service:b4;at:m-9"))
    stage.owner(line("end", why=16))
    stage.events({"index": 2, "updates": [event(2, member("m-9"))]})
    assert [intent.machine for intent in stage.of(SendToMachine)] == [machine_id("m-9")]


def test_ends_of_owner_and_machine_that_cross_are_each_heard_and_told_once() -> None:
    stage = Stage()
    machine = stage.placed()
    stage.machine(machine, "end", why=16)
    stage.owner(line("end", why=16))
    stage.machine(machine, "end", why=31)
    assert [message["op"] for _, message in stage.told] == ["accept", "end", "ended"]


def test_a_new_machine_at_the_address_of_one_that_is_gone_is_another_machine() -> None:
    stage = Stage(member("m-1", "127.0.0.1:7"))
    stage.placed()
    gone, fresh = member("m-1", "127.0.0.1:7", "Gone"), member("m-2", "127.0.0.1:7")
    stage.events({"index": 2, "updates": [event(2, gone, fresh)]})
    stage.machine(machine_id("m-2"), "end", why=16)
    assert [message["why"] for _, message in stage.told if message["op"] == "end"] == [41]
    assert stage.of(ForgetMachine)[0].machine == machine_id("m-1")
    stage.owner(offer("00000000000000a2"))
    assert stage.of(Offer)[-1].machine == machine_id("m-2")


def test_four_attempts_are_made_and_no_more() -> None:
    stage = Stage(*(member(f"m-{n}") for n in range(1, 8)))
    stage.owner(offer(left="3000"))
    for _ in range(8):
        open_offers = [i for i in stage.of(Offer) if stage.core.encode_offer(stage.now, i.key) is not None]
        for sent in open_offers:
            stage.machine(sent.machine, "end", why=47)
    assert len(stage.of(Offer)) == stage.config.settings.max_attempts
    assert [message["op"] for _, message in stage.told] == ["end"]


def test_a_release_whose_connection_is_gone_goes_on_another_of_its_owner() -> None:
    stage = Stage()
    machine = stage.placed()
    stage.core.sessions.open(stage.now, 2, "127.0.0.5")
    stage.core.sessions.open(stage.now, 3, "127.0.0.6")
    stage.core.on_client_disconnected(stage.now, 1)
    stage.machine(machine, "end", why=16)
    assert stage.told[-1][0] == 2
    assert stage.told[-1][1]["op"] == "end"


def test_a_release_with_no_connection_waits_for_the_next_while_it_is_owed() -> None:
    stage = Stage()
    for call, wait in ((CALL, 100.0), ("00000000000000a2", UNDELIVERED_END_TTL_MS + 1)):
        stage.core.sessions.open(stage.now, 2, "127.0.0.7")
        machine = stage.placed(call)
        stage.core.on_client_disconnected(stage.now, 1)
        stage.core.on_client_disconnected(stage.now, 2)
        stage.machine(machine, "end", call, why=16)
        stage.later(wait)
        stage.told.clear()
        stage.core.sessions.open(stage.now, 1, "127.0.0.5")
        stage.take()
        assert [message["op"] for _, message in stage.told] == (
            ["end"] if wait < UNDELIVERED_END_TTL_MS else []
        )


def test_a_task_that_is_handed_over_is_not_answered_and_its_end_is_told() -> None:
    stage = Stage()
    extras = "cores:1;memory:2;service:b4;at:m-1"
    stage.owner(offer(left="4294967", extras=extras))
    stage.owner(offer(left="4294967", extras=extras))
    assert stage.told == []
    assert stage.of(KeepConnected)[0].machine == machine_id("m-1")
    stage.machine(machine_id("m-1"), "end", why=16)
    assert [message["op"] for _, message in stage.told] == ["end"]


def test_a_release_that_comes_before_its_task_is_handed_over_is_told_when_it_is() -> None:
    """Guards against tasks of a former life that would be held for good: machines tell of an end once."""
    stage = Stage()
    stage.machine(machine_id("m-1"), "end", why=16)
    stage.owner(offer(extras="cores:1;memory:2;service:b4;at:m-1"))
    assert [message["why"] for _, message in stage.told] == [16]
    assert not stage.core.requests


def test_a_task_handed_over_on_a_machine_that_is_never_listed_is_over() -> None:
    stage = Stage()
    stage.owner(offer(extras="cores:1;memory:2;service:b4;at:m-9"))
    stage.later(1000)
    stage.events({"index": 1, "updates": []})  # nothing new, says the list
    assert stage.told == []
    stage.later(2000)
    assert [message["op"] for _, message in stage.told] == ["end"]
    assert not stage.core.adopted_tasks
    assert not stage.core.requests


def test_a_task_handed_over_in_an_outage_of_the_list_is_not_given_up_for_it() -> None:
    """Guards against a task told over that runs on: its owner would have it started anew."""
    stage = Stage()
    stage.owner(offer(cls="once", extras="cores:1;memory:2;service:1;at:m-9"))
    stage.later(UNLISTED_MACHINE_MS + 1.0)
    assert stage.told == []
    stage.later(UNLISTED_MACHINE_MS)
    stage.events({"index": 2, "updates": [event(2, member("m-9"))]})
    stage.later(UNLISTED_MACHINE_MS)
    assert stage.told == []
    assert stage.core.has_running_tasks(machine_id("m-9"))


def test_the_end_of_a_task_handed_over_is_told_while_it_is_owed_though_the_list_is_silent() -> None:
    stage = Stage()
    stage.owner(offer(cls="once", extras="cores:1;memory:2;service:1;at:m-9"))
    stage.later(8_000.0)
    assert [message["op"] for _, message in stage.told] == ["end"]


def test_a_task_handed_over_before_its_machine_is_listed_stands() -> None:
    stage = Stage()
    stage.owner(offer(extras="cores:1;memory:2;service:b4;at:m-9"))
    stage.events({"index": 2, "updates": [event(2, member("m-9"))]})
    stage.later(3000)
    assert stage.told == []
    assert stage.core.has_running_tasks(machine_id("m-9"))


@pytest.mark.parametrize("how", ["refused", "restarted", "gone"])
def test_tasks_end_with_their_machine(how: str) -> None:
    stage = Stage()
    ident = stage.placed()
    name = stage.core.endpoints.machines[ident].name
    if how == "refused":
        stage.core.on_machine_process_dead(stage.now, ident)
    else:
        now = member(name, up_since_ms=NOW) if how == "restarted" else member(name, address="", phase="Gone")
        stage.events({"index": 2, "updates": [event(2, now)]})
    stage.take()
    assert [message["op"] for _, message in stage.told] == ["accept", "end"]
    assert (len(stage.of(ForgetMachine)) == 1) is (how == "gone")
    assert not stage.core.requests


def test_a_machine_that_falls_silent_is_asked_and_its_tasks_are_released_while_that_is_owed() -> None:
    """Guards against machines that are cut off: their connections stay open, and nobody tells of them."""
    stage = Stage(member("m-1"))
    stage.placed()
    stage.later(6900)
    assert [message["op"] for _, message in stage.told] == ["accept"]  # one cut off for some seconds runs on
    stage.later(1000)  # within 8 s of its end
    assert [message["op"] for _, message in stage.told] == ["accept", "end"]
    assert len(stage.of(SendHealthCheck)) >= 3


def test_a_machine_on_which_tasks_only_stand_is_asked_as_rarely_as_their_owners_allow() -> None:
    """Guards against sixteen placers that each ask nearly every machine by the second, all being well."""
    stage = Stage(member("m-1"))
    machine = stage.placed()
    stage.later(4000)
    assert not stage.of(SendHealthCheck)
    stage.machine(machine, "info", with_={"note": "c", "value": "0.5"})  # any word counts
    stage.later(4000)
    assert not stage.of(SendHealthCheck)
    stage.later(1000)
    assert len(stage.of(SendHealthCheck)) == 1


def test_a_machine_that_owes_an_answer_is_asked_soon() -> None:
    """Guards against set-ups that wait for their whole patience on a machine that fell silent."""
    stage = Stage(member("m-1"))
    stage.owner(offer(left="20000"))
    stage.written()
    stage.later(900)
    assert not stage.of(SendHealthCheck)
    stage.later(600)
    assert len(stage.of(SendHealthCheck)) == 1


def test_a_quiet_machine_that_answers_keeps_its_tasks() -> None:
    stage = Stage(member("m-1"))
    machine = stage.placed()
    answered = 0
    for _ in range(200):
        stage.later(100)
        for test in stage.of(SendHealthCheck)[answered:]:
            stage.machine(machine, "tested", test.check_id, why=1)
            answered += 1
    assert [message["op"] for _, message in stage.told] == ["accept"]
    assert answered >= 4


@pytest.mark.parametrize(("cls", "again"), [("easy", True), ("once", False)])
def test_what_waits_on_a_silent_machine_goes_elsewhere_only_where_that_does_no_harm(
    cls: str, *, again: bool
) -> None:
    stage = Stage()
    stage.owner(offer(cls=cls, left="20000"))
    silent = stage.written().machine
    stage.later(3500)
    offers = stage.of(Offer)
    assert (len(offers) == 2 and offers[1].machine != silent) is again
    assert any(intent.key.request_id == CALL for intent in stage.of(AbandonAttempt)) is again


def test_a_machine_that_fails_its_probes_is_there_and_keeps_what_waits() -> None:
    """Guards against hot machines, which fail a probe at once and answer the set-up soon after."""
    stage = Stage()
    stage.owner(offer(left="20000"))
    machine = stage.written().machine
    for _ in range(20):
        stage.later(300)
        for test in stage.of(SendHealthCheck):
            stage.machine(machine, "tested", test.check_id, why=0)
    assert len(stage.of(SendHealthCheck)) > 2
    assert not stage.of(AbandonAttempt)
    stage.machine(machine, "accept", desc="slow")
    assert [message["op"] for _, message in stage.told] == ["accept"]


@pytest.mark.parametrize(("cls", "why"), [("easy", 42), ("keyed", 41), ("once", 41)])
@pytest.mark.parametrize("sign", ["a note", "a reason"])
def test_a_task_that_ends_before_its_late_acknowledgement_is_told_and_not_tried_again(
    cls: str, why: int, sign: str
) -> None:
    """Guards against answers held up by a peer: it stood, its owner is owed the end soon."""
    stage = Stage()
    stage.owner(offer(cls=cls))
    machine = stage.written().machine
    if sign == "a note":
        stage.machine(machine, "info", with_={"note": "c", "value": "0.6"})
        stage.machine(machine, "end", why=41)
    else:
        stage.machine(machine, "end", why=41, with_={"note": "pre"})
    stage.machine(machine, "accept", desc="late")
    stage.later(5000)
    assert [(told["op"], told["why"]) for _, told in stage.told] == [("end", why)]
    assert len(stage.of(Offer)) == 1


def test_a_set_up_that_broke_without_a_sign_that_it_ran_is_tried_again_where_that_does_no_harm() -> None:
    stage = Stage()
    stage.owner(offer())
    stage.machine(stage.written().machine, "end", why=41)
    assert len(stage.of(Offer)) == 2
    assert not stage.told


# ---- Bad clients ------------------------------------------------------------------------------------------


def test_a_set_up_that_cannot_be_is_refused_at_once_and_never_sent() -> None:
    stage = Stage()
    assert not stage.owner(offer(left="-1"))
    assert [message["op"] for _, message in stage.told] == ["end"]
    assert not stage.of(Offer)


def test_the_id_of_an_open_set_up_from_elsewhere_harms_nothing() -> None:
    stage = Stage()
    stage.core.sessions.open(stage.now, 2, "127.0.0.66")
    stage.owner(offer())
    sent = stage.written()
    assert not stage.owner(offer(desc="other"), conn=2)
    assert [(conn, message["op"]) for conn, message in stage.told] == [(2, "end")]
    stage.owner(line("end", why=16), conn=2)
    stage.machine(sent.machine, "accept", desc="given")
    assert [(conn, message["op"]) for conn, message in stage.told][-1] == (1, "accept")


def test_two_set_ups_of_one_id_on_one_connection_are_one_refusal_and_nothing_stands() -> None:
    stage = Stage()
    stage.owner(offer())
    sent = stage.written()
    assert not stage.owner(offer(desc="other"))
    stage.machine(sent.machine, "accept", desc="late")
    assert [message["op"] for _, message in stage.told] == ["end"]
    assert stage.of(AbandonAttempt)
    assert not stage.core.requests


def test_set_ups_withdrawn_in_the_same_breath_are_never_sent() -> None:
    stage = Stage()
    for number in range(100):
        call = f"{number:016x}"
        stage.core.on_client_message(stage.now, 1, decode(offer(call)))
        stage.core.on_client_message(stage.now, 1, decode(line("end", call, why=16)))
    stage.owner(offer())
    assert [intent.request_id for intent in stage.of(Offer)] == [CALL]
    assert not stage.told


def test_errors_on_what_an_unknown_owner_sends_set_no_machine_aside() -> None:
    """Guards against bad clients that no check can tell: machines err on them, and are well."""
    stage = Stage()
    stage.core.sessions.open(stage.now, 2, "127.0.0.66")
    for conn, call in ((2, "00000000000000b1"), (2, "00000000000000b2"), (2, "00000000000000b3")):
        stage.owner(offer(call, cls="once"), conn=conn)
        stage.machine(stage.written(call).machine, "end", call, why=47)
    assert not stage.core.log
    stage.placed()
    for number in range(0xC1, 0xC5):
        call = f"{number:016x}"
        stage.owner(offer(call, cls="once"))
        if any(
            intent.request_id == call for intent in stage.of(Offer)
        ):  # none is sent once both are set aside
            stage.machine(stage.written(call).machine, "end", call, why=47)
    assert any(
        isinstance(record, MachineEjected) and record.scope == "once" for record in stage.core.log.drain()
    )


def test_machines_that_end_in_order_what_never_stood_are_not_set_aside() -> None:
    """Guards against a fleet set aside for tasks that are over: all machines end them in milliseconds."""
    stage = Stage()
    for number in range(0xD1, 0xD6):
        call = f"{number:016x}"
        stage.owner(offer(call, cls="once"))
        stage.machine(stage.written(call).machine, "end", call, why=16)
    assert [message["why"] for _, message in stage.told] == [Cause.TEMPORARY_FAILURE] * 5
    assert not stage.core.log


def test_lines_are_cut_wherever_they_are_split() -> None:
    cutter = messages.LineSplitter()
    assert cutter.feed(b"a\nbc") == [b"a"]
    assert cutter.has_partial_line
    assert cutter.feed(b"d\n\n") == [b"bcd", b""]
    assert not cutter.has_partial_line
    assert cutter.feed(b"x" * (MAX_LINE_BYTES - 1)) == []
    with pytest.raises(InvalidMessageError):
        cutter.feed(b"x")


@pytest.mark.parametrize("op", ["end", "info", "ringing", "nonsense", "redirect"])
def test_words_on_calls_that_never_were_are_not_sound_or_told_an_error(op: str) -> None:
    stage = Stage()
    sound = stage.owner(line(op, "00000000000000ff", why=16))
    assert not sound or [message["why"] for _, message in stage.told] == [Cause.UNKNOWN_CALL]


def test_what_has_been_leaves_nothing_behind_but_bounded_ids() -> None:
    stage = Stage()
    for number in range(300):
        call = f"{number:016x}"
        machine = stage.placed(call)
        stage.machine(machine, "end", call, why=16)
    stage.later(10_000)
    core = stage.core
    assert not core.requests
    assert not core.sessions.undelivered_count
    assert core.timers.next() == math.inf
    assert sum(core.requests.has_ended(f"{number:016x}") for number in range(300)) == 300
    assert not core.endpoints.machines[machine_id("m-1")].running


def test_room_is_made_by_who_never_spoke_then_by_who_is_idle_longest_never_by_who_waits() -> None:
    eviction: EvictionOrder[str] = EvictionOrder()
    opened = {"waits": 1.0, "idle": 2.0, "idle longer": 3.0, "silent longer": 5.0, "silent": 6.0, "new": 9.8}
    for name, at in (opened | {"just heard": 9.0}).items():
        eviction.on_opened(name, at)
        if name != "new":
            eviction.on_first_read(name)
    for name, at in (("waits", 1.5), ("idle", 2.5), ("idle longer", 3.5), ("idle", 4.0), ("just heard", 9.9)):
        eviction.on_active(name, at)
    order = []
    while (found := eviction.next_evicted(10.0, lambda name: name == "waits")) is not None:
        order.append(found)
        eviction.remove(found)
    assert order == ["silent longer", "silent", "idle longer", "idle"]
    eviction.on_first_read("new")
    assert eviction.next_evicted(10.0, lambda name: name == "waits") == "new"


def test_owners_and_machines_together_stay_within_the_descriptors() -> None:
    for sockets in (256, 784, 986):
        shares = DescriptorShares.of(sockets)
        assert shares.clients_beside(0) == shares.clients
        held = range(sockets - 64 - MIN_CLIENT_CONNECTIONS)
        assert all(shares.clients_beside(n) + n + 2 * ACCEPT_BURST < sockets for n in held)
        assert shares.clients_beside(2 * sockets) == MIN_CLIENT_CONNECTIONS


def test_a_crowd_that_comes_at_once_does_not_shut_out_what_it_brought() -> None:
    """Guards against connections closed in the turn in which they were opened, their set-ups unread."""
    order: EvictionOrder[int] = EvictionOrder()
    for number in range(100):
        order.on_opened(number, 1.0)
        assert order.next_evicted(9.0, lambda _: False) is None
    for number in range(100):
        order.on_first_read(number)
    assert (
        order.next_evicted(1.1, lambda _: False) == 0
    )  # they said nothing: silent ones do not shut out others


def test_calls_are_bounded_for_all_and_for_one_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(requests, "MAX_REQUESTS", 3)
    monkeypatch.setattr(requests, "MAX_REQUESTS_PER_CONNECTION", 2)
    stage = Stage()
    stage.core.sessions.open(stage.now, 2, "127.0.0.6")
    for number, conn in ((1, 1), (2, 1), (3, 1), (4, 2), (5, 2)):
        stage.owner(offer(f"{number:016x}"), conn=conn)
    refused = {message["call"][-1]: message["why"] for _, message in stage.told}
    assert refused == {"3": Cause.CONGESTION, "5": Cause.CONGESTION}
    reached = [record for record in stage.core.log.drain() if isinstance(record, LimitReached)]
    assert reached == [LimitReached("requests_per_connection"), LimitReached("requests")]


def test_22_000_tasks_may_be_handed_over_on_one_connection_and_asks_have_room_beside_them() -> None:
    """Guards against tasks that run and that nobody owns, where most placers of a region are lost."""
    stage = Stage()
    for number in range(22_000):
        extras = f"cores:0.01;memory:0.01;service:1;at:m-{1 + number % 2}"
        stage.core.on_client_message(stage.now, 1, decode(offer(f"{0xF0000 + number:016x}", extras=extras)))
    assert len(stage.core.requests) == stage.core.counters.adopted_tasks == 22_000
    assert not stage.core.limits.counts
    held = sum(len(machine.running) for machine in stage.core.endpoints.machines.values())
    assert held == 22_000
    stage.owner(offer())
    assert (
        stage.core.limits.counts[Limit.REQUESTS]
        == stage.core.limits.counts[Limit.REQUESTS_PER_CONNECTION]
        == 0
    )
    assert stage.core.requests.get(CALL) is not None


def test_tasks_handed_over_are_bounded_by_the_memory_of_the_settings_and_one_that_ends_makes_room() -> None:
    stage = Stage()
    most = requests.max_adopted_tasks(3.0)
    assert requests.max_adopted_tasks(192.0) > 22_000
    assert requests.max_adopted_tasks(1e-6) == 1
    assert most == 384
    limits = platforms.raw_config(member("m-1"))["limits"] | {"memory_mb": 3.0}
    its = config(member("m-1"), limits=limits)
    stage.core = core = PlacerCore(its, Scheduler(its.settings, 7))
    core.apply_endpoint_events(NOW, *parse_events(its.known, its))
    core.sessions.open(NOW, 1, "127.0.0.5")
    at = "cores:0.01;memory:0.01;service:1;at:m-1"
    for number in range(most + 5):
        stage.owner(offer(f"{0xF0000 + number:016x}", extras=at))
    assert len(core.requests) == most
    assert core.limits.counts[Limit.ADOPTED_TASKS] == 5
    assert core.log.drain() == [LimitReached("adopted_tasks")]
    stage.machine(machine_id("m-1"), "end", f"{0xF0000:016x}", why=16)
    stage.owner(offer(f"{0xF0000 + most:016x}", extras=at))
    assert len(core.requests) == most
    assert core.limits.counts[Limit.ADOPTED_TASKS] == 5


def test_nothing_is_kept_of_a_task_handed_over_that_only_its_machine_was_told() -> None:
    """Guards against 22,000 descriptions of 16 KiB each."""
    stage = Stage()
    stage.owner(offer(extras="cores:1;memory:2;service:b4;at:m-1", desc="x" * 15_000))
    found = stage.core.requests.get(CALL)
    assert found is not None
    assert found.spec.description == found.spec.key == found.spec.idempotency_key == ""


def test_a_process_is_dead_after_refusals_in_a_row() -> None:
    reach = ReachabilityCheck()
    assert not reach.on_refused()
    reach.on_no_response()
    assert [reach.on_refused(), reach.on_refused()] == [False, True]


def test_a_placer_told_to_end_answers_all_and_looks_after_what_stands_for_a_while() -> None:
    ending = ShutdownSchedule(begun_at=1000.0, longest_deadline_ms=4000.0)
    first, last = 1000.0 + DRAIN_SERVE_MS, 5000.0 + DRAIN_SERVE_MS
    assert not ending.is_over(first - 1, 0, 0)
    assert ending.is_over(first, 0, 0)
    assert not ending.is_over(last - 1, 0, 5)
    assert ending.is_over(last, 0, 5)
    assert not ending.is_over(last, 1, 1)


def test_a_connection_that_says_nothing_sound_is_closed_within_the_time() -> None:
    def closed(
        opened: float, heard: float, now: float, *, carries: bool = False, line: PartialLine | None = None
    ) -> bool:
        return ConnectionActivity(opened, heard, carries, line).is_closed_at(now)

    assert not closed(10.0, -1.0, 11.0)
    assert closed(10.0, -1.0, 10.0 + idle_connections.NO_VALID_MESSAGE_S)
    assert not closed(10.0, -1.0, 99.0, carries=True)
    assert not closed(10.0, 11.0, 99.0)
    begun = PartialLine.after_read(None, 20.0, has_ended=False, has_partial=True)
    assert begun == PartialLine(20.0, 20.0)
    assert not closed(10.0, 11.0, 20.0 + idle_connections.FRAGMENT_S - 0.1, line=begun)
    assert closed(10.0, 11.0, 20.0 + idle_connections.FRAGMENT_S, line=begun)
    assert not closed(10.0, 11.0, 99.0, carries=True, line=begun)
    grown = PartialLine.after_read(
        begun, 20.0 + idle_connections.LINE_S - 0.1, has_ended=False, has_partial=True
    )
    assert not closed(10.0, 11.0, 20.0 + idle_connections.LINE_S - 0.1, line=grown)
    assert closed(10.0, 11.0, 20.0 + idle_connections.LINE_S, line=grown)  # however it trickles in
    assert PartialLine.after_read(grown, 50.0, has_ended=True, has_partial=True) == PartialLine(50.0, 50.0)
    assert PartialLine.after_read(grown, 50.0, has_ended=True, has_partial=False) is None
    # Half a request and no more, on a new connection: 3 s from its opening, a sweep included.
    assert not closed(19.0, -1.0, 19.0 + idle_connections.FIRST_LINE_S - 0.1, line=begun)
    assert closed(19.0, -1.0, 19.0 + idle_connections.FIRST_LINE_S, line=begun)
    assert closed(19.0, -1.0, 19.0 + idle_connections.FIRST_LINE_S, line=PartialLine(20.0, 21.4))
    assert not closed(19.0, -1.0, 99.0, carries=True, line=begun)
    assert idle_connections.FIRST_LINE_S + client_connections.SWEEP_S < 3.0


def test_an_offer_that_was_decided_for_a_machines_former_life_is_not_sent_to_the_next() -> None:
    """Guards against a cold machine that gets what a warm one was chosen for, beside its turns."""
    stage = Stage(member("m-1"))
    stage.owner(offer(left="3000"))
    (out,) = [intent for intent in stage.done if isinstance(intent, Offer)]
    stage.now += 10.0
    stage.events({"index": 2, "updates": [event(2, member("m-1", up_since_ms=stage.now - 1.0))]})
    assert stage.core.encode_offer(stage.now, out.key) is None
    assert stage.core.counters.attempt_outcomes[AttemptOutcome.NOT_SENT] == 1
    stage.take()
    stage.owner(offer("00000000000000a2"))  # what is decided from now on knows of it
    assert all(
        i.request_id != "00000000000000a2" or stage.core.encode_offer(stage.now, i.key)
        for i in stage.done
        if isinstance(i, Offer)
    )
