"""Samples of the platform's protocol: a dialogue with a placer's core, and parsed machine messages."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

from surface_golden import SEED, as_json, golden

from kelpfront.platform import config as platform_config
from kelpfront.platform import discovery_client, intents, messages
from kelpfront.platform import endpoint_events as platform_events
from kelpfront.platform.core import PlacerCore
from kelpfront.scheduling.actions import Migrate
from kelpfront.scheduling.scheduler import Scheduler

CLIENT_CONNECTION = 1
NOW = 1_790_000_000_000.0


class PlatformDialogue:
    """Acts as the client and the machine of a placer's core, and records all lines in the order sent."""

    def __init__(self) -> None:
        config = platform_config.parse_config(json.loads(golden("platform-config-full.json")))
        self._core = PlacerCore(config, Scheduler(config.settings, SEED))
        self._now, self.lines = NOW, list[str]()
        self._core.apply_endpoint_events(NOW, *platform_events.parse_events(config.known, config))
        self._core.freshness.on_answer(NOW)
        self._core.sessions.open(NOW, CLIENT_CONNECTION, "127.0.0.5")
        self._machine = messages.machine_id("m-1")
        self._record_outbox()

    def send_from_client(self, call: str, op: str, **fields: Any) -> None:
        line = self._encode_and_record("owner", call, op, fields)
        if not self._core.on_client_message(self._now, CLIENT_CONNECTION, messages.decode(line)):
            self.lines.append("the owner's connection is closed")
        self._core.submit_arrivals(self._now)
        self._record_outbox()

    def send_from_machine(self, call: str, op: str, **fields: Any) -> None:
        line = self._encode_and_record("machine", call, op, fields)
        found = self._core.requests.get(call)
        number = None if found is None or found.attempt is None else found.attempt.number
        self._core.on_machine_message(self._now, self._machine, messages.decode(line), number)
        self._record_outbox()

    def send_offer(
        self, call: str, extras: str = "cores:1;memory:2;service:b4d65521", **changes: Any
    ) -> None:
        fields = {"class": "keyed", "left": "2000", "key": "7f3a", "idem": "5c0f", "extras": extras}
        self.send_from_client(call, "offer", **{"with": fields | changes, "desc": "v=0\r\n"})

    def place(self, call: str) -> None:
        self.send_offer(call)
        self.send_from_machine(call, "accept", desc="given")

    def advance(self, ms: float) -> None:
        end = self._now + ms
        self.lines.append(f"{ms:g} ms pass")
        while (due := self._core.timers.next()) <= end:
            self._now = max(self._now, due)
            self._core.timers.run(self._now)
            self._record_outbox()
        self._now = end

    def check_health(self, call: str) -> None:
        self._core.health_checks.send(self._now, self._machine, call, 500.0)
        self._record_outbox()

    def drain_machine(self) -> None:
        """Deliver an endpoint list in which the machine is draining and another one is added."""
        config = platform_config.parse_config(json.loads(golden("platform-config-full.json")))
        members = json.loads(golden("drain.json"))
        self.lines.append("the machine drains, another is listed")
        self._core.apply_endpoint_events(self._now, *platform_events.parse_events(members, config))
        self._core.freshness.on_answer(self._now)
        self._record_outbox()

    def migrate(self, call: str) -> None:
        """Carry out the scheduler's request to migrate a placed task."""
        found = self._core.requests.get(call)
        assert found is not None
        self.lines.append("the task is to move")
        self._core.carry_out(self._now, Migrate(found.task))
        self._record_outbox()

    def stop_accepting_offers(self) -> None:
        self.lines.append("the placer takes no more")
        self._core.client_messages.is_closing = True

    def end_machine_process(self) -> None:
        self.lines.append("the machine's process is gone")
        self._core.on_machine_process_dead(self._now, self._machine)
        self._record_outbox()

    def _encode_and_record(self, sender: str, call: str, op: str, fields: dict[str, Any]) -> bytes:
        line = json.dumps({"op": op, "call": call, "with": {}} | fields).encode()
        self.lines.append(f"{sender} says {line.decode()}")
        return line

    def _record_outbox(self) -> None:
        for item in self._core.outbox.drain():
            if isinstance(item, intents.SendToClient):
                self._record_output("owner", item.data)
            elif isinstance(item, intents.Offer):
                self._record_output("machine", self._core.encode_offer(self._now, item.key) or b"")
            elif isinstance(item, intents.SendToMachine | intents.AbandonAttempt | intents.SendHealthCheck):
                self._record_output("machine", item.data)

    def _record_output(self, receiver: str, data: bytes) -> None:
        self.lines += [f"{receiver} gets {line!r}"[:1000] for line in data.splitlines(keepends=True)]


def platform_dialogue() -> bytes:
    """Return a dialogue with each line that a placer on the platform sends or understands."""
    dialogue = PlatformDialogue()
    dialogue.send_from_client("00000000000000a0", "test")
    dialogue.send_from_client("00000000000000a1", "end")
    dialogue.place("00000000000000a2")
    for note, value in (("live", 1), ("c", 0.5), ("m", 1.5), ("s", 0.9), ("p", 0.2)):
        dialogue.send_from_machine("00000000000000a2", "info", **{"with": {"note": note, "value": value}})
    dialogue.send_from_machine("00000000000000a2", "end", **{"with": {"note": "ev"}, "why": 16})
    dialogue.send_from_client("00000000000000a2", "ended")
    dialogue.place("00000000000000a3")
    dialogue.send_from_client("00000000000000a3", "end", why=16)
    dialogue.send_from_machine("00000000000000a3", "end", why=31)
    dialogue.send_from_client("00000000000000a3", "end", why=16)
    dialogue.send_offer("00000000000000a4")
    dialogue.send_from_client("00000000000000a4", "end", why=16)
    dialogue.send_offer("00000000000000a5", left="soon")
    dialogue.send_offer("00000000000000a6", key="")
    dialogue.send_offer("00000000000000a7", extras="cores:1;memory:2;service:b4d65521;at:m-1")
    dialogue.place("00000000000000a8")
    dialogue.end_machine_process()
    dialogue.send_offer("00000000000000a9")
    load = "x0:0.5;x1:1.5;queue:3;busy:0.9"
    dialogue.send_from_machine("00000000000000a9", "end", **{"with": {"note": "nc", "load": load}, "why": 34})
    dialogue.advance(3_000)
    dialogue.send_offer("00000000000000aa")
    dialogue.advance(6_000)
    dialogue.send_from_client("00000000000000ab", "something-new")
    dialogue.check_health("00000000000000ac")
    dialogue.send_from_machine("00000000000000ac", "tested", **{"with": {"load": load}, "why": 1})
    return "\n".join([*dialogue.lines, *_drain_dialogue(), ""]).encode()


def _drain_dialogue() -> list[str]:
    dialogue = PlatformDialogue()
    dialogue.place("00000000000000ad")
    dialogue.drain_machine()
    dialogue.advance(3_000)
    dialogue.migrate("00000000000000ad")
    dialogue.send_from_client("00000000000000ad", "end", why=16)
    dialogue.send_from_machine("00000000000000ad", "end", why=31)
    dialogue.stop_accepting_offers()
    dialogue.send_offer("00000000000000ae")
    return dialogue.lines


def platform_words_read() -> bytes:
    """Return how each value in a machine's message is parsed: reasons and causes of an end, notes, load."""
    notes_and_codes = [
        (note, why) for note in ("nc", "nm", "nq", "nh", "ev", "pre", "dr", "new") for why in (34, 47)
    ]
    notes_and_codes += [("", why) for why in (0, 16, 31, 34, 41, 42, 47, 81, 96, 100, 102)]
    outcomes = {
        f"{note} {why} {'placed' if placed else 'offered'}": messages.parse_outcome(
            _machine_message(why, note=note), accepted=placed
        )
        for note, why in notes_and_codes
        for placed in (False, True)
    }
    notes = {
        n: messages.parse_status(_machine_message(0, note=n, value=0.5))
        for n in ("live", "c", "m", "s", "p", "new")
    }
    loads = {
        name: messages.parse_load(_machine_message(0, load=f"{name}:1.5"))
        for name in ("x0", "x1", "queue", "q", "busy")
    }
    return as_json([outcomes, notes, loads, messages.machine_id("m-1")])


def _machine_message(why: int, **fields: Any) -> messages.Message:
    line = {"op": "end", "call": "00000000000000a0", "with": fields, "why": why}
    return messages.decode(json.dumps(line).encode())


async def coordinator_request() -> bytes:
    """Return the first line of the request by which a placer follows the coordinator's endpoint list."""
    request_line: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_line.set_result(await reader.readline())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = platform_config.Address("127.0.0.1", server.sockets[0].getsockname()[1])
    client = discovery_client.DiscoveryClient(address, lambda: 41, print, random.Random(SEED), 1_000.0)
    client.start()
    async with asyncio.timeout(20):
        line = await request_line
    client.stop()
    server.close()
    return line
