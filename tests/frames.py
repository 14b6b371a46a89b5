"""Builds the simulator's frames for tests, independently of the codec under test."""

from __future__ import annotations

import json
import struct
from typing import Any


def batch(number: int, now: float, *records: bytes) -> bytes:
    body = b"".join(records)
    return struct.pack(">IdII", 20 + len(body), now, len(records), number) + body


def start_record(**changes: Any) -> dict[str, Any]:
    defaults: dict[str, Any] = {
        "Categories": [
            {
                "AimMs": 800.0,
                "DeadlineMs": 3000.0,
                "Effect": "guarded",
                "Group": "cell",
                "LateWorth": 0.1,
                "Name": "loader",
                "WindowMs": 6000.0,
                "Worth": 2.0,
            }
        ],
        "FamilyInfo": {
            "AcceptsMemory": 1.3,
            "Ack": "accepted",
            "ApartBy": ["cell"],
            "ClassCalm": [0.7],
            "CpuBooking": 2.2,
            "FreeBy": "used",
            "ListsFree": True,
            "MeanMemory": 1.5,
            "MemOfKind": [40.0],
            "NeedsKind": [-1],
            "SizeCores": [22],
            "TogetherMax": [3],
            "UsualCores": 1.1,
            "YoungLimit": 9.0,
        },
        "Me": 1,
        "Permissions": {"Cancelling": True, "ConnectTimeoutMs": 200.0, "MaxAttempts": 3, "MayProbe": True},
        "RegistryMode": "on_request",
        "Rules": {"AskWithinMs": 9000.0, "ColdMs": 12000.0, "FallMs": 1500.0, "FallMultiple": 2.0},
        "Siblings": 2,
        "Stats": {"How": "answers", "Names": ["x0", "x1", "q", "something_new"]},
        "TickMs": 1.0,
        "Unheard": {"of": 1},
        "Zone": 0,
        "Zones": ["a", "b"],
    }
    return defaults | changes


def instance_started(instance: int, settings: dict[str, Any] | None = None, seed: int = 5) -> bytes:
    text = json.dumps(start_record() if settings is None else settings).encode()
    return struct.pack(">BIQI", 1, instance, seed, len(text)) + text


def endpoint_list(list_number: int, *entries: tuple[int, int, float]) -> bytes:
    """Build an endpoint list record from entries of machine id, state and free cores."""
    rows = b"".join(
        struct.pack(
            ">BHfBffHIHd",
            0,
            1,
            30.0,
            state,
            free_cores,
            1.0,
            0,
            machine_id >> 16,
            machine_id & 0xFFFF,
            0.0,
        )
        for machine_id, state, free_cores in entries
    )
    return struct.pack(">BII", 13, list_number, len(entries)) + rows


def list_update(instance: int, mode: int, list_number: int) -> bytes:
    return struct.pack(">BIBII", 2, instance, mode, 1, list_number)


def task_arrived(instance: int, task_id: int, bits: int = 0) -> bytes:
    return struct.pack(">BIQBHQddQffB", 3, instance, task_id, 0, 0, 9, 3000.0, 0.0, 8, 1.0, 2.0, bits)


def attempt_closed(
    instance: int, task_id: int, machine: int, state: int, reason_code: int, *load_values: float
) -> bytes:
    head = struct.pack(
        ">BIQIHBdHIHB",
        5,
        instance,
        task_id,
        reason_code,
        0,
        0,
        7.5,
        state,
        machine >> 16,
        machine & 0xFFFF,
        len(load_values),
    )
    return head + struct.pack(f">{len(load_values)}f", *load_values)
