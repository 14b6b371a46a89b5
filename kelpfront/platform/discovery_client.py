"""Follows the coordinator's endpoint list by long polling, and reconnects after failures and silence.

`poll_pacing` decides how often to poll; the caller interprets the answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import structlog

from kelpfront.http.client import HttpConnection, HttpError, Reply
from kelpfront.platform.background_tasks import BackgroundTasks
from kelpfront.platform.config import Address
from kelpfront.platform.poll_pacing import MAX_POLLS_IN_FLIGHT, PollPacing
from kelpfront.platform.timeouts import POLL_SLACK_MS, POLL_WAIT_MS

log = structlog.get_logger("kelpfront.platform.discovery_client")

MAX_BODY_BYTES = 4 << 20
"""Maximum size of an answer; enough for the complete list of some ten thousand machines."""

HTTP_OK = 200
OVERLOADED_STATUSES = frozenset({429, 503})


class StatusError(Exception):
    """An HTTP response with a status other than 200.

    Attributes:
        is_overloaded: whether the status reports that the service is overloaded.
        retry_after_s: seconds given in the Retry-After header; 0 without one.
    """

    def __init__(self, status: int, retry_after: str) -> None:
        super().__init__(f"HTTP {status}")
        self.is_overloaded = status in OVERLOADED_STATUSES
        is_seconds = retry_after.isascii() and retry_after.isdigit()
        self.retry_after_s = float(retry_after) if is_seconds else 0.0


class _Answer(NamedTuple):
    body: Any
    connection: HttpConnection


@dataclass(slots=True, eq=False)
class _Poll:
    """One request in flight, and the idle connection that it reuses, if any."""

    task: asyncio.Task[_Answer]
    started_at: float
    reused: HttpConnection | None

    def drop(self) -> None:
        """Cancel the poll and close its connection, even if the answer has arrived already."""
        self.task.cancel()
        self.task.add_done_callback(self._on_dropped)

    def _on_dropped(self, task: asyncio.Task[_Answer]) -> None:
        if self.reused is not None:  # the task may have been cancelled before its first step
            self.reused.abort()
        if not task.cancelled() and task.exception() is None:
            task.result().connection.abort()


@dataclass(slots=True)
class _PollState:
    """The polls in flight, the idle connection for the next poll, and the time at which that is due."""

    next_at: float
    in_flight: list[_Poll] = field(default_factory=list)
    idle: HttpConnection | None = None

    def drop_in_flight(self) -> None:
        for poll in self.in_flight:
            poll.drop()
        self.in_flight.clear()

    def drop_all(self) -> None:
        self.drop_in_flight()
        if self.idle is not None:
            self.idle.abort()
            self.idle = None


class DiscoveryClient:
    """Polls for events with an index above `poll_index()`.

    Attributes:
        address: the coordinator's address.
        is_failing: whether the last poll failed or has not been answered in time.
    """

    def __init__(
        self,
        address: Address,
        poll_index: Callable[[], int],
        on_answer: Callable[[Any], None],
        rng: random.Random,
        connect_timeout_ms: float,
    ) -> None:
        """Create a client; it polls after `start`.

        Args:
            address: the coordinator's address.
            poll_index: returns the index after which events are requested.
            on_answer: called with the body of each answer; raises ValueError for an invalid one.
            rng: random source of the backoffs.
            connect_timeout_ms: time allowed for opening a connection to the coordinator.
        """
        self.address = address
        self.is_failing = False
        self._poll_index = poll_index
        self._on_answer = on_answer
        self._connect_timeout_ms = connect_timeout_ms
        self._pacing = PollPacing(rng)
        self._tasks = BackgroundTasks()
        self._run_task: asyncio.Task[None] | None = None
        self._first_answer = asyncio.Event()

    @property
    def has_answer(self) -> bool:
        """Whether a poll has been answered since the start."""
        return self._first_answer.is_set()

    def start(self) -> None:
        """Start polling."""
        self._run_task = self._tasks.start(self._run())

    async def wait_for_first_answer(self, timeout_ms: float) -> bool:
        """Wait at most `timeout_ms` for the first answered poll; return whether there was one."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000.0):
                await self._first_answer.wait()
        return self.has_answer

    def change_address(self, address: Address) -> None:
        """Poll another address from now on, from the same index."""
        if address == self.address:
            return
        log.info("coordinator moved", host=address.host, port=address.port)
        self.address = address
        self.stop()
        self._pacing.reset()
        self.start()

    def stop(self) -> None:
        """Cancel polling, without waiting for it to end."""
        if self._run_task is not None:
            self._run_task.cancel()

    async def close(self) -> None:
        """Stop polling, and wait until all polls and connections are closed."""
        self.stop()
        await self._tasks.wait()

    # ---- Polls ----------------------------------------------------------------------------------------

    async def _run(self) -> None:
        """Keep one poll in flight, and send a second one if the first exceeds the hedge delay."""
        loop = asyncio.get_running_loop()
        state = _PollState(next_at=loop.time())
        try:
            while True:
                now = loop.time()
                if now >= state.next_at:
                    self._start_poll(state, now)
                elif not state.in_flight:
                    await asyncio.sleep(state.next_at - now)
                    continue
                await asyncio.wait(
                    [poll.task for poll in state.in_flight],
                    timeout=max(0.0, state.next_at - loop.time()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                self._process_answers(state)
        finally:
            state.drop_all()

    def _start_poll(self, state: _PollState, now: float) -> None:
        if state.in_flight:
            self._on_failure(TimeoutError())  # it may still be answered, but the operator has to know
        if len(state.in_flight) >= MAX_POLLS_IN_FLIGHT:  # not the first, which is the closest to its answer
            state.in_flight.pop().drop()
        task = asyncio.get_running_loop().create_task(self._poll(state.idle))
        self._tasks.add(task)
        state.in_flight.append(_Poll(task, now, state.idle))
        state.idle = None
        state.next_at = now + self._hedge_delay_ms(len(state.in_flight)) / 1000.0

    def _process_answers(self, state: _PollState) -> None:
        """Process the results of finished polls; the first valid answer cancels all other polls."""
        loop = asyncio.get_running_loop()
        for poll in [poll for poll in state.in_flight if poll.task.done()]:
            state.in_flight.remove(poll)
            connection = self._process_answer(poll)
            if connection is None:
                state.next_at = loop.time() + self._backoff_ms(poll) / 1000.0
                continue
            self._pacing.on_answer((loop.time() - poll.started_at) * 1000.0)
            state.drop_in_flight()
            state.idle = connection
            state.next_at = loop.time()
            return

    def _process_answer(self, poll: _Poll) -> HttpConnection | None:
        """Process a finished poll; return its connection for reuse, or None if the poll failed."""
        try:
            answer = poll.task.result()
        except Exception as error:  # any error: if this task ended, the list would never be updated again
            self._on_failure(error)
            return None
        try:
            self._on_answer(answer.body)
        except Exception as error:
            answer.connection.abort()
            self._on_failure(error)
            return None
        if self.is_failing:
            log.info("coordinator back", index=self._poll_index())
        self.is_failing = False
        self._first_answer.set()
        return answer.connection

    def _on_failure(self, error: Exception) -> None:
        if not isinstance(error, HttpError | OSError | TimeoutError | ValueError | StatusError):
            log.error("unexpected error in an answer of the coordinator", exc_info=error)
        elif not self.is_failing:
            log.warning("coordinator lost", error=str(error) or "no answer in time")
        self.is_failing = True

    def _backoff_ms(self, poll: _Poll) -> float:
        error = None if poll.task.cancelled() else poll.task.exception()
        if isinstance(error, StatusError) and error.is_overloaded:
            return self._pacing.on_overloaded(error.retry_after_s)
        return self._pacing.on_failure()

    def _wait_ms(self) -> float:
        """Return how long the service may wait for events: 0 until the first answer."""
        return POLL_WAIT_MS if self.has_answer else 0.0

    def _hedge_delay_ms(self, in_flight: int) -> float:
        """Return the delay before the next poll is sent beside those in flight.

        The first poll after the start asks for an immediate answer, so the second one follows after the slack
        alone. Later ones have the usual delay, since all placers that start together poll one service.
        """
        return self._pacing.hedge_delay_ms if self.has_answer or in_flight > 1 else POLL_SLACK_MS

    async def _poll(self, idle: HttpConnection | None) -> _Answer:
        connection = await self._usable_connection(idle)
        try:
            target = f"/v2/stream?follow={self._poll_index()}&wait_ms={self._wait_ms():.0f}"
            reply = await connection.request("GET", target)
            _check_status(reply)
            return _Answer(json.loads(reply.body), connection)
        except BaseException:  # also cancellation: part of an answer may be unread
            connection.abort()
            raise

    async def _usable_connection(self, idle: HttpConnection | None) -> HttpConnection:
        if idle is not None:
            if idle.usable:
                return idle
            idle.abort()
        async with asyncio.timeout(self._connect_timeout_ms / 1000.0):
            return await HttpConnection.open(self.address.host, self.address.port, MAX_BODY_BYTES)


def _check_status(reply: Reply) -> None:
    if reply.status != HTTP_OK:
        raise StatusError(reply.status, reply.headers.get("retry-after", ""))
