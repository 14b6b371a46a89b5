"""Placement requests of one placer, their attempts, and the ids of finished requests. Pure.

The table is the only place that keeps a request from its arrival to its end. Requests are answered by
`request_lifecycle`, and attempts are ended by `attempts`.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from kelpfront.platform.intents import AttemptKey, ConnectionId
from kelpfront.platform.limits import Limit, LimitMonitor
from kelpfront.platform.messages import PlacementRequest
from kelpfront.platform.request_memory import RequestMemory
from kelpfront.scheduling.events import MachineId, TaskId

MAX_REQUESTS = 8_192
"""Limit of requests, waiting or with a running task; above it, requests are rejected as congestion."""

MAX_REQUESTS_PER_CONNECTION = 2_048
"""The same limit for one connection, so that one client cannot use up the capacity of all."""

ADOPTED_MEMORY_SHARE = 0.25
"""Share of the configured memory that adopted tasks may use."""

REQUEST_MEMORY_SHARE = 0.2
"""Share of the configured memory that requests and running tasks may use, adopted tasks excluded."""

BYTES_PER_REQUEST = 2_048
"""Memory of one request or task without its content, including the scheduler's state of it."""

MAX_ENDED_IDS = 4_096
"""Limit of remembered ids of finished requests, by which late messages on them are recognized."""

MAX_EXECUTED_IDS = 8_192
"""Limit of remembered ids of finished requests that a machine may have executed."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A placement request and the task that runs because of it.

    Attributes:
        spec: the content of the request.
        deadline: when the client stops waiting, in Unix milliseconds.
        attempt_count: attempts made so far.
        attempt: the attempt in flight, or the accepted one whose task runs.
        submitted: whether the scheduler has received the request.
        answered: whether no final answer is due any more.
        ended: whether the client ended the task or it was migrated, so that no end is sent to the client.
        adopted: whether the task was placed by a previous incarnation and handed over by its client.
        possibly_executed: whether a machine may have executed one of its ended attempts.
    """

    request_id: str
    task: TaskId
    connection: ConnectionId
    peer: str
    spec: PlacementRequest
    deadline: float
    attempt_count: int = 0
    attempt: Attempt | None = None
    submitted: bool = False
    answered: bool = False
    ended: bool = False
    adopted: bool = False
    possibly_executed: bool = False

    @property
    def memory_bytes(self) -> int:
        """The memory that the request uses."""
        return BYTES_PER_REQUEST + len(self.spec.encoded_content)


@dataclass(slots=True, eq=False)
class Attempt:
    """One offer of a request to one machine. Times are Unix milliseconds.

    Attributes:
        deadline: when an attempt without an answer is abandoned.
        send_by: the latest time at which sending may begin.
        sent: whether the offer was written to the machine.
        accepted: whether the machine accepted it; the task runs until the attempt is closed.
    """

    request: PendingRequest
    number: int
    machine: MachineId
    created_at: float
    deadline: float
    send_by: float
    sent: bool = False
    accepted: bool = False

    @property
    def key(self) -> AttemptKey:
        """The key that identifies the attempt to the connections."""
        return AttemptKey(self.request.request_id, self.number)


def max_adopted_tasks(memory_mb: float) -> int:
    """Return how many tasks a placer with this much memory may adopt.

    Adopted tasks do not share the limits of new requests. They already run, and if one is not adopted, nobody
    is notified and no placer tracks it, whereas the client of a rejected request is notified and may retry.
    """
    return max(1, int(memory_mb * 2**20 * ADOPTED_MEMORY_SHARE / BYTES_PER_REQUEST))


def max_request_bytes(memory_mb: float) -> int:
    """Return how much memory requests may use in a placer with this memory limit."""
    return int(memory_mb * 2**20 * REQUEST_MEMORY_SHARE)


class RequestTable:
    """All requests and running tasks of one placer, by request id and by the scheduler's task id."""

    def __init__(self, limits: LimitMonitor, memory_mb: float) -> None:
        self._limits = limits
        self._memory = RequestMemory(max_request_bytes(memory_mb))
        self._adopted_limit = max_adopted_tasks(memory_mb)
        self._adopted_count = 0
        self._per_connection: Counter[ConnectionId] = Counter()  # excludes adopted tasks
        self._by_id: dict[str, PendingRequest] = {}
        self._by_task: dict[TaskId, PendingRequest] = {}
        self._ended: dict[str, None] = {}
        self._executed: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def unanswered_count(self) -> int:
        """The number of requests that have not received their final answer."""
        return sum(not request.answered for request in self._by_id.values())

    def get(self, request_id: str) -> PendingRequest | None:
        """Return the current request with that id; None if there is none."""
        return self._by_id.get(request_id)

    def of_task(self, task: TaskId) -> PendingRequest | None:
        """Return the request with the scheduler's task id."""
        return self._by_task.get(task)

    def unanswered_attempt(self, key: AttemptKey) -> Attempt | None:
        """Return the attempt with that key if it is in flight and has no answer yet."""
        request = self._by_id.get(key.request_id)
        attempt = None if request is None else request.attempt
        if attempt is None or attempt.number != key.attempt_number or attempt.accepted:
            return None
        return attempt

    @property
    def used_bytes(self) -> int:
        """The memory of all requests and running tasks, adopted tasks excluded."""
        return self._memory.used_bytes

    def has_capacity_for(self, request: PendingRequest) -> bool:
        """Return whether the request may be made on its connection."""
        connection = request.connection
        if len(self._by_id) - self._adopted_count >= MAX_REQUESTS:
            self._limits.reached(Limit.REQUESTS)
            return False
        if self._per_connection[connection] >= MAX_REQUESTS_PER_CONNECTION:
            self._limits.reached(Limit.REQUESTS_PER_CONNECTION)
            return False
        if not self._memory.has_room(connection, request.memory_bytes):
            self._limits.reached(Limit.REQUEST_MEMORY)
            return False
        return True

    def has_capacity_to_adopt(self) -> bool:
        """Return whether one more running task may be adopted."""
        if self._adopted_count >= self._adopted_limit:
            self._limits.reached(Limit.ADOPTED_TASKS)
            return False
        return True

    def add(self, request: PendingRequest) -> None:
        """Add a request."""
        if request.adopted:
            self._adopted_count += 1
        else:
            self._per_connection[request.connection] += 1
            self._memory.reserve(request.connection, request.memory_bytes)
        self._by_id[request.request_id] = request
        self._by_task[request.task] = request

    def drop_content(self, request: PendingRequest) -> None:
        """Free the content of a request that is not offered to a machine any more.

        A timer may refer to the request long after it has ended, so its content is freed here.
        """
        if not request.adopted:
            self._memory.release(request.connection, len(request.spec.encoded_content))
        request.spec = request.spec.without_content()

    def remove(self, request: PendingRequest) -> None:
        """Remove a finished request without an attempt in flight; its id is remembered."""
        self.drop_content(request)
        if request.adopted:
            self._adopted_count -= 1
        else:
            self._memory.release(request.connection, request.memory_bytes)
            self._per_connection[request.connection] -= 1
            if not self._per_connection[request.connection]:
                del self._per_connection[request.connection]
        del self._by_id[request.request_id]
        del self._by_task[request.task]
        _remember(self._ended, request.request_id, MAX_ENDED_IDS)
        if request.possibly_executed:  # kept apart, so that requests that were never sent do not displace it
            _remember(self._executed, request.request_id, MAX_EXECUTED_IDS)

    def has_ended(self, request_id: str) -> bool:
        """Return whether the request with that id has ended recently."""
        return request_id in self._ended

    def was_possibly_executed(self, request_id: str) -> bool:
        """Return whether a machine may have executed a recently ended request with that id."""
        return request_id in self._executed


def _remember(ids: dict[str, None], request_id: str, limit: int) -> None:
    """Add an id as the newest; forget the oldest above the limit."""
    ids.pop(request_id, None)
    ids[request_id] = None
    if len(ids) > limit:
        del ids[next(iter(ids))]
