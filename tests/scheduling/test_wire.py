"""The codec, on frames of the tests' own."""

from __future__ import annotations

import math
import struct

import frames
import pytest

from kelpfront.scheduling.actions import Bind, Fail, Reject, SetTimer, Subscribe
from kelpfront.scheduling.events import (
    AttemptClosed,
    AttemptOutcome,
    EndpointList,
    EndpointListKind,
    LoadReport,
    MachineState,
    OutcomeReason,
    TaskArrived,
    TimerFired,
)
from kelpfront.scheduling.settings import FailureDomain, Idempotency
from kelpfront.wire import (
    Decoder,
    HostAction,
    InstanceAction,
    InstanceFailed,
    InstanceStarted,
    InstanceStopped,
    InvalidSettings,
    WireError,
    encode_reply,
)

MACHINE = 0x0A0B0C0D << 16 | 8080


def test_a_batch_with_an_instance_its_list_and_a_task() -> None:
    _, number, events = Decoder().decode(
        frames.batch(
            4,
            77.5,
            frames.born(3),
            frames.inventory(2, (MACHINE, 1, 12.5), (MACHINE + 1, 2, -3.0)),
            frames.roster(3, 2, 2),
            frames.task(3, 41, bits=17),
        )
    )
    assert number == 4
    (_, started), (_, listed), (inst, arrived) = events
    assert isinstance(started, InstanceStarted)
    (cls,) = started.settings.classes
    assert (cls.idempotency, cls.idempotency_scope, cls.spread_domain) == (
        Idempotency.IDEMPOTENCY_KEY,
        FailureDomain.CELL,
        FailureDomain.CELL,
    )
    assert started.settings.endpoint_list_on_request
    assert not started.settings.accepted_when_running
    assert isinstance(listed, EndpointList)
    assert listed.kind is EndpointListKind.CACHED
    assert [(m.id, m.state, m.free_cores) for m in listed.endpoints] == [
        (MACHINE, MachineState.READY, 12.5),
        (MACHINE + 1, MachineState.DRAINING, -3.0),
    ]
    assert inst == 3
    assert arrived == TaskArrived(41, 0, 8, 1.0, 2.0, 3000.0, resubmitted=True)


def test_an_outcome_with_a_report_of_which_one_value_is_not_finite() -> None:
    decoder = Decoder()
    decoder.decode(frames.batch(1, 1.0, frames.born(3)))
    _, _, events = decoder.decode(
        frames.batch(2, 2.0, frames.closed(3, 41, MACHINE, 8, 2, 4.0, math.nan, 6.0))
    )
    load = LoadReport(free_cores=4.0, queue=6.0)
    assert events == [
        (
            3,
            AttemptClosed(
                41,
                0,
                MACHINE,
                AttemptOutcome.REJECTED,
                OutcomeReason.NO_MEMORY,
                task_finished=False,
                elapsed_ms=7.5,
                load=load,
            ),
        )
    ]


def test_a_list_number_is_looked_up_in_the_order_of_events() -> None:
    _, _, events = Decoder().decode(
        frames.batch(
            1,
            1.0,
            frames.inventory(0, (1, 1, 5.0)),
            frames.roster(3, 1, 0),
            frames.inventory(0, (2, 1, 5.0)),
            frames.roster(3, 0, 0),
        )
    )
    assert [event.endpoints[0].id for _, event in events if isinstance(event, EndpointList)] == [1, 2]


def test_small_records() -> None:
    _, _, events = Decoder().decode(
        frames.batch(1, 1.0, struct.pack(">BIQ", 7, 3, 99), struct.pack(">BI", 10, 3))
    )
    assert events == [(3, TimerFired(99)), (3, InstanceStopped())]


@pytest.mark.parametrize(
    ("name", "settings"),
    [
        ("Siblings", frames.info(Siblings=0)),
        ("FallMs", frames.info(Rules={"ColdMs": 1.0, "FallMultiple": 2.0})),
        ("Effect", frames.info(Categories=[{"Effect": "magic"}])),
        ("TickMs", frames.info(TickMs="soon")),
        ("Permissions", frames.info(Permissions=None)),
    ],
)
def test_missing_or_impossible_settings_are_named(name: str, settings: dict[str, object]) -> None:
    _, _, [(_, event)] = Decoder().decode(frames.batch(1, 1.0, frames.born(3, settings)))
    assert isinstance(event, InvalidSettings)
    assert name.lower() in event.text.lower()


GOOD = frames.batch(1, 1.0, frames.task(3, 41))


@pytest.mark.parametrize(
    ("frame", "message"),
    [
        (GOOD[:-1], "says"),
        (struct.pack(">I", len(GOOD) - 8) + GOOD[4:-8], "ends inside"),
        (frames.batch(1, 1.0, b"\xc8"), "unknown record code 200"),
        (frames.batch(1, 1.0, frames.roster(3, 1, 7)), "list number 7"),
        (frames.batch(1, 1.0, frames.inventory(16)), "list number 16"),
        (frames.batch(1, math.inf), "clock"),
        (frames.batch(1, 1.0, frames.closed(3, 1, 1, 77, 0)), "outcome 77"),
        (frames.batch(1, 1.0)[:10], "header"),
        (struct.pack(">I", len(GOOD) + 1) + GOOD[4:] + b"x", "behind the last record"),
    ],
)
def test_malformed_frames_are_reported_with_their_error(frame: bytes, message: str) -> None:
    with pytest.raises(WireError, match=message):
        Decoder().decode(frame)


def test_replies() -> None:
    actions: list[HostAction] = [
        Bind(41, MACHINE, 80.0),
        SetTimer(5.5, 2),
        Subscribe(on=True),
        Reject(41),
        Fail(41),
        InstanceFailed("no"),
    ]
    reply = encode_reply(9, [InstanceAction(3, action) for action in actions])
    expected = (
        struct.pack(">BIQdIH", 8, 3, 41, 80.0, 0x0A0B0C0D, 8080)
        + struct.pack(">BIdQ", 13, 3, 5.5, 2)
        + b"\x01\x00\x00\x00\x03\x01"
        + struct.pack(">BIQd", 4, 3, 41, 0.0)
        + struct.pack(">BIQ", 12, 3, 41)
        + b"\x05\x00\x00\x00\x03\x00\x02no"
    )
    assert reply == struct.pack(">III", 12 + len(expected), 6, 9) + expected
