"""The codec of the simulator's protocol, on frames built by `frames`."""

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


def test_a_batch_with_a_start_an_endpoint_list_and_a_task_is_decoded() -> None:
    _, number, events = Decoder().decode(
        frames.batch(
            4,
            77.5,
            frames.instance_started(3),
            frames.endpoint_list(2, (MACHINE, 1, 12.5), (MACHINE + 1, 2, -3.0)),
            frames.list_update(3, 2, 2),
            frames.task_arrived(3, 41, bits=17),
        )
    )
    assert number == 4
    (_, started), (_, listed), (instance, arrived) = events
    assert isinstance(started, InstanceStarted)
    (task_class,) = started.settings.classes
    assert (task_class.idempotency, task_class.idempotency_scope, task_class.spread_domain) == (
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
    assert instance == 3
    assert arrived == TaskArrived(41, 0, 8, 1.0, 2.0, 3000.0, resubmitted=True)


def test_a_load_value_that_is_not_finite_is_left_out_of_the_report() -> None:
    decoder = Decoder()
    decoder.decode(frames.batch(1, 1.0, frames.instance_started(3)))
    _, _, events = decoder.decode(
        frames.batch(2, 2.0, frames.attempt_closed(3, 41, MACHINE, 8, 2, 4.0, math.nan, 6.0))
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


def test_a_redefined_list_number_applies_only_to_later_records() -> None:
    _, _, events = Decoder().decode(
        frames.batch(
            1,
            1.0,
            frames.endpoint_list(0, (1, 1, 5.0)),
            frames.list_update(3, 1, 0),
            frames.endpoint_list(0, (2, 1, 5.0)),
            frames.list_update(3, 0, 0),
        )
    )
    assert [event.endpoints[0].id for _, event in events if isinstance(event, EndpointList)] == [1, 2]


def test_timer_and_stop_records_are_decoded() -> None:
    _, _, events = Decoder().decode(
        frames.batch(1, 1.0, struct.pack(">BIQ", 7, 3, 99), struct.pack(">BI", 10, 3))
    )
    assert events == [(3, TimerFired(99)), (3, InstanceStopped())]


@pytest.mark.parametrize(
    ("name", "settings"),
    [
        ("Siblings", frames.start_record(Siblings=0)),
        ("FallMs", frames.start_record(Rules={"ColdMs": 1.0, "FallMultiple": 2.0})),
        ("Effect", frames.start_record(Categories=[{"Effect": "magic"}])),
        ("TickMs", frames.start_record(TickMs="soon")),
        ("Permissions", frames.start_record(Permissions=None)),
    ],
)
def test_missing_or_invalid_settings_are_named_in_the_error(name: str, settings: dict[str, object]) -> None:
    _, _, [(_, event)] = Decoder().decode(frames.batch(1, 1.0, frames.instance_started(3, settings)))
    assert isinstance(event, InvalidSettings)
    assert name.lower() in event.text.lower()


VALID_FRAME = frames.batch(1, 1.0, frames.task_arrived(3, 41))


@pytest.mark.parametrize(
    ("frame", "message"),
    [
        (VALID_FRAME[:-1], "declares a length"),
        (struct.pack(">I", len(VALID_FRAME) - 8) + VALID_FRAME[4:-8], "ends inside"),
        (frames.batch(1, 1.0, b"\xc8"), "unknown record code 200"),
        (frames.batch(1, 1.0, frames.list_update(3, 1, 7)), "list number 7"),
        (frames.batch(1, 1.0, frames.endpoint_list(16)), "list number 16"),
        (frames.batch(1, math.inf), "clock"),
        (frames.batch(1, 1.0, frames.attempt_closed(3, 1, 1, 77, 0)), "outcome 77"),
        (frames.batch(1, 1.0)[:10], "header"),
        (struct.pack(">I", len(VALID_FRAME) + 1) + VALID_FRAME[4:] + b"x", "after the last record"),
    ],
)
def test_malformed_frames_raise_an_error_that_describes_the_fault(frame: bytes, message: str) -> None:
    with pytest.raises(WireError, match=message):
        Decoder().decode(frame)


def test_a_reply_holds_its_actions_in_order() -> None:
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
