"""MachineConnections owns the tasks that connect to machines, and counts checks that cannot be sent."""

from __future__ import annotations

import asyncio

from waiting import until

from kelpfront.failure_detection.detector import DueCheck, FailureDetector, ListedMachine
from kelpfront.failure_detector.connections import MachineConnections
from kelpfront.platform.config import Address


async def test_closing_the_connections_cancels_and_awaits_their_tasks() -> None:
    connections = MachineConnections(FailureDetector(1, 1_000.0), lambda: 0.0, connect_timeout_s=10.0)
    cleaned_up = asyncio.Event()

    async def work() -> None:
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(0)
            cleaned_up.set()

    task = connections.start_task(work())
    await asyncio.sleep(0)
    await connections.close()
    assert task.cancelled()
    assert cleaned_up.is_set()


async def test_a_check_of_a_machine_that_refuses_connections_counts_as_unsent() -> None:
    detector = FailureDetector(1, 1_000.0)
    detector.apply_endpoint_list(0.0, {0: [ListedMachine(1, "m")]})
    server = await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    server.close()
    await server.wait_closed()
    connections = MachineConnections(detector, lambda: 0.0, connect_timeout_s=10.0)
    connections.check(DueCheck(1, reconnect=False), Address(host, port))
    await until(lambda: detector.counters.health_checks_unsent == 1)
    assert len(connections) == 1
    await connections.close()
    assert len(connections) == 0
