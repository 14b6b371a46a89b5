"""Small stand-ins for the review's cases: coordinator, machines, owners, and the start of a placer.

They follow the users' pages and use the standard library alone. Times in the record are Unix milliseconds,
and every address is on loopback.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

Json = dict[str, Any]

ROOT = Path(__file__).resolve().parent.parent
HOST = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.1"
"""A loopback address of this run alone, so that runs side by side do not meet each other's processes."""

DESC = "v=0\r\nc=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0\r\n"
CONNECT_S = 20.0
LIMIT_S = 100.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
MAX_LINE = 16 << 10
SECOND_COPY_MS = 20.0
"""How long after an answer its second copy comes, where there is one."""


def now_ms() -> float:
    """Return the system's Unix clock in milliseconds."""
    return time.time() * 1000.0


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to a file, one JSON object in a line."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = now_ms()

    def add(self, who: str, what: str, **fields: Any) -> float:
        """Write one line and return its time."""
        now = now_ms()
        entry = {"t": round(now - self._start, 1), "who": who, "what": what} | fields
        self._file.write(json.dumps(entry) + "\n")
        self._file.flush()
        return now

    def since_start(self, at: float) -> float:
        """Return a time in milliseconds since the start of the record."""
        return round(at - self._start, 1)


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


def settings(*, unsafe_needs_special: bool = False) -> Json:
    """Return settings of a small deployment with a safe, a keyed and an unsafe class.

    Args:
        unsafe_needs_special: whether the unsafe class runs on machines of the kind `special` alone.
    """
    classes = (("reader", "free", 5000), ("importer", "guarded", 5000), ("rebuild", "single_shot", 8000))
    return {
        "Categories": [
            {
                "Name": name,
                "Effect": effect,
                "AimMs": 1000.0,
                "DeadlineMs": float(deadline),
                "Group": "zone" if effect == "guarded" else "all",
                "LateWorth": 0.2,
                "RunsOn": True,
                "WindowMs": 8000.0,
                "Worth": 2.0,
            }
            for name, effect, deadline in classes
        ],
        "Clients": {"MarksRetry": False},
        "FamilyInfo": {
            "AcceptsMemory": 1.5,
            "Ack": "running",
            "ApartBy": ["none", "cell", "none"],
            "CheckAfterMs": 3000.0,
            "ClassCalm": [1.0, 0.8, 0.8],
            "ClassStartS": [10.0, 8.0, 12.0],
            "CpuBooking": 1.5,
            "EvictCounts": 2.0,
            "FreeBy": "used",
            "ListsFree": True,
            "LostAfter": [1.0, 0.2, 0.2],
            "MeanMemory": 2.0,
            "MemOfKind": [64.0, 64.0],
            "NeedsKind": [-1, -1, 1 if unsafe_needs_special else -1],
            "Precedence": [0, 2, 2],
            "PushesOut": True,
            "RefusedPrice": 0.02,
            "SaysPressure": False,
            "ShareCores": [],
            "SizeCores": [32, 32],
            "Sticks": False,
            "TellsUse": True,
            "TogetherMax": [2, 3, 2],
            "UsualCores": 1.0,
            "YoungLimit": 57.0,
        },
        "Me": 0,
        "Permissions": {
            "Cancelling": True,
            "ConnIdleMs": 30000.0,
            "ConnectTimeoutMs": 250.0,
            "MaxAttempts": 4,
            "MaxRetryAfterMs": 3000.0,
            "MayProbe": True,
            "MayTell": False,
            "OpenCap": 1000000,
            "RetryAfter": False,
            "SecondCopies": False,
        },
        "Prices": {"Fleet": 0.2, "Moves": 0.05, "Probe": 0.004, "Waste": 0.05},
        "RegistryMode": "pushed",
        "Rules": {
            "AskWithinMs": 10000.0,
            "ColdFrom": 0.24,
            "ColdMs": 17000.0,
            "DrainGraceMs": 500.0,
            "FallMs": 2000.0,
            "FallMultiple": 2.5,
            "GraceToAnswerMs": 8.0,
        },
        "ServiceType": "place",
        "Shapes": ["plain", "special"],
        "Siblings": 3,
        "Stats": {"How": "answers", "Names": ["x0", "x1"]},
        "TickMs": 2.0,
        "Zone": 0,
        "Zones": ["hall-a", "hall-b"],
    }


# ---- The coordinator ---------------------------------------------------------------------------------


class Coordinator:
    """Tells the list of machines by long polls. While it is silent, it takes connections and says nothing."""

    def __init__(self, record: Record) -> None:
        self.port = free_port()
        self.events: list[Json] = []
        self.told: dict[int, float] = {}
        self.is_silent = False
        self._record = record
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    @property
    def known(self) -> Json:
        """All events so far, as the configuration holds them."""
        return {"index": len(self.events), "updates": list(self.events)}

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    async def publish(self, *members: Json, whole: bool = False) -> int:
        """Add an event; return its number."""
        index = len(self.events) + 1
        endpoints = {"revision": index, "complete": whole, "members": list(members)}
        self.events.append({"index": index, "endpoints": endpoints})
        self._record.add(
            "coordinator", "event", index=index, members=[(m["id"], m["phase"]) for m in members]
        )
        async with self._changed:
            self._changed.notify_all()
        return index

    async def speak(self) -> None:
        """End the silence."""
        self.is_silent = False
        self._record.add("coordinator", "answers again")
        async with self._changed:
            self._changed.notify_all()

    def fall_silent(self) -> float:
        """Answer nothing from now on, on any connection."""
        self.is_silent = True
        return self._record.add("coordinator", "falls silent")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Cancelled at the end of the case.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = parse_qs(urlsplit(head.split(" ")[1]).query)
                body = await self._answer(int(query["follow"][0]), float(query["wait_ms"][0]))
                answer = json.dumps(body).encode()
                lines = (
                    f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(answer)}\r\n"
                )
                writer.write(lines.encode() + b"\r\n" + answer)
                for event in body["updates"]:
                    self.told[event["index"]] = now_ms()
                    self._record.add("coordinator", "tells", index=event["index"])
        writer.close()

    async def _answer(self, follow: int, wait_ms: float) -> Json:
        loop = asyncio.get_running_loop()
        until = loop.time() + min(wait_ms, 5000.0) / 1000.0
        async with self._changed:
            while self.is_silent or (len(self.events) <= follow and loop.time() < until):
                rest = 0.25 if self.is_silent else until - loop.time()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), max(0.001, rest))
        return {"index": len(self.events), "updates": self.events[follow:]}


# ---- Machines ----------------------------------------------------------------------------------------


@dataclass(eq=False)
class Task:
    """A task that a machine runs."""

    call: str
    key: str
    class_name: str
    accepted_at: float
    connection: MachineConnection | None


@dataclass(eq=False)
class MachineConnection:
    """One connection that a machine accepted."""

    number: int
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


def _line(message: Json) -> bytes:
    return json.dumps(message).encode() + b"\n"


class Machine:
    """A sound machine: accepts what it is offered and says yes once the task runs.

    Attributes:
        phase: its state in the list.
        start_ms: how long it takes until a task runs.
        refuses_first: whether it refuses the first offer of each task as full.
        second_copies_every: of these refusals, each so-many-th comes a second time; 0 for none.
        drains_itself: whether it drains, and refuses what it is offered.
        tasks: the tasks that run, by id.
        offers: when each set-up came, its id and the message.
        starts: each task that it started: when, its id and its name.
        ends: when each task that has ended was released, by id.
    """

    def __init__(self, record: Record, name: str, *, cell: int = 1, zone: str = "hall-a") -> None:
        self.name, self.cell, self.zone = name, cell, zone
        self.port = free_port()
        self.start_ms = 20.0
        self.phase = "Ready"
        self.tasks: dict[str, Task] = {}
        self.offers: list[tuple[float, str, Json]] = []
        self.starts: list[tuple[float, str, str]] = []
        self.ends: dict[str, float] = {}
        self.drains_itself = False
        self.kind = "plain"
        self.refuses_first = False
        self.second_copies_every = 0
        self._refused: set[str] = set()
        self._given_up: set[str] = set()
        self._record = record
        self._connections: dict[MachineConnection, None] = {}
        self._releases: list[bytes] = []
        self._numbers = 0
        self._server: asyncio.Server | None = None
        self._runs = asyncio.Event()
        self._runs.set()
        self._due_ends: list[str] = []
        self._jobs: set[asyncio.Task[None]] = set()

    def member(self, phase: str = "") -> Json:
        """The machine's entry in the list."""
        return {
            "id": self.name,
            "host_port": f"{HOST}:{self.port}",
            "locality": self.zone,
            "flavor": self.kind,
            "cell": self.cell,
            "phase": phase or self.phase,
            "size": 4,
            "up_since_ms": 0,
            "spare": [32.0 - len(self.tasks), 64.0 - 2.0 * len(self.tasks)],
        }

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port, limit=2 * MAX_LINE)
        self._record.add(self.name, "listens", port=self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._runs.wait()
        self._numbers += 1
        connection = MachineConnection(self._numbers, reader, writer)
        self._connections[connection] = None
        self._record.add(self.name, "connection", number=connection.number, releases=len(self._releases))
        for data in self._releases:  # also what was sent on another connection
            writer.write(data)
        self._releases.clear()
        try:
            while line := await reader.readline():
                if not line.endswith(b"\n"):
                    continue
                self._on_message(connection, json.loads(line))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._connections.pop(connection, None)
            for task in self.tasks.values():
                if task.connection is connection:
                    task.connection = None
            writer.close()

    def _on_message(self, connection: MachineConnection, message: Json) -> None:
        op, call = message["op"], message["call"]
        if op == "test":
            self._record.add(self.name, "is tested", connection=connection.number)
            load = f"x0:{32 - len(self.tasks)};x1:{64 - 2 * len(self.tasks)}"
            self._say(connection, {"op": "tested", "call": call, "with": {"load": load}, "why": 1})
        elif op == "offer":
            at = self._record.add(
                self.name, "is offered", call=call, key=message["with"]["key"], phase=self.phase
            )
            self.offers.append((at, call, message))
            self._given_up.discard(call)
            job = asyncio.get_running_loop().create_task(self._start_task(connection, message))
            self._jobs.add(job)
            job.add_done_callback(self._jobs.discard)
        elif op == "end":
            self._record.add(self.name, "is told the end", call=call, why=message.get("why"))
            if self.tasks.pop(call, None) is None:
                self._given_up.add(call)
            else:
                self._say(connection, {"op": "end", "call": call, "with": {}, "why": 31})

    async def _start_task(self, connection: MachineConnection, message: Json) -> None:
        await asyncio.sleep(self.start_ms / 1000.0)
        call, fields = message["call"], message["with"]
        if connection not in self._connections or call in self._given_up:
            return
        if self.refuses_first and fields["key"] not in self._refused:
            await self._refuse_as_full(connection, call, fields["key"])
            return
        if self.drains_itself:
            self._record.add(self.name, "refuses", call=call)
            self._say(connection, {"op": "end", "call": call, "with": {"note": "nh"}, "why": 34})
            return
        at = self._record.add(self.name, "accepts", call=call, key=fields["key"])
        self.starts.append((at, call, fields["key"]))
        self.tasks[call] = Task(call, fields["key"], fields["class"], at, connection)
        self._say(connection, {"op": "accept", "call": call, "with": {}, "desc": DESC + fields["key"]})

    async def _refuse_as_full(self, connection: MachineConnection, call: str, key: str) -> None:
        """Refuse the first offer of a task, since too many offers wait; some refusals come a second time."""
        self._refused.add(key)
        refusal = {"op": "end", "call": call, "with": {"note": "nq"}, "why": 34}
        self._record.add(self.name, "refuses: too many offers wait", call=call, key=key)
        self._say(connection, refusal)
        if self.second_copies_every and len(self._refused) % self.second_copies_every == 0:
            await asyncio.sleep(SECOND_COPY_MS / 1000.0)
            self._record.add(self.name, "sends a second copy of the refusal", call=call)
            self._say(connection, refusal)

    def end_task(self, call: str) -> None:
        """End a task: its release goes out on its connection, or any other, and also on the next one."""
        if not self._runs.is_set():
            self._due_ends.append(call)
            return
        task = self.tasks.pop(call, None)
        if task is None:
            return
        usable = task.connection in self._connections
        connection = task.connection if usable else next(iter(self._connections), None)
        number = 0 if connection is None else connection.number
        self.ends[call] = self._record.add(self.name, "the task has ended", call=call, released_on=number)
        message = {"op": "end", "call": call, "with": {}, "why": 16}
        if connection is not None:
            self._say(connection, message)
        self._releases.append(_line(message))

    def _say(self, connection: MachineConnection, message: Json) -> None:
        connection.writer.write(_line(message))

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def hang(self) -> None:
        """Stand still: what arrives is not read, and what is due waits."""
        self._record.add(self.name, "hangs", connections=len(self._connections), tasks=len(self.tasks))
        self._runs.clear()
        for connection in self._connections:
            connection.writer.transport.pause_reading()

    def run_on(self) -> None:
        """End the hang: write what is due, then read what has arrived."""
        self._record.add(self.name, "runs on")
        self._runs.set()
        for call in self._due_ends:
            self.end_task(call)
        self._due_ends.clear()
        for connection in list(self._connections):
            with contextlib.suppress(RuntimeError):  # it was closed meanwhile
                connection.writer.transport.resume_reading()

    def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.writer.transport.abort()


# ---- Owners ------------------------------------------------------------------------------------------


@dataclass(eq=False)
class Asked:
    """A set-up that an owner sent, and what came back for it."""

    call: str
    key: str
    class_name: str
    service: int
    sent_at: float
    answers: list[tuple[float, str, int]] = field(default_factory=list)
    ended_by_owner: bool = False

    @property
    def stands(self) -> bool:
        """Whether the owner knows the task as placed and not over."""
        ops = [op for _, op, _ in self.answers]
        return "accept" in ops and not {"end", "redirect"} & set(ops)

    @property
    def is_over(self) -> bool:
        """Whether the owner was told that the task, which was placed, is over."""
        ops = [op for _, op, _ in self.answers]
        return "accept" in ops and bool({"end", "redirect"} & set(ops))


class Owner:
    """A front of several owners on one connection to the placer, which is opened anew after it ended."""

    def __init__(self, record: Record, port: int, seed: int = 1) -> None:
        self.asked: dict[str, Asked] = {}
        self._record = record
        self._port = port
        self._random = random.Random(seed)
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._tested = asyncio.Event()

    async def connect(self, timeout_s: float) -> bool:
        """Connect and pass a test; return whether that was possible in time."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + timeout_s
        while loop.time() < give_up_at:
            try:
                reader, self._writer = await asyncio.open_connection(HOST, self._port, limit=2 * MAX_LINE)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            self._tested.clear()
            self._reading = asyncio.create_task(self._read(reader))
            self._write({"op": "test", "call": self._new_id(), "with": {}, "why": 0})
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._tested.wait(), 1.0)
            if self._tested.is_set():
                self._record.add("owner", "the placer has passed a test")
                return True
        return False

    def ask(self, class_index: int, service: int, left_ms: float, key: str = "") -> Asked:
        """Send one set-up."""
        name = settings()["Categories"][class_index]["Name"]
        call, key = self._new_id(), key or self._new_id()
        fields = {"class": name, "left": f"{left_ms:.0f}", "key": key}
        if class_index == 1:
            fields["idem"] = key * 2
        fields["extras"] = f"cores:1;memory:2;service:{service:016x}"
        asked = Asked(call, key, name, service, now_ms())
        self.asked[call] = asked
        self._record.add("owner", "asks", call=call, key=key, cls=name, service=service)
        self._write({"op": "offer", "call": call, "with": fields, "desc": DESC})
        return asked

    def _new_id(self) -> str:
        return f"{self._random.getrandbits(64):016x}"

    def _write(self, message: Json) -> None:
        assert self._writer is not None
        self._writer.write(json.dumps(message).encode() + b"\n")

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while line := await reader.readline():
                message = json.loads(line)
                if message["op"] == "tested":
                    if message.get("why") == 1:
                        self._tested.set()
                    continue
                at = self._record.add(
                    "owner", "is answered", op=message["op"], call=message["call"], why=message.get("why", 0)
                )
                asked = self.asked.get(message["call"])
                if asked is not None:
                    asked.answers.append((at, message["op"], int(message.get("why", 0))))
        self._record.add("owner", "the connection has ended")

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()


# ---- The placer --------------------------------------------------------------------------------------


class Placer:
    """One placer, started by the line `run` of the deploy file in a process group of its own."""

    def __init__(self, record: Record, coordinator: Coordinator, **changes: Any) -> None:
        self.port = free_port()
        self._record = record
        self._coordinator = coordinator
        self._settings = settings(**changes)
        self._folder = Path(tempfile.mkdtemp(prefix="kelpfront-review-"))
        self._process: asyncio.subprocess.Process | None = None
        self._starts = 0

    async def start(self) -> None:
        """Start the process with the events of the coordinator so far."""
        self._starts += 1
        config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "seed": f"{random.Random(self._starts).getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": f"{HOST}:{self._coordinator.port}",
            "known": self._coordinator.known,
            "settings": self._settings,
        }
        path = self._folder / "config.json"
        path.write_text(json.dumps(config))
        scratch = self._folder / f"tmp{self._starts}"
        scratch.mkdir()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        inherited = {name: value for name, value in os.environ.items() if name != "PYTHONPATH"}
        environment = inherited | {
            "LB_NAME": "n1",
            "LB_LISTEN": config["listen"],
            "LB_CONFIG": str(path),
            "TMPDIR": str(scratch),
        }
        with (self._folder / f"log{self._starts}").open("w") as log:
            self._process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                run,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._record.add("placer", "is started", pid=self._process.pid)

    async def kill(self) -> None:
        """Kill the process outright."""
        assert self._process is not None
        self._record.add("placer", "is killed")
        os.killpg(self._process.pid, signal.SIGKILL)
        await self._process.wait()

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended by itself."""
        return self._process is None or self._process.returncode is not None

    async def close(self) -> None:
        """End the process, and copy its log into the record."""
        if self._process is not None and self._process.returncode is None:
            os.killpg(self._process.pid, signal.SIGKILL)
            await self._process.wait()
        for number in range(1, self._starts + 1):
            for line in (self._folder / f"log{number}").read_text().splitlines():
                self._record.add("placer", "logged", line=line)
        shutil.rmtree(self._folder, ignore_errors=True)


class Stage:
    """A coordinator, machines, a placer and the front of its owners."""

    def __init__(self, record: Record, machines: list[Machine], **changes: bool) -> None:
        self.record = record
        self.machines = machines
        self.coordinator = Coordinator(record)
        self.placer = Placer(record, self.coordinator, **changes)
        self.owner = Owner(record, self.placer.port)

    async def start(self) -> None:
        """Start all, and wait until the placer has passed a test."""
        await self.coordinator.start()
        for machine in self.machines:
            await machine.start()
        await self.coordinator.publish(*(machine.member() for machine in self.machines), whole=True)
        await self.placer.start()
        await self.connect()

    async def connect(self) -> None:
        """Connect the owners to the placer."""
        if not await self.owner.connect(CONNECT_S):
            raise CouldNotRunError("the placer has passed no test")

    def running(self) -> dict[str, Machine]:
        """Return the machine of each task that runs, by the id of its set-up."""
        return {call: machine for machine in self.machines for call in machine.tasks}

    async def close(self) -> None:
        """End all that was started."""
        self.owner.close()
        await self.placer.close()
        for machine in self.machines:
            machine.stop()


async def _play(case: Callable[[Stage], Awaitable[bool]], stage: Stage) -> bool:
    try:
        async with asyncio.timeout(LIMIT_S):
            await stage.start()
            return await case(stage)
    finally:
        await stage.close()


def play(case: Callable[[Stage], Awaitable[bool]], make_stage: Callable[[Record], Stage], path: Path) -> int:
    """Play a case, which returns whether the rule held, and record it in a file; return the exit code."""
    record = Record(path)
    # Raised out of the event loop, which then closes the stage, so that no process is left.
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(COULD_NOT_RUN))

    async def whole() -> bool:
        return await _play(case, make_stage(record))

    try:
        held = asyncio.run(whole())
    except (CouldNotRunError, OSError, TimeoutError) as error:
        record.add("case", "could not run", error=repr(error))
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return COULD_NOT_RUN
    record.add("case", "the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
