"""The failure detector's connections to machines, which carry health checks and their answers.

The detector's core decides when a machine is checked and evaluates the answers. A connection is made when a
check is due and there is none.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from kelpfront.failure_detection.detector import DueCheck, FailureDetector
from kelpfront.platform import messages
from kelpfront.platform.config import Address
from kelpfront.platform.messages import InvalidMessageError, LineSplitter
from kelpfront.scheduling.events import MachineId

_CHECK_OP = "test"
_ANSWER_OP = "tested"
_CHECK_REASON = 0  # the field `why` of the message has no meaning in a health check


class MachineConnection(asyncio.Protocol):
    """The connection to one machine at one address. MachineConnections owns the task that connects."""

    def __init__(self, machine: MachineId, address: Address, owner: MachineConnections) -> None:
        self.address = address
        self._machine = machine
        self._owner = owner
        self._transport: asyncio.Transport | None = None
        self._lines = LineSplitter()
        self._connect_task: asyncio.Task[None] | None = None

    def check(self, *, reconnect: bool) -> None:
        """Send a health check, after connecting if there is no connection."""
        if reconnect:
            self._abort()
        if self._transport is None:
            if self._connect_task is None:
                self._connect_task = self._owner.start_task(self._connect())
            return
        is_congested = self._transport.get_write_buffer_size() > 0
        if is_congested:
            self._owner.detector.record_unsent_check(self._machine)
        else:
            self._send_check()

    def close(self) -> None:
        """Close the connection and cancel a connect in progress; MachineConnections awaits its end."""
        if self._connect_task is not None:
            self._connect_task.cancel()
        self._abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to use a new connection and report it to the detector."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._lines = LineSplitter()
        self._owner.detector.record_connection(self._owner.now(), self._machine)

    def data_received(self, data: bytes) -> None:
        """Apply received answers; a machine that violates the protocol is disconnected."""
        try:
            for line in self._lines.feed(data):
                message = messages.decode(line)
                if message.op == _ANSWER_OP:
                    self._owner.detector.record_answer(self._machine, message.call)
        except InvalidMessageError:
            self._abort()

    def connection_lost(self, _error: Exception | None) -> None:
        """Drop the connection; the next check makes a new one."""
        self._transport = None

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(self._owner.connect_timeout_s):
                await loop.create_connection(lambda: self, self.address.host, self.address.port)
            self._send_check()
        except (OSError, TimeoutError):
            self._owner.detector.record_unsent_check(self._machine)
        finally:
            self._connect_task = None

    def _send_check(self) -> None:
        call_id = self._owner.detector.begin_check(self._owner.now(), self._machine)
        if call_id is not None and self._transport is not None:
            self._transport.write(messages.encode(_CHECK_OP, call_id, {}, _CHECK_REASON))

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()
            self._transport = None


class MachineConnections:
    """All connections to machines, and the tasks that establish them."""

    def __init__(self, detector: FailureDetector, now: Callable[[], float], connect_timeout_s: float) -> None:
        self.detector = detector
        self.now = now
        self.connect_timeout_s = connect_timeout_s
        self._by_machine: dict[MachineId, MachineConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        return len(self._by_machine)

    def check(self, check: DueCheck, address: Address) -> None:
        """Send a health check to the machine at an address."""
        connection = self._by_machine.get(check.machine)
        if connection is None or connection.address != address:
            self.remove(check.machine)
            connection = MachineConnection(check.machine, address, self)
            self._by_machine[check.machine] = connection
        connection.check(reconnect=check.reconnect)

    def remove(self, machine: MachineId) -> None:
        """Close the connection to a machine, if there is one."""
        connection = self._by_machine.pop(machine, None)
        if connection is not None:
            connection.close()

    def start_task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task; `close` cancels and awaits it if it is still running."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Close all connections and await the end of their tasks."""
        for machine in list(self._by_machine):
            self.remove(machine)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
