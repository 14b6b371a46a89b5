"""Connections to one machine: offers and health checks out, answers and ends in. A pool decides nothing.

An answer that is malformed, or never comes, makes its connection useless for all that is open on it. Each
offer that waits therefore has a connection of its own while there is capacity, which is used again once it
was answered in time. Descriptors are shared out by `descriptor_budget`.
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
from kelpfront.platform.timeouts import RECONNECT_MS, ReachabilityCheck
from kelpfront.scheduling.events import AttemptOutcome, MachineId

log = structlog.get_logger("kelpfront.platform.connection_pool")

MAX_CONNECTIONS = 16
"""To one machine, as far as all machines' share goes; beyond, offers share connections."""

IDLE_SHARE = 0.5
"""Of the time after which the machine closes idle connections."""

READ_BYTES = 4 * MAX_LINE_BYTES
"""Of one read."""

SWEEP_S = 2.0
"""Between checks for connections that have been idle for long."""

LINGER_S = 1.0
"""For what is still to be sent on a connection that is being closed."""

MAX_UNSENT_LINES = 256
"""Lines on running tasks that wait for a connection."""

MAX_LOGGED_ERROR = 200
"""Characters of an error in the log: it may quote what a machine sent."""

ANSWERS = frozenset({"accept", "end", "tested"})
"""Messages that answer an offer or a health check."""


class PoolContext(msgspec.Struct, frozen=True):
    """What all pools of one placer share.

    Attributes:
        access: takes messages to the core.
        budget: descriptors of all pools.
        tasks: owns the pools' tasks until they have ended.
        connect_timeout_s: for a connection.
        machine_idle_s: after which machines close idle connections.
    """

    access: CoreAccess
    budget: DescriptorBudget
    tasks: BackgroundTasks
    connect_timeout_s: float
    machine_idle_s: float


class ConnectionPool:
    """The connections to one machine at one address.

    Attributes:
        connections: those that are open, in the order in which they were.
    """

    def __init__(self, machine: MachineId, address: Address, context: PoolContext) -> None:
        self.address = address
        self.connections: dict[MachineConnection, None] = {}
        self._machine = machine
        self._core = context.access.core
        self._now = context.access.now
        self._flush = context.access.flush
        self._budget = context.budget
        self._all_tasks = context.tasks
        self._connect_timeout_s = context.connect_timeout_s
        self._max_idle_s = context.machine_idle_s * IDLE_SHARE
        # Each has a connection that is being opened, or shares one.
        self._queue: deque[Offer | SendHealthCheck] = deque()
        self._opening_count = 0
        self._unsent_lines: list[bytes] = []
        self._tasks = BackgroundTasks()
        self._reconnect_task: asyncio.Task[None] | None = None
        self._closed = False

    # ---- Offers and health checks ---------------------------------------------------------------------

    def send(self, intent: Offer | SendHealthCheck) -> None:
        """Send on an idle connection, or a new one, or one that is shared where no more may be opened."""
        idle = self._idle_connection(intent)
        if idle is not None:
            self._write(idle, intent)
            return
        if self._may_open(intent):
            self._queue.append(intent)
            self._open_another()
            return
        shared = self._shared_connection(intent)
        if shared is not None:
            self._core.limits.reached(Limit.CONNECTIONS_PER_MACHINE)
            self._write(shared, intent)
            return
        # It is sent on the first that comes up, or is given up at its time.
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
        return not has_other and self._budget.may_open_to_send()

    def _open_another(self) -> None:
        self._begin_opening()
        self._start(self._connect())

    def _begin_opening(self) -> None:
        """Count a connection that is about to be opened: what is sent until then is to know of it."""
        self._budget.acquire(self)
        self._opening_count += 1

    def _start(self, job: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._tasks.start(job)
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
            # The machine's end has not taken all of it. What it has is no message, and never becomes one.
            del connection.waiting[intent.key]
            self._end(connection)
            self._core.on_attempt_failed(self._now(), intent.key, AttemptOutcome.UNREACHABLE)
            self._flush()

    def _offer_bytes(self, offer: Offer) -> bytes | None:
        return self._core.encode_offer(self._now(), offer.key)

    def abandon(self, intent: AbandonAttempt) -> None:
        """Give an attempt up; its machine is notified also where an answer has just crossed the decision.

        An offer whose answer is no longer waited for still runs there: without notice it would run twice. One
        that has not come completely to the machine must not come later, when its client has long left.
        """
        for connection in list(self.connections):
            if intent.key in connection.waiting:
                self._abandon_on(connection, intent)
                return
        queued = len(self._queue)
        self._queue = deque(waiting for waiting in self._queue if waiting.key != intent.key)
        if len(self._queue) == queued and intent.data:
            self.send_line(intent.data)

    def _abandon_on(self, connection: MachineConnection, intent: AbandonAttempt) -> None:
        del connection.waiting[intent.key]
        is_last = not connection.waiting and not connection.is_closing
        if is_last and connection.has_unacknowledged_bytes:
            connection.discard_unacknowledged_bytes()
            self._end(connection)
            return
        if not connection.is_closing:
            connection.writer.write(intent.data)
        connection.is_spent = connection.is_spent or intent.no_response
        self._close_if_spent(connection)

    def _close_if_spent(self, connection: MachineConnection) -> None:
        """Close a connection of no more use, once nothing waits on it and what was written is sent."""
        if connection.is_spent and not connection.waiting and not connection.is_closing:
            connection.writer.close()
            asyncio.get_running_loop().call_later(LINGER_S, self._end, connection)

    # ---- Running tasks --------------------------------------------------------------------------------

    def send_line(self, data: bytes) -> None:
        """Send a line on a running task, on any connection: it is owed, however late."""
        usable = [connection for connection in self.connections if connection.is_usable]
        connection = min(usable, key=_unsent_and_waiting, default=None)
        if connection is not None:
            connection.writer.write(data)
            return
        if len(self._unsent_lines) < MAX_UNSENT_LINES:
            self._unsent_lines.append(data)
        else:
            self._core.limits.reached(Limit.UNSENT_MACHINE_LINES)
        self.keep_connected()

    def keep_connected(self) -> None:
        """Keep a connection open while tasks run there."""
        if self.connections or self._reconnect_task is not None or self._closed:
            return
        if not self._budget.may_open_to_receive():
            self._core.limits.reached(Limit.DESCRIPTORS)
            self._budget.wait(self, to_send=False)
            return
        self._reconnect_task = self._start(self._reconnect())

    async def _reconnect(self) -> None:
        reachability = ReachabilityCheck()
        try:
            while self._wants_connection():
                async with self._budget.reconnecting:
                    if self.connections or self._closed:
                        return
                    if not self._budget.may_open_to_receive():
                        self._budget.wait(self, to_send=False)
                        return
                    if await self._is_process_dead(reachability):
                        self._on_process_dead()
                        return
                await asyncio.sleep(RECONNECT_MS / 1000.0)
        finally:
            self._reconnect_task = None

    def _wants_connection(self) -> bool:
        if self.connections or self._closed:
            return False
        return self._core.has_running_tasks(self._machine) or bool(self._unsent_lines)

    async def _is_process_dead(self, reachability: ReachabilityCheck) -> bool:
        """Try to open a connection; return whether refusals prove that the machine's process is dead."""
        self._begin_opening()
        try:
            await self._open()
        except ConnectionRefusedError:
            return reachability.on_refused()
        except (OSError, TimeoutError):
            reachability.on_no_response()
        return False

    def _on_process_dead(self) -> None:
        self._unsent_lines.clear()
        self._core.on_machine_process_dead(self._now(), self._machine)
        self._flush()

    # ---- Descriptors ----------------------------------------------------------------------------------

    def try_again(self) -> None:
        """Open a connection for what is queued, or for what the machine reports on tasks, if still wanted."""
        is_wanted = self._queue or self._unsent_lines or self._core.has_running_tasks(self._machine)
        if not is_wanted or self._closed or self.connections or self._opening_count:
            self._budget.stop_waiting(self)
        elif not self._queue:
            self._budget.stop_waiting(self)  # what it had to send was given up meanwhile
            self.keep_connected()
        elif self._budget.may_open_to_send():
            self._open_another()

    def close_idle(self, connection: MachineConnection) -> None:
        """Close a connection on which nothing waits; what its machine has to report comes on the next."""
        self._end(connection, reconnect=False)

    # ---- Connections ----------------------------------------------------------------------------------

    async def _connect(self) -> None:
        try:
            await self._open()
        except (OSError, TimeoutError):
            self._on_not_opened()

    async def _open(self) -> None:
        """Open one connection and write what waits for it.

        Cancelled, it leaves the count of connections being opened to `close`, which takes all of them back.

        Raises:
            OSError: it does not come up.
            TimeoutError: it does not come up in time.
        """
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
        if self._closed:  # which has taken back what was begun
            writer.transport.abort()
            return
        self._opening_count -= 1
        self._use(MachineConnection(reader, writer, asyncio.get_running_loop().time()))

    def _use(self, connection: MachineConnection) -> None:
        self.connections[connection] = None
        self._budget.on_used(connection, self)
        for data in self._unsent_lines:
            connection.writer.write(data)
        self._unsent_lines.clear()
        self._start(self._read(connection))
        self._send_queued_on_free(connection)
        self._send_queued_on_shared()
        self._flush()

    def _send_queued_on_free(self, connection: MachineConnection) -> None:
        """Send what waits longest on a connection that has become free, not only on its own."""
        while self._queue and not connection.waiting and connection.accepts(self._queue[0]):
            self._write(connection, self._queue.popleft())

    def _send_queued_on_shared(self) -> None:
        """Send what is queued and has no connection of its own under way on one that is there."""
        while len(self._queue) > self._opening_count:
            shared = self._shared_connection(self._queue[0])
            if shared is None:
                return
            self._write(shared, self._queue.popleft())

    def _on_not_opened(self) -> None:
        """Report the offer that has waited longest as failed; and all, where no connection is under way."""
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
            while data := await connection.reader.read(READ_BYTES):
                for line in splitter.feed(data):
                    self._on_message(connection, decode(line))
                self._send_queued_on_free(connection)
                self._flush()
        except InvalidMessageError as error:
            text = str(error)[:MAX_LOGGED_ERROR]
            log.info("invalid machine message", machine=f"{self._machine:x}", error=text)
        except OSError:
            pass  # reset by the machine
        finally:  # also where the task is cancelled: what waits here must not wait on
            self._end(connection)

    def _on_message(self, connection: MachineConnection, message: Message) -> None:
        """Hand a message to the core first: what it cannot use leaves its offer waiting.

        That is reported with the connection's end. A machine answers an offer where it came, so an answer
        speaks of the attempt that was sent there.
        """
        attempt_number = connection.sent.get(message.call)
        self._core.on_machine_message(self._now(), self._machine, message, attempt_number)
        if attempt_number is not None and message.op in ANSWERS:
            connection.waiting.pop(AttemptKey(message.call, attempt_number), None)
            self._close_if_spent(connection)
            if not connection.waiting:
                self._budget.on_idle()

    def _end(self, connection: MachineConnection, *, reconnect: bool = True) -> None:
        """End a connection; what waits on it is reported as reset."""
        if connection.is_closed:
            return
        connection.is_closed = True
        del self.connections[connection]
        self._budget.release(connection)
        connection.writer.transport.abort()
        now = self._now()
        for key in connection.waiting:
            self._core.on_attempt_failed(now, key, AttemptOutcome.RESET)
        connection.waiting.clear()
        if self._closed:
            return
        self._core.on_machine_disconnected(self._machine)
        if reconnect and self._core.has_running_tasks(self._machine):
            self.keep_connected()
        self._on_not_opened()  # it may have ended before anything was sent on it

    def sweep(self) -> None:
        """Close what has been idle for long, but the last connection while tasks run."""
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            is_last = len(self.connections) == 1 and self._core.has_running_tasks(self._machine)
            is_idle = not connection.waiting and now - connection.used_at > self._max_idle_s
            if is_idle and not is_last:
                self._end(connection)

    def close(self) -> None:
        """Break all connections; what waits is reported, so that nothing is held for its time-out."""
        self._closed = True
        self._budget.stop_waiting(self)
        for connection in list(self.connections):
            self._end(connection)
        for intent in self._queue:
            self._report_unreachable(intent)
        self._queue.clear()
        self._tasks.cancel()
        for _ in range(self._opening_count):  # of those that are cancelled, maybe before they ran
            self._budget.release()
        self._opening_count = 0


def _unsent_and_waiting(connection: MachineConnection) -> tuple[int, int]:
    return connection.unsent_bytes, len(connection.waiting)
