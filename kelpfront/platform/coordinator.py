"""Follows the coordinator's list by long polls, through breaks and silence."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

import structlog

from kelpfront.backoff import Backoff
from kelpfront.http.client import HttpConnection, HttpError
from kelpfront.platform.config import Address
from kelpfront.platform.patience import POLL_CONNECT_MS, POLL_SLACK_MS, POLL_WAIT_MS

log = structlog.get_logger("kelpfront.platform.coordinator")

BODY_MOST = 4 << 20
FIRST_PAUSE_MS, MOST_PAUSE_MS = 20.0, 400.0


class Follower:
    """Asks for what is later than `index()`; `take` gets each answer and raises ValueError on a bad one."""

    def __init__(
        self, address: Address, index: Callable[[], int], take: Callable[[Any], None], rng: random.Random
    ) -> None:
        self._address, self._index, self._take = address, index, take
        self._backoff = Backoff(rng, FIRST_PAUSE_MS, MOST_PAUSE_MS)
        self._connection: HttpConnection | None = None
        self._task: asyncio.Task[None] | None = None
        self._failing = False

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._run())

    def move(self, address: Address) -> None:
        """Leaves for another address; the numbering goes on."""
        if address != self._address:
            log.info("coordinator moved", host=address.host, port=address.port)
            self._address = address
            self.stop()
            self._backoff.worked()
            self.start()

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
        self._leave()

    def _leave(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _run(self) -> None:
        while True:
            try:
                self._take(await self._ask())
            except Exception as error:  # of whatever kind: without this task the list would stay for good
                self._leave()
                if not isinstance(error, HttpError | OSError | TimeoutError | ValueError):
                    log.exception("an answer of the coordinator that was not foreseen")
                elif not self._failing:
                    log.warning("coordinator lost", error=str(error) or "no answer in time")
                self._failing = True
                await asyncio.sleep(self._backoff.failed() / 1000.0)
            else:
                if self._failing:
                    log.info("coordinator back", index=self._index())
                self._failing = False
                self._backoff.worked()

    async def _ask(self) -> Any:
        if self._connection is None or not self._connection.usable:
            self._leave()
            async with asyncio.timeout(POLL_CONNECT_MS / 1000.0):
                self._connection = await HttpConnection.open(
                    self._address.host, self._address.port, BODY_MOST
                )
        async with asyncio.timeout((POLL_WAIT_MS + POLL_SLACK_MS) / 1000.0):
            target = f"/v2/stream?follow={self._index()}&wait_ms={POLL_WAIT_MS:.0f}"
            reply = await self._connection.request("GET", target)
        if reply.status != 200:
            raise ValueError(f"HTTP {reply.status}")
        return json.loads(reply.body)
