"""What the platform would tell the rig's placers: a small deployment with one class of each effect."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

CLASSES = (("easy", "free", "none"), ("keyed", "guarded", "zone"), ("once", "single_shot", "none"))
ZONES = ("a", "b", "c", "d")


def settings_json(
    number: int, placers: int, zones: Sequence[str] = ZONES, cores: int = 22, memory: float = 40.0
) -> dict[str, Any]:
    """The settings of one placer of many, in the platform's form; a machine has so many cores and GB."""
    categories = [
        {
            "AimMs": 800.0,
            "DeadlineMs": 3_000.0,
            "Effect": effect,
            "Group": group,
            "LateWorth": 0.1,
            "Name": name,
            "WindowMs": 6_000.0,
            "Worth": 2.0,
        }
        for name, effect, group in CLASSES
    ]
    return {
        "Categories": categories,
        "FamilyInfo": {
            "AcceptsMemory": 1.3,
            "Ack": "accepted",
            "ApartBy": ["none"] * len(CLASSES),
            "ClassCalm": [0.9] * len(CLASSES),
            "CpuBooking": 2.2,
            "FreeBy": "used",
            "ListsFree": True,
            "MeanMemory": 1.5,
            "MemOfKind": [memory],
            "NeedsKind": [-1] * len(CLASSES),
            "SizeCores": [cores],
            "TogetherMax": [9] * len(CLASSES),
            "UsualCores": 1.1,
            "YoungLimit": 9.0,
        },
        "Me": number,
        "Permissions": {
            "Cancelling": True,
            "ConnectTimeoutMs": 200.0,
            "MaxAttempts": 4,
            "MayProbe": True,
        },
        "RegistryMode": "pushed",
        "Rules": {"AskWithinMs": 9_000.0, "ColdMs": 12_000.0, "FallMs": 1_500.0, "FallMultiple": 2.0},
        "Shapes": ["plain"],
        "Siblings": placers,
        "Stats": {"How": "answers", "Names": ["x0", "x1", "q"]},
        "TickMs": 1.0,
        "Zone": number % len(zones),
        "Zones": list(zones),
    }


def config_json(
    number: int, placers: int, listen: str, coordinator: str, known: Any, sockets: int = 256
) -> dict[str, Any]:
    """The configuration file of one placer."""
    return {
        "name": f"p{number}",
        "listen": listen,
        "seed": f"{0x9E3779B9 * (number + 1) & 0xFFFFFFFF:08x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "coordinator": coordinator,
        "known": known,
        "settings": settings_json(number, placers),
    }


def members(count: int, port: int = 9) -> list[dict[str, Any]]:
    """Machines of a list, on addresses at which nobody listens but who does on all of 127.0.0.0/8."""
    return [
        {
            "id": f"s-{number:08x}",
            "host_port": f"127.1.{number >> 8}.{number & 255}:{port}",
            "locality": ZONES[number % len(ZONES)],
            "flavor": "plain",
            "cell": number // 8,
            "phase": "Ready",
            "size": 4,
            "up_since_ms": 0,
            "spare": [20.0, 40.0],
        }
        for number in range(count)
    ]


def whole_list(index: int, count: int, port: int = 9) -> dict[str, Any]:
    listed = members(count, port)
    return {"index": index, "endpoints": {"revision": index, "complete": True, "members": listed}}
