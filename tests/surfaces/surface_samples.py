"""Samples of every surface of the program, as bytes: what it serves, writes, sends and reads.

The only module of these tests that imports internal names: a rename inside the program is followed here, and
the golden files stay as they are. Parsed values are rendered by position, without the names of their fields.

The golden files are rewritten by this command alone, never by a test; look at `git diff` afterwards:

    PYTHONPATH=tests .venv/bin/python tests/surfaces/surface_samples.py --write

Four of them are inputs, written by hand, which the command reads and leaves as they are:
`platform-config-full.json`, `platform-config-least.json`, `drain.json` and `simulator-settings.json`.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import math
import random
import shutil
import sqlite3
import struct
import sys
import tempfile
from collections.abc import Callable
from enum import Enum, IntEnum
from pathlib import Path
from typing import Any

import click
import msgspec
from google.protobuf import text_format
from google.protobuf.descriptor_pb2 import FileDescriptorProto
from pydantic import BaseModel

from kelpfront import cli
from kelpfront import interface as api
from kelpfront import wire as simulator
from kelpfront.agent import evidence, folders
from kelpfront.agent import state as agent_state
from kelpfront.cli.serve import addresses
from kelpfront.config import agent as agent_settings
from kelpfront.config import reader as settings
from kelpfront.fronts.rest import discovery
from kelpfront.liveness import digest
from kelpfront.machine import convert as machine_grpc
from kelpfront.machine import messages as machine
from kelpfront.platform import config as platform_config
from kelpfront.platform import coordinator as platform_coordinator
from kelpfront.platform import directory as platform_directory
from kelpfront.platform import intents, messages
from kelpfront.platform.core import Core
from kelpfront.rules import Scheduler
from kelpfront.service.app import PlacerService
from kelpfront.store.journal import Journal, OsFiles
from kelpfront.v1 import api_pb2, node_pb2, resources_pb2
from kelpfront.watch import config as watch_config

GOLDEN = Path(__file__).with_name("golden")
JOURNAL, AGENT_STATE = GOLDEN / "journal", GOLDEN / "agent-state"
SEED = 7
BOOT = "boot-1"


def golden(name: str) -> bytes:
    return (GOLDEN / name).read_bytes()


def values(value: Any) -> Any:
    """A parsed value as JSON data: fields and members of enumerations by position, not by name."""
    if isinstance(value, IntEnum):
        return int(value)
    if isinstance(value, Enum):
        return list(type(value)).index(value)
    if isinstance(value, BaseModel):
        return [values(getattr(value, name)) for name in type(value).model_fields]
    if isinstance(value, msgspec.Struct):
        return [values(getattr(value, name)) for name in value.__struct_fields__]
    if dataclasses.is_dataclass(value):
        return [values(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, dict):
        return {str(key): values(item) for key, item in value.items()}
    if isinstance(value, set | frozenset):
        return sorted(values(item) for item in value)
    if isinstance(value, list | tuple):
        return [values(item) for item in value]
    if isinstance(value, float) and not math.isfinite(value):
        return str(value)
    return value if value is None or isinstance(value, str | int | float) else str(value)


def as_json(value: Any) -> bytes:
    return json.dumps(values(value), indent=1).encode() + b"\n"


def as_hex(lines: list[tuple[str, bytes]]) -> bytes:
    return "".join(f"{name} {data.hex()}\n" for name, data in lines).encode()


def from_hex(data: bytes) -> dict[str, bytes]:
    rows = (line.split(" ") for line in data.decode().splitlines())
    return {name: bytes.fromhex(digits) for name, digits in rows}


# ---- The API ----------------------------------------------------------------------------------------------


def openapi() -> bytes:
    return msgspec.json.encode(discovery.openapi())


def discovery_documents() -> bytes:
    """What clients find their way by, beside the OpenAPI document; `/version` tells of the host."""
    documents = (discovery.core_versions, discovery.groups, discovery.group, discovery.resources)
    return as_json([document() for document in documents])


def descriptors() -> bytes:
    parts = []
    for module in (api_pb2, node_pb2, resources_pb2):
        parts.append(
            text_format.MessageToString(FileDescriptorProto.FromString(module.DESCRIPTOR.serialized_pb))
        )
    return "\n".join(parts).encode()


# ---- Settings ---------------------------------------------------------------------------------------------


def keys_of(example: str) -> bytes:
    """Sections and keys of a commented example, without its explanations, which are for people."""
    lines = [line for line in example.splitlines() if line.startswith("[") or _is_key(line)]
    return "\n".join([*lines, ""]).encode()


def _is_key(line: str) -> bool:
    key, equals, _ = line.removeprefix("# ").partition(" =")
    return bool(equals) and key.isidentifier()


def settings_keys() -> bytes:
    return keys_of(settings.example())


def agent_settings_keys() -> bytes:
    return keys_of(agent_settings.agent_example())


def settings_read() -> bytes:
    """The golden keys with their defaults written out, as they are read."""
    return as_json(settings.parse_config(_written_out("settings-keys.ini"), "golden"))


def agent_settings_read() -> bytes:
    return as_json(agent_settings.parse_agent_config(_written_out("agent-settings-keys.ini"), "golden"))


def _written_out(name: str) -> str:
    lines = (line.removeprefix("# ") for line in golden(name).decode().splitlines())
    return "\n".join(line for line in lines if not line.endswith("="))


def platform_config_full_read() -> bytes:
    """Every key of a placer's file, each with a value that is not its default."""
    return as_json(platform_config.config_of(json.loads(golden("platform-config-full.json"))))


def platform_config_least_read() -> bytes:
    """Only the keys that must be there: the defaults of all others."""
    return as_json(platform_config.config_of(json.loads(golden("platform-config-least.json"))))


def watch_config_full_read() -> bytes:
    return as_json(watch_config.watch_config_of(json.loads(golden("platform-config-full.json"))))


def directory_read() -> bytes:
    """The coordinator's answer, as `known` in the configuration has it too."""
    raw = json.loads(golden("platform-config-full.json"))
    return as_json(platform_directory.events_of(raw["known"], platform_config.config_of(raw)))


# ---- Commands ---------------------------------------------------------------------------------------------


def commands() -> bytes:
    return as_json(_command(cli.main, click.Context(cli.main)))


def _command(command: click.Command, context: click.Context) -> dict[str, Any]:
    shown: dict[str, Any] = {"parameters": [_parameter(item) for item in command.params]}
    if isinstance(command, click.Group):
        names = command.list_commands(context)
        found = {name: command.get_command(context, name) for name in names}
        shown["commands"] = {name: _command(its, context) for name, its in found.items() if its is not None}
    return shown


def _parameter(item: click.Parameter) -> dict[str, Any]:
    shown: dict[str, Any] = {"kind": item.param_type_name, "names": [*item.opts, *item.secondary_opts]}
    if isinstance(item, click.Argument):
        shown["names"] = [item.human_readable_name]
    default = None if repr(item.default).startswith("Sentinel") or callable(item.default) else item.default
    choices = list(item.type.choices) if isinstance(item.type, click.Choice) else None
    bounds = [getattr(item.type, name, None) for name in ("min", "max")]
    return shown | {
        "type": item.type.name,
        "default": default,
        "choices": choices,
        "bounds": bounds,
        "required": item.required,
        "multiple": item.multiple,
        "nargs": item.nargs,
        "flag": getattr(item, "is_flag", False),
        "environment": item.envvar,
    }


def printed_addresses(service: PlacerService) -> dict[str, str]:
    """What `kelpfront serve` prints as JSON once it serves."""
    return addresses(service)


# ---- The platform's lines ---------------------------------------------------------------------------------

OWNER = 1
NOW = 1_790_000_000_000.0


class PlatformDialogue:
    """A placer's core between an owner and its machine: all lines in the order in which they are said."""

    def __init__(self) -> None:
        config = platform_config.config_of(json.loads(golden("platform-config-full.json")))
        self._core = Core(config, Scheduler(config.settings, SEED))
        self._now, self.lines = NOW, list[str]()
        self._core.listed(NOW, *platform_directory.events_of(config.known, config))
        self._core.freshness.heard(NOW)
        self._core.sessions.open(NOW, OWNER, "127.0.0.5")
        self._machine = messages.machine_number("m-1")
        self._take()

    def owner(self, call: str, op: str, **fields: Any) -> None:
        line = self._heard("owner", call, op, fields)
        if not self._core.owner_says(self._now, OWNER, messages.decode(line)):
            self.lines.append("the owner's connection is closed")
        self._core.settle(self._now)
        self._take()

    def machine(self, call: str, op: str, **fields: Any) -> None:
        line = self._heard("machine", call, op, fields)
        found = self._core.calls.get(call)
        number = None if found is None or found.out is None else found.out.number
        self._core.machine_says(self._now, self._machine, messages.decode(line), number)
        self._take()

    def offer(self, call: str, extras: str = "cores:1;memory:2;service:b4d65521", **changes: Any) -> None:
        fields = {"class": "keyed", "left": "2000", "key": "7f3a", "idem": "5c0f", "extras": extras}
        self.owner(call, "offer", **{"with": fields | changes, "desc": "v=0\r\n"})

    def placed(self, call: str) -> None:
        self.offer(call)
        self.machine(call, "accept", desc="given")

    def later(self, ms: float) -> None:
        until = self._now + ms
        self.lines.append(f"{ms:g} ms pass")
        while (due := self._core.timers.next()) <= until:
            self._now = max(self._now, due)
            self._core.timers.run(self._now)
            self._take()
        self._now = until

    def probe(self, call: str) -> None:
        self._core.probes.ask(self._now, self._machine, call, 500.0)
        self._take()

    def drain(self) -> None:
        """The list says that the machine is about to go, and names another."""
        config = platform_config.config_of(json.loads(golden("platform-config-full.json")))
        members = json.loads(golden("drain.json"))
        self.lines.append("the machine drains, another is listed")
        self._core.listed(self._now, *platform_directory.events_of(members, config))
        self._core.freshness.heard(self._now)
        self._take()

    def move(self, call: str) -> None:
        """The scheduler wants a task that stands to be asked for again."""
        found = self._core.calls.get(call)
        assert found is not None
        self.lines.append("the task is to move")
        self._core._carry_out(self._now, api.Move(found.task))
        self._take()

    def close(self) -> None:
        self.lines.append("the placer takes no more")
        self._core.closing = True

    def machine_process_gone(self) -> None:
        self.lines.append("the machine's process is gone")
        self._core.process_gone(self._now, self._machine)
        self._take()

    def _heard(self, who: str, call: str, op: str, fields: dict[str, Any]) -> bytes:
        line = json.dumps({"op": op, "call": call, "with": {}} | fields).encode()
        self.lines.append(f"{who} says {line.decode()}")
        return line

    def _take(self) -> None:
        out, self._core.out[:] = list(self._core.out), []
        for item in out:
            if isinstance(item, intents.Tell):
                self._said("owner", item.data)
            elif isinstance(item, intents.Offer):
                self._said("machine", self._core.gate(self._now, item.call, item.number) or b"")
            elif isinstance(item, intents.Say | intents.Abandon | intents.Test):
                self._said("machine", item.data)

    def _said(self, whom: str, data: bytes) -> None:
        self.lines += [f"{whom} gets {line!r}"[:1000] for line in data.splitlines(keepends=True)]


def platform_dialogue() -> bytes:
    """Each line that a placer on the platform sends, and each that it understands."""
    its = PlatformDialogue()
    its.owner("00000000000000a0", "test")
    its.owner("00000000000000a1", "end")
    its.placed("00000000000000a2")
    for note, value in (("live", 1), ("c", 0.5), ("m", 1.5), ("s", 0.9), ("p", 0.2)):
        its.machine("00000000000000a2", "info", **{"with": {"note": note, "value": value}})
    its.machine("00000000000000a2", "end", **{"with": {"note": "ev"}, "why": 16})
    its.owner("00000000000000a2", "ended")
    its.placed("00000000000000a3")
    its.owner("00000000000000a3", "end", why=16)
    its.machine("00000000000000a3", "end", why=31)
    its.owner("00000000000000a3", "end", why=16)
    its.offer("00000000000000a4")
    its.owner("00000000000000a4", "end", why=16)
    its.offer("00000000000000a5", left="soon")
    its.offer("00000000000000a6", key="")
    its.offer("00000000000000a7", extras="cores:1;memory:2;service:b4d65521;at:m-1")
    its.placed("00000000000000a8")
    its.machine_process_gone()
    its.offer("00000000000000a9")
    load = "x0:0.5;x1:1.5;queue:3;busy:0.9"
    its.machine("00000000000000a9", "end", **{"with": {"note": "nc", "load": load}, "why": 34})
    its.later(3_000)
    its.offer("00000000000000aa")
    its.later(6_000)
    its.owner("00000000000000ab", "something-new")
    its.probe("00000000000000ac")
    its.machine("00000000000000ac", "tested", **{"with": {"load": load}, "why": 1})
    return "\n".join([*its.lines, *_dialogue_of_a_drain(), ""]).encode()


def _dialogue_of_a_drain() -> list[str]:
    its = PlatformDialogue()
    its.placed("00000000000000ad")
    its.drain()
    its.later(3_000)
    its.move("00000000000000ad")
    its.owner("00000000000000ad", "end", why=16)
    its.machine("00000000000000ad", "end", why=31)
    its.close()
    its.offer("00000000000000ae")
    return its.lines


def platform_words_read() -> bytes:
    """What each word of a machine's line is taken as: reasons and causes of its end, notes, its load."""
    told = [(note, why) for note in ("nc", "nm", "nq", "nh", "ev", "pre", "dr", "new") for why in (34, 47)]
    told += [("", why) for why in (0, 16, 31, 34, 41, 42, 47, 81, 96, 100, 102)]
    ends = {
        f"{note} {why} {'placed' if placed else 'offered'}": messages.end_of(
            _from_machine(why, note=note), placed
        )
        for note, why in told
        for placed in (False, True)
    }
    notes = {
        n: messages.note_of(_from_machine(0, note=n, value=0.5)) for n in ("live", "c", "m", "s", "p", "new")
    }
    loads = {
        name: messages.load_of(_from_machine(0, load=f"{name}:1.5"))
        for name in ("x0", "x1", "queue", "q", "busy")
    }
    return as_json([ends, notes, loads, messages.machine_number("m-1")])


def _from_machine(why: int, **fields: Any) -> messages.Message:
    line = {"op": "end", "call": "00000000000000a0", "with": fields, "why": why}
    return messages.decode(json.dumps(line).encode())


async def coordinator_request() -> bytes:
    """The first line of the request by which a placer follows the coordinator's list."""
    heard: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        heard.set_result(await reader.readline())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = platform_config.Address("127.0.0.1", server.sockets[0].getsockname()[1])
    follower = platform_coordinator.Follower(address, lambda: 41, print, random.Random(SEED), 1_000.0)
    follower.start()
    async with asyncio.timeout(20):
        line = await heard
    follower.stop()
    server.close()
    return line


# ---- Machines' protocol -----------------------------------------------------------------------------------

_JOB = machine.JobRef("climate", "job-a", "uid-a", 2, 5, "token-1", {"tier": "web"})
_COMMAND = machine.Command(("sh", "-c", "exit 3"), {"LEVEL": "2"}, "/srv", 2_500.0)
_OFFER = machine.Offer(
    "uid-a-2",
    1,
    _JOB,
    "ingest",
    "climate/front",
    1.5,
    2.25,
    "keyed",
    9e12,
    3,
    "small",
    "key-1",
    "zone",
    _COMMAND,
)
_PLAIN_OFFER = machine.Offer(
    "uid-b-0",
    0,
    machine.JobRef("climate", "job-b", "uid-b", 0),
    "web",
    "climate/front",
    1.0,
    2.0,
    "safe",
    1e12,
)
_LOAD = machine.LoadReport(20.5, 40.25, 18.0, 39.0, 2, 0.75)
_REPORT = machine.TaskReport(_OFFER, "life-1", "ended", "failed", 3, True, 0.25, "exit status 3")
_RUNNING = machine.TaskReport(_PLAIN_OFFER, "life-1", "running")

MACHINE_MESSAGES: dict[str, tuple[Any, Callable[[bytes], Any]]] = {
    "offer": (_OFFER, machine.decode_offer),
    "offer-plain": (_PLAIN_OFFER, machine.decode_offer),
    "offer-request": (machine.OfferRequest("p0", "life-1", _OFFER), machine.decode_offer_request),
    "answer": (machine.Answer("refused", machine.NO_CORES, "full", _LOAD), machine.decode_answer),
    "answer-no-memory": (machine.Answer("refused", machine.NO_MEMORY), machine.decode_answer),
    "answer-queue-full": (machine.Answer("refused", machine.QUEUE_FULL), machine.decode_answer),
    "answer-not-here": (machine.Answer("refused", machine.NOT_HERE), machine.decode_answer),
    "answer-running": (machine.Answer("running"), machine.decode_answer),
    "stop-request": (machine.StopRequest("p0", "uid-a-2", 1, "moved"), machine.decode_stop_request),
    "stop-reply": (machine.StopReply("stopping"), machine.decode_stop_reply),
    "load": (_LOAD, machine.decode_load),
    "load-plain": (machine.LoadReport(1.0, 2.0, 1.0, 2.0), machine.decode_load),
    "hello": (machine.Hello(BOOT, 1200.5, "small", 500.0, True, 12), machine.decode_stream_message),
    "snapshot": (machine.Snapshot(11, (_REPORT, _RUNNING)), machine.decode_stream_message),
    "heartbeat": (machine.Heartbeat("draining", _LOAD), machine.decode_stream_message),
    "taken": (machine.Taken(12, "uid-a-2", 1, True), machine.decode_stream_message),
    "gone": (
        machine.Gone(13, "uid-a-2", 1, "evicted", True, 143, "no memory", 1.5),
        machine.decode_stream_message,
    ),
    "gone-plain": (machine.Gone(14, "uid-b-0", 0, "lost", False), machine.decode_stream_message),
    "note": (machine.Note("uid-b-0", 0, "pressure", 0.5), machine.decode_stream_message),
}


def machine_messages() -> bytes:
    return b"".join(
        name.encode() + b" " + machine.encode(it) + b"\n" for name, (it, _) in MACHINE_MESSAGES.items()
    )


def machine_grpc_messages() -> bytes:
    """The same messages as they go over gRPC."""
    sent: list[tuple[str, Any]] = [
        ("offer", machine_grpc.offer_message(_OFFER)),
        ("offer-plain", machine_grpc.offer_message(_PLAIN_OFFER)),
    ]
    for name, (message, _) in MACHINE_MESSAGES.items():
        if isinstance(message, machine.Answer):
            sent.append((name, machine_grpc.answer_message("uid-a-2", 1, message)))
        elif isinstance(message, machine.StreamMessage):
            sent.append((name, machine_grpc.stream_message(message)))
    return as_hex([(name, message.SerializeToString(deterministic=True)) for name, message in sent])


def machine_grpc_read(name: str, data: bytes) -> Any:
    """A message from gRPC, as it is in MACHINE_MESSAGES."""
    if name.startswith("offer"):
        return machine_grpc.read_offer(node_pb2.OfferTask.FromString(data))
    message = node_pb2.NodeMessage.FromString(data)
    if name.startswith("answer"):
        return machine_grpc.read_answer(message.answer)
    return machine_grpc.read_stream_message(message)


# ---- The simulator's frames -------------------------------------------------------------------------------

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
    clock, number, events = simulator.Decoder().batch(from_hex(golden("simulator-batch.hex"))["batch"])
    load_fields = [field.name for field in dataclasses.fields(api.Load)]
    shown = []
    for instance, event in events:
        if isinstance(event, simulator.Born):
            its_load = [load_fields.index(name) for name in event.load_names]
            shown.append([instance, [event.seed, values(event.settings), its_load]])
        else:
            shown.append([instance, values(event)])
    return as_json([clock, number, shown])


def simulator_replies() -> bytes:
    """A reply with one of each action."""
    ident = _ADDRESS << 16 | _PORT
    actions: list[tuple[str, Any]] = [
        ("bind", api.Bind(41, ident, 80.0)),
        ("refuse", api.Refuse(41, 12.5)),
        ("fail", api.Fail(41)),
        ("cancel-attempt", api.CancelAttempt(41, 1)),
        ("move", api.Move(41)),
        ("probe", api.Probe(ident, 50.0)),
        ("set-timer", api.SetTimer(5.5, 2)),
        ("subscribe", api.Subscribe(True)),
        ("unsubscribe", api.Subscribe(False)),
        ("fetch-list", api.FetchList()),
        ("log", api.Log("a line")),
        ("bail-out", simulator.BailOut("no")),
    ]
    frames = [(name, simulator.encode_reply(9, [(_INSTANCE, action)])) for name, action in actions]
    return as_hex([*frames, ("all", simulator.encode_reply(10, [(_INSTANCE, it) for _, it in actions]))])


# ---- Watchers' datagrams ----------------------------------------------------------------------------------


def datagrams() -> bytes:
    hello = digest.Hello(0x0102030405060708, 1_234_567)
    sections = [digest.Section(0xDEADBEEF, 12, 0xABC), digest.Section(7, 9, 0x1FF, 0x101)]
    packed = [digest.pack_section(section) for section in sections]
    told = digest.pack_digest(99, 5, hello, 2_000, -3_000, packed)
    return as_hex([("hello", digest.pack_hello(hello)), ("digest", told)])


def datagrams_read() -> bytes:
    return as_json({name: digest.unpack(data) for name, data in from_hex(golden("datagrams.hex")).items()})


# ---- Folders ----------------------------------------------------------------------------------------------


def write_journal(folder: Path) -> None:
    """A store's folder: a snapshot, and records behind it."""
    files = OsFiles(folder)
    journal = Journal(files, lambda: SEED)
    journal.open()
    for number in range(3):
        journal.append(f"record {number}".encode())
    journal.snapshot([b"part 1", b"part 2"])
    for number in range(3, 5):
        journal.append(f"record {number}".encode())
        journal.commit()
    journal.close()
    files.release()
    (folder / "lock").unlink()


def read_journal(folder: Path) -> bytes:
    files = OsFiles(folder)
    journal = Journal(files, lambda: SEED)
    opened = journal.open()
    journal.close()
    files.release()
    records = [[record.sequence, record.durable, record.payload.decode()] for record in opened.records]
    snapshot = [part.decode() for part in opened.snapshot or ()]
    return as_json([snapshot, records, opened.torn])


def write_agent_state(folder: Path) -> None:
    """An agent's folder: its state with a task that runs and one that is over, and the folders of both."""
    asyncio.run(_write_state(folder))
    for name in ("uid-a-2@1", "uid-b-0@0"):
        (folder / "tasks" / name).mkdir(parents=True)
    ended, running = folder / "tasks" / "uid-a-2@1", folder / "tasks" / "uid-b-0@0"
    identity = {"pid": 4_000_001, "ticks": 77, "boot": BOOT}
    request = machine.OfferRequest("p0", "life-1", _OFFER)
    log = {"log_bytes": 4096, "log_files": 1}
    folders.write_once(ended, folders.TASK, evidence.task_record(request, BOOT, 1e9, {"PATH": "/bin"}, log))
    folders.write_once(ended, folders.CLAIM, {"by": "supervisor", **identity})
    folders.write_once(ended, folders.STARTED, {**identity, "at": 1e9})
    folders.write_once(ended, folders.RUNNING, {"at": 1e9})
    folders.write_once(ended, folders.watch_name(1), identity)
    folders.write_once(ended, folders.STOP, {"cause": "evicted", "grace_ms": 2500.0})
    folders.write_once(ended, folders.EXIT, {"ran": True, "at": 1e9, "code": 3, "cpu_s": 0.25})
    evidence.void_start(running)


async def _write_state(folder: Path) -> None:
    state = agent_state.State(folder)
    state.open()
    state.start()
    ended = agent_state.Recorded(machine.OfferRequest("p0", "life-1", _OFFER), BOOT, 1e9, 1)
    await state.intend(ended)
    ended.end = agent_state.End("failed", True, 3, 0.25, "exit status 3")
    ended.seq = 13
    await state.ended(ended)
    await state.heard([ended.key])
    await state.intend(agent_state.Recorded(machine.OfferRequest("p1", "life-2", _PLAIN_OFFER), BOOT, 2e9, 0))
    await state.set_meta("unschedulable", "1")
    await state.close()


def dump_state(folder: Path) -> bytes:
    """The state file as SQL: its bytes depend on the library's version."""
    db = sqlite3.connect(f"file:{folder / 'state.db'}?mode=ro", uri=True)
    try:
        return "\n".join([*db.iterdump(), ""]).encode()
    finally:
        db.close()


def read_agent_state(folder: Path) -> bytes:
    """All that an agent that comes up makes of such a folder, which is changed by it: give it a copy."""
    state = agent_state.State(folder)
    opened = state.open()
    asyncio.run(state.close())
    found = [evidence.look(path, "boot-2", BOOT) for path in sorted((folder / "tasks").iterdir())]
    task = folders.read(folder / "tasks" / "uid-a-2@1", folders.TASK)
    assert task is not None
    return as_json([opened, found, evidence.request_of(task)])


def journal_read() -> bytes:
    return _of_copy(JOURNAL, read_journal)


def agent_state_read() -> bytes:
    return _of_copy(AGENT_STATE, read_agent_state)


def agent_state_dump() -> bytes:
    return _of_copy(AGENT_STATE, dump_state)


def _of_copy(folder: Path, read: Callable[[Path], bytes]) -> bytes:
    with tempfile.TemporaryDirectory() as place:
        return read(Path(shutil.copytree(folder, Path(place) / "copy")))


def files_of(folder: Path) -> dict[str, bytes]:
    paths = sorted(path for path in folder.rglob("*") if path.is_file())
    return {str(path.relative_to(folder)): path.read_bytes() for path in paths}


# What each golden file must be. Files that are read by a later one come before it.
SAMPLES: dict[str, Callable[[], bytes]] = {
    "openapi.json": openapi,
    "discovery.json": discovery_documents,
    "descriptors.txt": descriptors,
    "settings-keys.ini": settings_keys,
    "settings-read.json": settings_read,
    "agent-settings-keys.ini": agent_settings_keys,
    "agent-settings-read.json": agent_settings_read,
    "platform-config-full-read.json": platform_config_full_read,
    "platform-config-least-read.json": platform_config_least_read,
    "watch-config-read.json": watch_config_full_read,
    "directory-read.json": directory_read,
    "commands.json": commands,
    "platform-dialogue.txt": platform_dialogue,
    "platform-words-read.json": platform_words_read,
    "machine-messages.txt": machine_messages,
    "machine-grpc-messages.hex": machine_grpc_messages,
    "simulator-batch.hex": simulator_batch_hex,
    "simulator-batch-read.json": simulator_batch_read,
    "simulator-replies.hex": simulator_replies,
    "datagrams.hex": datagrams,
    "datagrams-read.json": datagrams_read,
    "journal-read.json": journal_read,
    "agent-state-read.json": agent_state_read,
    "agent-state.sql": agent_state_dump,
}
FOLDERS: dict[Path, Callable[[Path], None]] = {JOURNAL: write_journal, AGENT_STATE: write_agent_state}


def write_all() -> None:
    for folder, write in FOLDERS.items():
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        write(folder)
    for name, sample in SAMPLES.items():
        (GOLDEN / name).write_bytes(sample())


if __name__ == "__main__":
    if sys.argv[1:] != ["--write"]:
        sys.exit("usage: surface_samples.py --write")
    write_all()
