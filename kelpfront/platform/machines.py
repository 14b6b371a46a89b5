"""Connections to one machine: set-ups out, answers and releases in. A link chooses nothing.

An answer that is spoilt, or never comes whole, makes its connection useless for all that is open on it. Each
set-up that waits therefore has a connection of its own while there is room; afterwards it is used again.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import structlog

from kelpfront.interface import MachineId
from kelpfront.platform.config import Address
from kelpfront.platform.core import Core
from kelpfront.platform.intents import Abandon, Offer, Test
from kelpfront.platform.messages import LINE_MOST, BadMessageError, decode

log = structlog.get_logger("kelpfront.platform.machines")

CONNECTIONS = 16  # to one machine, as far as all machines' share goes; set-ups share beyond
IDLE_SHARE = 0.5  # of the time after which the machine closes idle connections
REOPEN_S = 0.25  # between tries to reach a machine on which tasks stand
REFUSALS = 2  # in a row, of a machine on which tasks stand: its process is dead
LINES_A_TURN = 64
SWEEP_S = 2.0
UNSAID_MOST = 256  # words on standing tasks that wait for a connection


@dataclass(slots=True, eq=False)
class _Wire:
    """One open connection and the set-ups and probes that wait on it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    waiting: dict[tuple[str, int], None] = field(default_factory=dict)
    used_at: float = 0.0
    closed: bool = False


class Budget:
    """Descriptors that all links together may hold."""

    def __init__(self, most: int) -> None:
        self.most, self.held = most, 0


class MachineLink:
    def __init__(
        self,
        ident: MachineId,
        address: Address,
        core: Core,
        now: Callable[[], float],
        flush: Callable[[], None],
        budget: Budget,
        connect_s: float,
        idle_s: float,
    ) -> None:
        self._ident, self.address, self._core, self._now, self._flush = ident, address, core, now, flush
        self._budget, self._connect_s, self._idle_s = budget, connect_s, idle_s * IDLE_SHARE
        self._wires: dict[_Wire, None] = {}
        self._queue: deque[Offer | Test] = deque()
        self._opening = 0
        self._unsaid: list[bytes] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._listening: asyncio.Task[None] | None = None
        self.closed = False

    def _spawn(self, job: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # ---- Out ------------------------------------------------------------------------------------------

    def send(self, intent: Offer | Test) -> None:
        """On an idle connection, or a new one, or one that is shared where no more may be opened."""
        wire = next((w for w in reversed(self._wires) if not w.waiting and not w.writer.is_closing()), None)
        if wire is None and not self._may_open():
            shared = [w for w in self._wires if not w.writer.is_closing()]
            wire = min(shared, key=lambda w: len(w.waiting), default=None)
        if wire is not None:
            self._write(wire, intent)
            return
        self._queue.append(intent)
        self._open()

    def _may_open(self) -> bool:
        held = len(self._wires) + self._opening
        return held == 0 or (held < CONNECTIONS and self._budget.held < self._budget.most)

    def _open(self) -> None:
        self._opening += 1
        self._budget.held += 1
        self._spawn(self._connect())

    def _write(self, wire: _Wire, intent: Offer | Test) -> None:
        if isinstance(intent, Test):
            wire.writer.write(intent.data)
            wire.waiting[intent.call, -1] = None
            return
        data = self._core.gate(self._now(), intent.call, intent.number)
        if data is not None:
            wire.waiting[intent.call, intent.number] = None
            wire.used_at = asyncio.get_running_loop().time()
            wire.writer.write(data)

    def abandon(self, intent: Abandon) -> None:
        key = intent.call, intent.number
        for wire in self._wires:
            if key in wire.waiting:
                del wire.waiting[key]
                if not wire.writer.is_closing():
                    wire.writer.write(intent.data)
                return
        self._queue = deque(i for i in self._queue if isinstance(i, Test) or (i.call, i.number) != key)

    def say(self, data: bytes) -> None:
        for wire in self._wires:
            if not wire.writer.is_closing():
                wire.writer.write(data)
                return
        if len(self._unsaid) < UNSAID_MOST:
            self._unsaid.append(data)
        self.listen()

    def listen(self) -> None:
        """Keep a connection open while tasks stand there."""
        if not self._wires and self._listening is None and not self.closed:
            self._listening = self._spawn(self._reopen())

    async def _reopen(self) -> None:
        refusals = 0
        try:
            while not self._wires and not self.closed and (self._core.holds(self._ident) or self._unsaid):
                self._budget.held += 1
                self._opening += 1
                try:
                    await self._connect(alone=True)
                except ConnectionRefusedError:
                    refusals += 1
                    if refusals >= REFUSALS:
                        self._unsaid.clear()
                        self._core.process_gone(self._now(), self._ident)
                        self._flush()
                        return
                except (OSError, TimeoutError):
                    refusals = 0
                await asyncio.sleep(REOPEN_S)
        finally:
            self._listening = None

    # ---- Connections ----------------------------------------------------------------------------------

    async def _connect(self, alone: bool = False) -> None:
        """Opens one connection and takes what waits for it; errors go to what waits, or to the caller."""
        try:
            async with asyncio.timeout(self._connect_s):
                reader, writer = await asyncio.open_connection(
                    self.address.host, self.address.port, limit=LINE_MOST
                )
        except (OSError, TimeoutError):
            self._budget.held -= 1
            self._opening -= 1
            if alone:
                raise
            self._unreachable()
            return
        except BaseException:
            self._budget.held -= 1
            self._opening -= 1
            raise
        self._opening -= 1
        wire = _Wire(reader, writer, used_at=asyncio.get_running_loop().time())
        self._wires[wire] = None
        for data in self._unsaid:
            writer.write(data)
        self._unsaid.clear()
        if self._queue:
            self._write(wire, self._queue.popleft())
        self._spawn(self._read(wire))
        self._flush()

    def _unreachable(self) -> None:
        """The one that has waited longest is told; others wait for connections of their own."""
        if self._queue:
            intent = self._queue.popleft()
            if isinstance(intent, Offer):
                self._core.unreachable(self._now(), intent.call, intent.number)
                self._flush()

    async def _read(self, wire: _Wire) -> None:
        lines = 0
        try:
            while True:
                line = await wire.reader.readuntil(b"\n")
                message = decode(line)
                now = self._now()
                if message.op in ("accept", "end", "tested"):
                    for key in [key for key in wire.waiting if key[0] == message.call]:
                        del wire.waiting[key]
                self._core.machine_says(now, self._ident, message)
                self._flush()
                lines += 1
                if lines % LINES_A_TURN == 0:
                    await asyncio.sleep(0)
        except (BadMessageError, asyncio.LimitOverrunError) as error:
            log.info("a machine's line is spoilt", machine=f"{self._ident:x}", error=str(error)[:200])
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._end(wire)

    def _end(self, wire: _Wire) -> None:
        if wire.closed:
            return
        wire.closed = True
        self._wires.pop(wire, None)
        self._budget.held -= 1
        wire.writer.transport.abort()
        now = self._now()
        for call, number in wire.waiting:
            self._core.broken(now, call, number)
        wire.waiting.clear()
        if not self.closed:
            if self._core.holds(self._ident):
                self.listen()
            self._flush()

    def sweep(self) -> None:
        """Closes what has been idle for long, but the last while tasks stand."""
        now = asyncio.get_running_loop().time()
        for wire in list(self._wires):
            last = len(self._wires) == 1 and self._core.holds(self._ident)
            if not wire.waiting and now - wire.used_at > self._idle_s and not last:
                self._end(wire)

    def close(self) -> None:
        self.closed = True
        for wire in list(self._wires):
            self._end(wire)
        for task in list(self._tasks):
            task.cancel()
