"""What the parts of one core share: each item is kept by its own module and handed to those that need it."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from kelpfront.platform.counters import Counters
from kelpfront.platform.endpoint_table import EndpointTable
from kelpfront.platform.intents import Outbox
from kelpfront.platform.log_records import LogRecords
from kelpfront.platform.machine_tasks import MachineTasks
from kelpfront.platform.requests import RequestTable
from kelpfront.platform.sessions import Sessions
from kelpfront.timers import Timers


class CoreState(msgspec.Struct, frozen=True):
    """The state of one placer.

    Attributes:
        requests: placement requests and running tasks.
        endpoints: the machines of the endpoint list.
        machine_tasks: which tasks run on which of them.
        sessions: clients' connections.
        outbox: what is to be done on sockets.
        timers: what is due, and when.
        counters: counts since the start.
        log: what is to be logged.
        numbers: numbers tasks and health checks, in one row, so that no id stands for two things.
    """

    requests: RequestTable
    endpoints: EndpointTable
    machine_tasks: MachineTasks
    sessions: Sessions
    outbox: Outbox
    timers: Timers
    counters: Counters
    log: LogRecords
    numbers: Iterator[int]
