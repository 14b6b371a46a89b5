"""Placement requests of one placer, their attempts, and the ids of requests that are over. Pure.

The table is the only place where a request is kept from its arrival to its end. Who answers a request, and
when an attempt ends, is decided by `request_lifecycle` and `attempts`.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from kelpfront.platform.intents import AttemptKey, ConnectionId
from kelpfront.platform.limits import Limit, LimitMonitor
from kelpfront.platform.messages import PlacementRequest
from kelpfront.scheduling.events import MachineId, TaskId

MAX_REQUESTS = 8_192
"""Waiting requests and running tasks that came of them; more are rejected as congestion."""

MAX_REQUESTS_PER_CONNECTION = 2_048
"""Of those, on one connection: one client must not take the capacity of all."""

ADOPTED_MEMORY_SHARE = 0.25
"""Share of the memory that the settings give which adopted tasks may use."""

BYTES_PER_ADOPTED_TASK = 2_048
"""Memory of one adopted task, with what the scheduler keeps of it."""

MAX_ENDED_IDS = 4_096
"""Ids of requests that are over, so that a message which crosses their end is recognized."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A placement request, and the task that runs because of it.

    Attributes:
        spec: what was asked for.
        deadline: when its client gives up, in Unix milliseconds.
        attempt_count: attempts made so far.
        attempt: the attempt in flight, or the one that was accepted and runs.
        submitted: whether the scheduler knows of it.
        answered: whether no final answer is due any more.
        ended: whether its client ended it or it was migrated, so that no end is owed to the client.
        adopted: whether it runs since a former incarnation and was handed over by its client.
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


@dataclass(slots=True, eq=False)
class Attempt:
    """One offer of a request to one machine. Times are Unix milliseconds.

    Attributes:
        deadline: when an attempt without an answer is given up.
        send_by: when it may begin to be sent at the latest.
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
        """The name of the attempt towards the connections."""
        return AttemptKey(self.request.request_id, self.number)


def max_adopted_tasks(memory_mb: float) -> int:
    """Return how many tasks a placer with so much memory may adopt.

    They run already, and nobody is notified where one is passed over: nobody would look after it. So they do
    not share the limits of new requests, whose clients receive a rejection and may ask again.
    """
    return max(1, int(memory_mb * 2**20 * ADOPTED_MEMORY_SHARE / BYTES_PER_ADOPTED_TASK))


class RequestTable:
    """All requests and running tasks of one placer, by request id and by the scheduler's task id."""

    def __init__(self, limits: LimitMonitor, adopted_limit: int) -> None:
        self._limits = limits
        self._adopted_limit = adopted_limit
        self._adopted_count = 0
        self._per_connection: Counter[ConnectionId] = Counter()  # without adopted tasks
        self._by_id: dict[str, PendingRequest] = {}
        self._by_task: dict[TaskId, PendingRequest] = {}
        self._ended: dict[str, None] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def unanswered_count(self) -> int:
        """Requests that are still owed an answer."""
        return sum(not request.answered for request in self._by_id.values())

    def get(self, request_id: str) -> PendingRequest | None:
        """Return the request of that id, or None where there is none now."""
        return self._by_id.get(request_id)

    def of_task(self, task: TaskId) -> PendingRequest | None:
        """Return the request that the scheduler knows as `task`."""
        return self._by_task.get(task)

    def unanswered_attempt(self, key: AttemptKey) -> Attempt | None:
        """Return the attempt of that key if it is the one in flight and has no answer yet."""
        request = self._by_id.get(key.request_id)
        attempt = None if request is None else request.attempt
        if attempt is None or attempt.number != key.attempt_number or attempt.accepted:
            return None
        return attempt

    def has_capacity(self, connection: ConnectionId) -> bool:
        """Return whether one more request may be made on the connection."""
        if len(self._by_id) - self._adopted_count >= MAX_REQUESTS:
            self._limits.reached(Limit.REQUESTS)
            return False
        if self._per_connection[connection] >= MAX_REQUESTS_PER_CONNECTION:
            self._limits.reached(Limit.REQUESTS_PER_CONNECTION)
            return False
        return True

    def has_capacity_to_adopt(self) -> bool:
        """Return whether one more running task may be adopted."""
        if self._adopted_count >= self._adopted_limit:
            self._limits.reached(Limit.ADOPTED_TASKS)
            return False
        return True

    def add(self, request: PendingRequest) -> None:
        """Enter a request."""
        if request.adopted:
            self._adopted_count += 1
        else:
            self._per_connection[request.connection] += 1
        self._by_id[request.request_id] = request
        self._by_task[request.task] = request

    def remove(self, request: PendingRequest) -> None:
        """Drop a request that is over and of which nothing is in flight; its id is remembered."""
        if request.adopted:
            self._adopted_count -= 1
        else:
            self._per_connection[request.connection] -= 1
            if not self._per_connection[request.connection]:
                del self._per_connection[request.connection]
        del self._by_id[request.request_id]
        del self._by_task[request.task]
        self._ended[request.request_id] = None
        if len(self._ended) > MAX_ENDED_IDS:
            del self._ended[next(iter(self._ended))]

    def has_ended(self, request_id: str) -> bool:
        """Return whether the id is of a request that was over not long ago."""
        return request_id in self._ended
