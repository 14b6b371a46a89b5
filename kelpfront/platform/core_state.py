"""State that the components of one core share; each item is defined in a module of its own."""

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
        machine_tasks: which tasks run on which machine.
        sessions: clients' connections.
        outbox: intents to be carried out on sockets.
        timers: pending timers.
        counters: counts since the start.
        log: records to be logged.
        numbers: one sequence for the ids of tasks and health checks, so that no id is used twice.
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
