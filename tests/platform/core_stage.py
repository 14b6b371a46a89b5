"""A placer core without sockets for tests, with an endpoint list and one client connection."""

from __future__ import annotations

import json
from typing import Any

from platforms import config

from kelpfront.lab.platform import CALL, Json, line, member, offer
from kelpfront.platform import requests
from kelpfront.platform.core import PlacerCore
from kelpfront.platform.endpoint_events import parse_events
from kelpfront.platform.intents import (
    Offer,
    SendToClient,
)
from kelpfront.platform.messages import decode
from kelpfront.scheduling.scheduler import Scheduler

NOW = 1_790_000_000_000.0


class CoreFixture:
    """A core with an endpoint list, one client connection, and the intents that it has issued so far."""

    def __init__(self, *members: Json, **changes: Any) -> None:
        self.config = config(*(members or (member("m-1"), member("m-2"))), **changes)
        self.core = PlacerCore(self.config, Scheduler(self.config.settings, 7))
        self.now = NOW
        self.sent_to_clients: list[tuple[int, Json]] = []
        self.intents: list[Any] = []
        self.core.apply_endpoint_events(self.now, *parse_events(self.config.known, self.config))
        self.collect_intents()
        self.core.sessions.open(self.now, 1, "127.0.0.5")

    def events(self, raw: Json) -> None:
        """Apply an answer of the coordinator."""
        self.core.apply_endpoint_events(self.now, *parse_events(raw, self.config))
        self.core.freshness.on_answer(self.now)
        self.collect_intents()

    def apply_events(self, raw: Json) -> None:
        """Apply the events of a configuration file."""
        self.core.apply_endpoint_events(self.now, *parse_events(raw, self.config))
        self.collect_intents()

    def collect_intents(self) -> None:
        for intent in self.core.outbox.drain():
            if isinstance(intent, SendToClient):
                self.sent_to_clients += [
                    (intent.connection, json.loads(part)) for part in intent.data.splitlines()
                ]
            else:
                self.intents.append(intent)

    def client(self, data: bytes, conn: int = 1) -> bool:
        is_valid = self.core.on_client_message(self.now, conn, decode(data))
        self.core.submit_arrivals(self.now)
        self.collect_intents()
        return is_valid

    def machine(self, ident: int, op: str, call: str = CALL, **fields: Any) -> None:
        request = self.core.requests.get(call)
        number = fields.pop(
            "number", None if request is None or request.attempt is None else request.attempt.number
        )
        self.core.on_machine_message(self.now, ident, decode(line(op, call, **fields)), number)
        self.collect_intents()

    def advance(self, ms: float) -> None:
        until = self.now + ms
        while (due := self.core.timers.next()) <= until:
            self.now = max(self.now, due)
            self.core.timers.run(self.now)
            self.collect_intents()
        self.now = until

    def send_offer(self, call: str = CALL) -> Offer:
        """Encode the last offer of the request, as right before a write, and return the offer."""
        last = [i for i in self.intents if isinstance(i, Offer) and i.request_id == call][-1]
        assert self.core.encode_offer(self.now, last.key) is not None
        return last

    def place(self, call: str = CALL, **changes: Any) -> int:
        self.client(offer(call, **changes))
        machine = self.send_offer(call).machine
        self.machine(machine, "accept", call, desc="given")
        return machine

    def call(self, call: str = CALL) -> requests.PendingRequest:
        request = self.core.requests.get(call)
        assert request is not None
        return request

    def call_after(self, data: bytes) -> requests.PendingRequest:
        """Return the request that a client's line has made."""
        self.client(data)
        return self.call()

    def intents_of(self, kind: type) -> list[Any]:
        return [intent for intent in self.intents if isinstance(intent, kind)]
