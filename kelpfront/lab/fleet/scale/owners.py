"""The owners of one placer: tasks handed over, set-ups, and what they are answered and told of ends."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

from kelpfront.lab.fleet.scale.shape import (
    TASK_CORES,
    TASK_MEMORY_GB,
    Shape,
    machine_name,
    machine_number,
    new_call,
    standing_call,
)
from kelpfront.lab.fleet.scale.traffic import IN, OUT, Traffic
from kelpfront.lab.fleet.settings import CLASSES
from kelpfront.platform.messages import (
    RETRYABLE_CAUSES,
    Cause,
    InvalidMessageError,
    LineSplitter,
    Message,
    decode,
    encode,
)

DESC = "v=0\r\nc=IN IP4 127.0.0.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
LEFT_MS = 2_000
LATE_MS = 500  # past that, a set-up without an answer counts as unanswered
CALLS_OF_ONE = 1_000  # of one connection
PACES = 20  # parts in which all machines are named, where it is done at a pace
READY_EVERY_S = 0.02
READY_WITHIN_S = 60.0
TEST_CALL = "00000000000000f0"


@dataclass(slots=True)
class Wait:
    """Tasks on machines that have fallen silent, until their owners are told; seconds of the common clock."""

    since: float
    machines: set[int]
    calls: set[str]
    told: list[float] = field(default_factory=list)


class Owners:
    """Of one placer; they hold as many connections as its tasks need."""

    def __init__(self, shape: Shape, placer: int, host: str, port: int, traffic: Traffic) -> None:
        self._shape, self._placer, self._host, self._port = shape, placer, host, port
        self._traffic = traffic
        self._links: list[OwnerLink] = []
        self.standing = {
            standing_call(placer, number): shape.machine_of_task(placer, number)
            for number in range(shape.tasks_of(placer))
        }
        self._open: dict[str, float] = {}
        self._answered: set[str] = set()
        self.counts: Counter[str] = Counter()
        self.wait: Wait | None = None
        self._numbers = 0
        self._turn = 0

    # ---- Connections ----------------------------------------------------------------------------------

    async def until_ready(self) -> float:
        """Waits until a test is passed; when that was. TimeoutError after a minute."""
        async with asyncio.timeout(READY_WITHIN_S):
            while True:
                try:
                    link = await self._connect()
                    passed = await link.test()
                    if passed:
                        self._links.append(link)
                        return time.monotonic()
                    link.transport.abort()
                except OSError:
                    pass
                await asyncio.sleep(READY_EVERY_S)

    async def _connect(self) -> OwnerLink:
        loop = asyncio.get_running_loop()
        _, link = await loop.create_connection(lambda: OwnerLink(self), self._host, self._port)
        return link

    async def hand_over(self, over_s: float = 0.0) -> None:
        """Names all that stands, and waits until the placer has read it.

        `over_s`: each machine is named for the first time at an even pace within so many seconds. Placers
        test their machines in the order in which they met them: all at once, they would go on so.
        """
        calls, links = list(self.standing.items()), list[OwnerLink]()
        began, first = time.monotonic(), min(len(calls), self._shape.machines)
        at_once = max(1, first // PACES) if over_s else CALLS_OF_ONE
        for start in range(0, len(calls), at_once):
            if start // CALLS_OF_ONE >= len(links):
                links.append(await self._connect())
                self._links.append(links[-1])
            link = links[-1]
            for call, machine in calls[start : start + at_once]:
                extras = self._extras(call) + f";at:{machine_name(machine)}"
                link.say("offer at", self._offer(call, extras, 0))
            await link.test()
            if over_s:
                due = began + over_s * min(1.0, (start + at_once) / first)
                await asyncio.sleep(max(0.0, due - time.monotonic()))

    def close(self) -> None:
        for link in self._links:
            link.transport.abort()
        self._links.clear()

    def lost(self, link: OwnerLink) -> None:
        if link in self._links:
            self._links.remove(link)
            self.counts["connections lost"] += 1

    # ---- Set-ups --------------------------------------------------------------------------------------

    @staticmethod
    def _extras(call: str) -> str:
        return f"cores:{TASK_CORES};memory:{TASK_MEMORY_GB};service:00000000{call[-8:]}"

    @staticmethod
    def _offer(call: str, extras: str, cls: int) -> bytes:
        fields = {"class": CLASSES[cls][0], "left": str(LEFT_MS), "key": call, "extras": extras}
        if CLASSES[cls][1] == "guarded":
            fields["idem"] = call * 2
        return encode("offer", call, fields, desc=DESC)

    def submit(self) -> None:
        """One more task; nothing where no connection is open."""
        if not self._links:
            self.counts["no connection"] += 1
            return
        self._numbers += 1
        call = new_call(self._placer, self._numbers)
        self._turn += 1
        link = self._links[self._turn % len(self._links)]
        self._open[call] = time.monotonic()
        self.counts["set_ups"] += 1
        link.say("offer", self._offer(call, self._extras(call), self._numbers % len(CLASSES)))

    def said(self, message: Message) -> None:
        call = message.call
        if message.op == "accept":
            if call not in self._open:
                self.counts["double"] += 1
                return
            self._answer(call, "accepted")
            self.standing[call] = machine_number(message.desc)
        elif message.op == "end":
            if call in self._open:
                self._answer(call, "refused" if message.why in RETRYABLE_CAUSES else "failed")
            elif call in self.standing:
                self._released(call, self.standing.pop(call), message.why)
            else:
                self.counts["double"] += call in self._answered
        elif message.op == "redirect":
            self.standing.pop(call, None)
            self.counts["moved"] += 1

    def _released(self, call: str, machine: int, why: int) -> None:
        self.counts["released"] += 1
        wait = self.wait
        if wait is not None and call in wait.calls:
            wait.calls.discard(call)
            if why != Cause.NORMAL:  # else its end was on its way as its machine fell silent
                wait.told.append(time.monotonic() - wait.since)
        elif why != Cause.NORMAL and (wait is None or machine not in wait.machines):
            self.counts["false_losses"] += 1

    def _answer(self, call: str, how: str) -> None:
        del self._open[call]
        self._answered.add(call)
        self.counts[how] += 1

    def unanswered(self) -> int:
        """Set-ups whose time is over by half a second, and that had no answer."""
        until = time.monotonic() - (LEFT_MS + LATE_MS) / 1000.0
        return sum(at < until for at in self._open.values())

    @property
    def waiting(self) -> int:
        return len(self._open)

    def watch(self, machines: set[int], since: float) -> int:
        """From now on, counts how long owners wait to be told of tasks there; how many there are."""
        calls = {call for call, machine in self.standing.items() if machine in machines}
        self.wait = Wait(since, machines, calls)
        return len(calls)

    def count(self, way: str, op: str, size: int) -> None:
        self._traffic.add(self._placer, way, op, size)


class OwnerLink(asyncio.Protocol):
    transport: asyncio.Transport

    def __init__(self, owners: Owners) -> None:
        self._owners, self._lines = owners, LineSplitter()
        self._tested: asyncio.Future[bool] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        if self._tested is not None and not self._tested.done():
            self._tested.set_exception(ConnectionResetError("closed under a test"))
        self._owners.lost(self)

    def data_received(self, data: bytes) -> None:
        try:
            for line in self._lines.feed(data):
                message = decode(line)
                self._owners.count(IN, message.op, len(line) + 1)
                if message.op == "tested":
                    if self._tested is not None and not self._tested.done():
                        self._tested.set_result(message.why == 1)
                else:
                    self._owners.said(message)
        except InvalidMessageError:
            self._owners.counts["unreadable"] += 1
            self.transport.abort()

    def say(self, op: str, data: bytes) -> None:
        self._owners.count(OUT, op, len(data))
        self.transport.write(data)

    async def test(self) -> bool:
        """Whether a test is passed; all that was said before has been read by then."""
        self._tested = asyncio.get_running_loop().create_future()
        self.say("test", encode("test", TEST_CALL, {}, 0))
        return await self._tested
