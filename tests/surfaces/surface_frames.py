"""Samples of binary wires: the simulator's frames and watchers' datagrams."""

from __future__ import annotations

import dataclasses
import struct
from typing import Any

from surface_golden import as_hex, as_json, from_hex, golden, values

from kelpfront import wire as simulator
from kelpfront.failure_detection import digest
from kelpfront.scheduling.actions import (
    Bind,
    CancelAttempt,
    CheckHealth,
    Fail,
    FetchEndpointList,
    LogMachineEjected,
    Migrate,
    Reject,
    SetTimer,
    Subscribe,
)
from kelpfront.scheduling.events import LoadReport

_ADDRESS, _PORT, _INSTANCE = 0x0A0B0C0D, 8080, 3


def simulator_batch() -> bytes:
    """One of each record, by the wire's description, without the program's help."""
    info = golden("simulator-settings.json").strip()
    seated = struct.pack(">BIQHIHd", 4, _INSTANCE, 41, 0, _ADDRESS, _PORT, 12.5)
    records = [
        struct.pack(">BIQI", 1, _INSTANCE, 5, len(info)) + info,
        struct.pack(">BII", 13, 2, 2),
        struct.pack(">BHfBffHIHd", 0, 1, 30.0, 1, 12.5, 1.0, 0, _ADDRESS, _PORT, 3.5),
        struct.pack(">BHfBffHIHd", 1, 2, 31.0, 2, 13.5, 2.0, 1, _ADDRESS, _PORT + 1, 4.5),
        *(struct.pack(">BIBII", 2, _INSTANCE, mode, 7, 2) for mode in range(4)),
        struct.pack(">BIQBHQddQffB", 3, _INSTANCE, 41, 0, 4, 9, 3000.0, 2.0, 8, 1.0, 2.0, 17),
        seated,
        *(_closed(outcome, remark) for remark, outcome in enumerate((0, 1, 4, 8, 9, 10, 13, 14))),
        struct.pack(">BIQ", 6, _INSTANCE, 42),
        struct.pack(">BIQ", 7, _INSTANCE, 99),
        *(_probed(state) for state in (0, 4, 8)),
        struct.pack(">BIIH", 9, _INSTANCE, 1, 3) + b"abc",
        struct.pack(">BIQBHQddQffBIH", 11, _INSTANCE, 43, 0, 4, 9, 3e3, 2.0, 8, 1.0, 2.0, 0, _ADDRESS, _PORT),
        *(struct.pack(">BIQHIHBf", 12, _INSTANCE, 41, 0, _ADDRESS, _PORT, n, 0.5) for n in range(1, 7)),
        struct.pack(">BI", 10, _INSTANCE),
    ]
    body = b"".join(records)
    count = len(records) - 2  # the two machines are part of their list
    return struct.pack(">IdII", 20 + len(body), 77.5, count, 4) + body


def _closed(outcome: int, remark: int) -> bytes:
    head = struct.pack(
        ">BIQIHBdHIHB", 5, _INSTANCE, 41, remark, 1, outcome % 2, 7.5, outcome, _ADDRESS, _PORT, 4
    )
    return head + struct.pack(">4f", 1.5, 2.5, 3.0, 0.5)


def _probed(state: int) -> bytes:
    head = struct.pack(">BIIHHdB", 8, _INSTANCE, _ADDRESS, _PORT, state, 6.5, 4)
    return head + struct.pack(">4f", 1.5, 2.5, 3.0, 0.5)


def simulator_batch_hex() -> bytes:
    return as_hex([("batch", simulator_batch())])


def simulator_batch_read() -> bytes:
    clock, number, events = simulator.Decoder().decode(from_hex(golden("simulator-batch.hex"))["batch"])
    load_fields = [field.name for field in dataclasses.fields(LoadReport)]
    shown = []
    for instance, event in events:
        if isinstance(event, simulator.InstanceStarted):
            its_load = [load_fields.index(name) for name in event.load_names]
            shown.append([instance, [event.seed, values(event.settings), its_load]])
        else:
            shown.append([instance, values(event)])
    return as_json([clock, number, shown])


def simulator_replies() -> bytes:
    """A reply with one of each action."""
    ident = _ADDRESS << 16 | _PORT
    actions: list[tuple[str, Any]] = [
        ("bind", Bind(41, ident, 80.0)),
        ("refuse", Reject(41, 12.5)),
        ("fail", Fail(41)),
        ("cancel-attempt", CancelAttempt(41, 1)),
        ("move", Migrate(41)),
        ("probe", CheckHealth(ident, 50.0)),
        ("set-timer", SetTimer(5.5, 2)),
        ("subscribe", Subscribe(True)),
        ("unsubscribe", Subscribe(False)),
        ("fetch-list", FetchEndpointList()),
        ("log", LogMachineEjected(ident, "once", "timed out", 1500.0)),
        ("bail-out", simulator.InstanceFailed("no")),
    ]
    records = [simulator.InstanceAction(_INSTANCE, action) for _, action in actions]
    names = [name for name, _ in actions]
    frames = [(name, simulator.encode_reply(9, [it])) for name, it in zip(names, records, strict=True)]
    return as_hex([*frames, ("all", simulator.encode_reply(10, records))])


def datagrams() -> bytes:
    hello = digest.Hello(0x0102030405060708, 1_234_567)
    sections = [digest.Section(0xDEADBEEF, 12, 0xABC), digest.Section(7, 9, 0x1FF, 0x101)]
    packed = [digest.pack_section(section) for section in sections]
    told = digest.pack_digest(digest.DigestHeader(99, 5, hello, 2_000, -3_000), packed)
    return as_hex([("hello", digest.pack_hello(hello)), ("digest", told)])


def datagrams_read() -> bytes:
    return as_json({name: digest.unpack(data) for name, data in from_hex(golden("datagrams.hex")).items()})
