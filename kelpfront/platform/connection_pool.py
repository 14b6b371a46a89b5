"""Connection pool of one machine: sends offers and health checks, receives answers and task ends.

A pool makes no scheduling decisions. A malformed or missing answer makes its connection unusable for every
request that is pending on it. While there is capacity, each pending offer therefore has a connection to
itself, which is reused once the offer was answered in time. `descriptor_budget` divides the file descriptors
among the pools.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Coroutine
from typing import Any

import msgspec
import structlog

from kelpfront.platform.background_tasks import BackgroundTasks
from kelpfront.platform.config import Address
from kelpfront.platform.core_access import CoreAccess
from kelpfront.platform.descriptor_budget import DescriptorBudget
from kelpfront.platform.intents import AbandonAttempt, AttemptKey, Offer, SendHealthCheck
from kelpfront.platform.limits import Limit
from kelpfront.platform.machine_connection import MachineConnection
from kelpfront.platform.messages import MAX_LINE_BYTES, InvalidMessageError, LineSplitter, Message, decode
from kelpfront.platform.reconnector import Reconnector
from kelpfront.scheduling.events import AttemptOutcome, MachineId

log = structlog.get_logger("kelpfront.platform.connection_pool")

MAX_CONNECTIONS = 16
"""Maximum connections to one machine, within the descriptor budget; further offers share connections."""

MAX_IDLE_FRACTION = 0.5
"""A connection is closed after this fraction of the time after which the machine would close it."""

MAX_READ_BYTES = 4 * MAX_LINE_BYTES
"""Maximum bytes per read."""

SWEEP_INTERVAL_S = 2.0
"""Interval between checks for connections that have been idle for too long."""

DRAIN_TIMEOUT_S = 8.0
"""Time for which a half-closed connection is read; a later report of a task's end would be too late."""

MAX_UNSENT_LINES = 256
"""Maximum lines about running tasks that wait for a connection."""

MAX_LOGGED_ERROR_CHARS = 200
"""Maximum length of a logged error, which may quote what a machine sent."""

ANSWER_OPS = frozenset({"accept", "end", "tested"})
"""Values of `op` of messages that answer an offer or a health check."""


class PoolContext(msgspec.Struct, frozen=True):
    """What all pools of one placer share.

    Attributes:
        access: gives access to the core, which receives the messages.
        budget: file descriptors of all pools.
        tasks: keeps track of the asyncio tasks of all pools.
        connect_timeout_s: time allowed for opening a connection.
        machine_idle_s: time after which machines close idle connections.
    """

    access: CoreAccess
    budget: DescriptorBudget
    tasks: BackgroundTasks
    connect_timeout_s: float
    machine_idle_s: float


class ConnectionPool:
    """The connections to one machine at one address.

    Attributes:
        connections: the open connections, in the order in which they were opened.
        draining: half-closed connections, which are read until the machine closes them too.
    """

    def __init__(self, machine: MachineId, address: Address, context: PoolContext) -> None:
        self.address = address
        self.connections: dict[MachineConnection, None] = {}
        self.draining: dict[MachineConnection, None] = {}
        self._machine = machine
        self._core = context.access.core
        self._now = context.access.now
        self._flush = context.access.flush
        self._budget = context.budget
        self._all_tasks = context.tasks
        self._connect_timeout_s = context.connect_timeout_s
        self._max_idle_s = context.machine_idle_s * MAX_IDLE_FRACTION
        # Each waits for a connection that is being opened, possibly one shared with others.
        self._queue: deque[Offer | SendHealthCheck] = deque()
        self._opening_count = 0
        self._unsent_lines: list[bytes] = []
        self._tasks = BackgroundTasks()
        self._closed = False
        self._reconnector = Reconnector(self, context.budget, self._core.limits, self._start_task)

    # ---- Offers and health checks ---------------------------------------------------------------------

    def send(self, intent: Offer | SendHealthCheck) -> None:
        """Send on an idle connection, else on a new one, else on a shared one if no more may be opened."""
        idle = self._idle_connection(intent)
        if idle is not None:
            self._write(idle, intent)
            return
        if self._may_open(intent):
            self._queue.append(intent)
            self._start_connecting()
            return
        shared = self._shared_connection(intent)
        if shared is not None:
            self._core.limits.reached(Limit.CONNECTIONS_PER_MACHINE)
            self._write(shared, intent)
            return
        # It is sent on the first connection that opens, or abandoned when it times out.
        if not self._opening_count and not self.connections:
            self._core.limits.reached(Limit.DESCRIPTORS)
            self._budget.wait(self, to_send=True)
        self._queue.append(intent)

    def _idle_connection(self, intent: Offer | SendHealthCheck) -> MachineConnection | None:
        for connection in reversed(self.connections):
            if not connection.waiting and connection.accepts(intent):
                return connection
        return None

    def _shared_connection(self, intent: Offer | SendHealthCheck) -> MachineConnection | None:
        usable = [connection for connection in self.connections if connection.accepts(intent)]
        return min(usable, key=lambda connection: len(connection.waiting), default=None)

    def _may_open(self, intent: Offer | SendHealthCheck) -> bool:
        if len(self.connections) + self._opening_count >= MAX_CONNECTIONS:
            return False
        if self._budget.is_within_limit():
            return True
        has_other = self._opening_count or any(connection.accepts(intent) for connection in self.connections)
        return not has_other and self._budget.ensure_descriptor_to_send()

    def _start_connecting(self) -> None:
        self._reserve_opening()
        self._start_task(self._connect())

    def _reserve_opening(self) -> None:
        """Count a connection before its task runs, so that sends in the meantime take it into account."""
        self._budget.acquire(self)
        self._opening_count += 1

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._tasks.start(coroutine)
        self._all_tasks.add(task)
        return task

    def _write(self, connection: MachineConnection, intent: Offer | SendHealthCheck) -> None:
        data = intent.data if isinstance(intent, SendHealthCheck) else self._offer_bytes(intent)
        if data is None:
            return
        connection.on_sent(intent.key)
        connection.used_at = asyncio.get_running_loop().time()
        self._budget.on_used(connection, self)
        connection.writer.write(data)
        if connection.unsent_bytes and isinstance(intent, Offer):
            # The kernel accepted only part of the offer; close the connection so that it is never completed.
            del connection.waiting[intent.key]
            self._close_connection(connection)
            self._core.on_attempt_failed(self._now(), intent.key, AttemptOutcome.UNREACHABLE)
            self._flush()

    def _offer_bytes(self, offer: Offer) -> bytes | None:
        return self._core.encode_offer(self._now(), offer.key)

    def abandon(self, intent: AbandonAttempt) -> None:
        """Abandon an attempt, and notify its machine even if its answer was received just after the decision.

        The machine may still run an offer whose answer nobody waits for; without the notification the task
        would run twice. An offer that the machine has not received completely must not arrive later, when its
        client has long left.
        """
        for connection in list(self.connections):
            if intent.key in connection.waiting:
                self._abandon_on(connection, intent)
                return
        queue_length = len(self._queue)
        self._queue = deque(queued for queued in self._queue if queued.key != intent.key)
        if len(self._queue) == queue_length and intent.data:
            self.send_line(intent.data)

    def _abandon_on(self, connection: MachineConnection, intent: AbandonAttempt) -> None:
        del connection.waiting[intent.key]
        is_last = not connection.waiting and not connection.is_closing
        if is_last and connection.has_unacknowledged_bytes:
            connection.discard_unacknowledged_bytes()
            self._close_connection(connection)
            return
        if not connection.is_closing:
            connection.writer.write(intent.data)
        connection.is_retired = connection.is_retired or intent.no_response
        self._close_if_retired(connection)

    def _close_if_retired(self, connection: MachineConnection) -> None:
        """Close a retired connection once nothing waits on it."""
        if connection.is_retired and not connection.waiting and connection in self.connections:
            self._drain(connection)

    def _drain(self, connection: MachineConnection) -> None:
        """Half-close a connection, and read it until the machine closes it too.

        A machine that hangs, or that has not read the end of the stream yet, still reports there.
        """
        connection.is_retired = True
        del self.connections[connection]
        self.draining[connection] = None
        loop = asyncio.get_running_loop()
        connection.drain_timer = loop.call_later(DRAIN_TIMEOUT_S, self._close_connection, connection)
        if not connection.end_output():
            self._close_connection(connection)
            return
        self.keep_connected()

    # ---- Running tasks --------------------------------------------------------------------------------

    def send_line(self, data: bytes) -> None:
        """Send a line about a running task on any connection; it has to be delivered, however late."""
        usable = [connection for connection in self.connections if connection.is_usable]
        connection = min(usable, key=_load_order, default=None)
        if connection is not None:
            connection.writer.write(data)
            return
        if len(self._unsent_lines) < MAX_UNSENT_LINES:
            self._unsent_lines.append(data)
        else:
            self._core.limits.reached(Limit.UNSENT_MACHINE_LINES)
        self.keep_connected()

    def keep_connected(self) -> None:
        """Keep a connection open while tasks run on the machine, and open another if reports may be lost."""
        self._reconnector.ensure_connected()

    def recover_reports(self) -> None:
        """Open a new connection, on which the machine repeats its reports on tasks that have ended."""
        self._record_report_loss()
        self.keep_connected()

    def _record_report_loss(self) -> None:
        self._reconnector.recovery.on_reports_lost()
        self._core.counters.report_losses += 1

    @property
    def is_connected(self) -> bool:
        """Whether a connection is open that is not being closed."""
        return bool(self.connections)

    @property
    def is_opening(self) -> bool:
        """Whether a connection is being opened."""
        return bool(self._opening_count)

    @property
    def needs_reports(self) -> bool:
        """Whether tasks run on the machine, or lines about them wait to be sent."""
        if self._closed:
            return False
        return self._core.has_running_tasks(self._machine) or bool(self._unsent_lines)

    async def open_connection(self) -> None:
        """Open one connection and send what waits for it.

        Raises:
            OSError: the connection cannot be opened.
            TimeoutError: the connection is not opened in time.
        """
        self._reserve_opening()
        await self._open()

    def on_process_dead(self) -> None:
        """End the tasks of the machine, whose process is dead."""
        self._unsent_lines.clear()
        self._core.on_machine_process_dead(self._now(), self._machine)
        self._flush()

    # ---- Descriptors ----------------------------------------------------------------------------------

    def open_if_needed(self) -> None:
        """Open a connection to send what is queued or to receive reports on tasks, if it is still needed."""
        has_to_send = bool(self._queue) and not self.connections
        is_needed = has_to_send or self._reconnector.needs_connection
        if not is_needed or self._closed or self._opening_count:
            self._budget.stop_waiting(self)
        elif not has_to_send:
            self._budget.stop_waiting(self)  # what it had to send was abandoned in the meantime
            self.keep_connected()
        elif self._budget.ensure_descriptor_to_send():
            self._start_connecting()

    def close_idle(self, connection: MachineConnection) -> None:
        """Close a connection on which nothing waits; the machine sends its reports on the next one.

        That one is opened once a descriptor is available.
        """
        self._close_connection(connection, reconnect=False)
        if self._reconnector.needs_connection:
            self._budget.wait(self, to_send=False)

    # ---- Connections ----------------------------------------------------------------------------------

    async def _connect(self) -> None:
        try:
            await self._open()
        except (OSError, TimeoutError):
            self._on_open_failed()
            self.keep_connected()

    async def _open(self) -> None:
        """Open one connection and send what waits for it.

        If the task is cancelled, `close` resets the count of connections that are being opened.

        Raises:
            OSError: the connection cannot be opened.
            TimeoutError: the connection is not opened in time.
        """
        recovery_mark = self._reconnector.recovery.begin_opening()
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                reader, writer = await asyncio.open_connection(
                    self.address.host, self.address.port, limit=MAX_LINE_BYTES
                )
        except (OSError, TimeoutError):
            if not self._closed:
                self._opening_count -= 1
                self._budget.release()
            raise
        if self._closed:  # `close` has reset the count and released the descriptor
            writer.transport.abort()
            return
        self._opening_count -= 1
        self._reconnector.recovery.on_opened(recovery_mark)
        self._on_opened(MachineConnection(reader, writer, asyncio.get_running_loop().time()))

    def _on_opened(self, connection: MachineConnection) -> None:
        self.connections[connection] = None
        self._budget.on_used(connection, self)
        for data in self._unsent_lines:
            connection.writer.write(data)
        self._unsent_lines.clear()
        self._start_task(self._read(connection))
        self._send_queued_on_idle(connection)
        self._send_queued_on_shared()
        self._flush()
        self.keep_connected()  # its opening may have begun too early to make up for lost reports

    def _send_queued_on_idle(self, connection: MachineConnection) -> None:
        """Send queued requests on an idle connection, even if a new one is being opened for them."""
        while self._queue and not connection.waiting and connection.accepts(self._queue[0]):
            self._write(connection, self._queue.popleft())

    def _send_queued_on_shared(self) -> None:
        """Send queued requests for which no connection is being opened on connections that are open."""
        while len(self._queue) > self._opening_count:
            shared = self._shared_connection(self._queue[0])
            if shared is None:
                return
            self._write(shared, self._queue.popleft())

    def _on_open_failed(self) -> None:
        """Report queued offers for which no connection is being opened as unreachable, oldest first."""
        self._send_queued_on_shared()
        while self._queue and len(self._queue) > self._opening_count:
            self._report_unreachable(self._queue.popleft())
        self._flush()

    def _report_unreachable(self, intent: Offer | SendHealthCheck) -> None:
        if isinstance(intent, Offer):
            self._core.on_attempt_failed(self._now(), intent.key, AttemptOutcome.UNREACHABLE)

    async def _read(self, connection: MachineConnection) -> None:
        splitter = LineSplitter()
        try:
            while data := await connection.reader.read(MAX_READ_BYTES):
                for line in splitter.feed(data):
                    self._on_message(connection, decode(line))
                self._send_queued_on_idle(connection)
                self._flush()
            connection.is_read_to_end = not connection.is_closing
        except InvalidMessageError as error:
            text = str(error)[:MAX_LOGGED_ERROR_CHARS]
            log.info("invalid machine message", machine=f"{self._machine:x}", error=text)
        except OSError:  # the machine reset the connection
            # In answer to a half-close it ends the stream: what the machine wrote before has been read.
            connection.is_read_to_end = connection in self.draining
        finally:  # also on cancellation: nothing may go on waiting on this connection
            self._close_connection(connection)

    def _on_message(self, connection: MachineConnection, message: Message) -> None:
        """Pass a message to the core, then mark the offer or health check that it answers as answered.

        A message that the core rejects leaves its offer waiting; the offer is reported as failed when the
        connection is closed. A machine answers an offer on the connection on which it received it, so an
        answer belongs to the attempt that was sent there.
        """
        attempt_number = connection.sent.get(message.call)
        self._core.on_machine_message(self._now(), self._machine, message, attempt_number)
        if attempt_number is not None and message.op in ANSWER_OPS:
            connection.waiting.pop(AttemptKey(message.call, attempt_number), None)
            self._close_if_retired(connection)
            if not connection.waiting:
                self._budget.on_idle()

    def _close_connection(self, connection: MachineConnection, *, reconnect: bool = True) -> None:
        """Close a connection; report what waits on it as reset."""
        if connection.is_closed:
            return
        connection.is_closed = True
        if connection.drain_timer is not None:
            connection.drain_timer.cancel()  # it would keep the connection in memory until then
        self.connections.pop(connection, None)
        self.draining.pop(connection, None)
        self._budget.release(connection)
        connection.writer.transport.abort()
        now = self._now()
        for key in connection.waiting:
            self._core.on_attempt_failed(now, key, AttemptOutcome.RESET)
        connection.waiting.clear()
        if self._closed:
            return
        if not connection.is_read_to_end and self._core.has_running_tasks(self._machine):
            self._record_report_loss()
        self._core.on_machine_disconnected(self._machine)
        self._on_open_failed()  # it may have been closed before anything was sent on it
        if reconnect:
            self.keep_connected()

    def sweep(self) -> None:
        """Close connections that have been idle for too long, except the last one while tasks run."""
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            is_last = len(self.connections) == 1 and self._core.has_running_tasks(self._machine)
            is_idle = not connection.waiting and now - connection.used_at > self._max_idle_s
            if not is_idle or is_last:
                continue
            if connection.has_unacknowledged_bytes:  # the machine is cut off
                self._close_connection(connection)
            else:
                self._drain(connection)

    def close(self) -> None:
        """Abort all connections; report what waits as failed immediately, not only at its time-out."""
        self._closed = True
        self._budget.stop_waiting(self)
        for connection in [*self.connections, *self.draining]:
            self._close_connection(connection)
        for intent in self._queue:
            self._report_unreachable(intent)
        self._queue.clear()
        self._tasks.cancel()
        for _ in range(self._opening_count):  # of the cancelled tasks, which may not have run yet
            self._budget.release()
        self._opening_count = 0


def _load_order(connection: MachineConnection) -> tuple[int, int]:
    return connection.unsent_bytes, len(connection.waiting)
