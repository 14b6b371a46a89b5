"""Samples of the platform's lines: a dialogue of a placer's core, and what its words are taken as."""

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

OWNER = 1
NOW = 1_790_000_000_000.0


class PlatformDialogue:
    """A placer's core between an owner and its machine: all lines in the order in which they are said."""

    def __init__(self) -> None:
        config = platform_config.parse_config(json.loads(golden("platform-config-full.json")))
        self._core = PlacerCore(config, Scheduler(config.settings, SEED))
        self._now, self.lines = NOW, list[str]()
        self._core.apply_endpoint_events(NOW, *platform_events.parse_events(config.known, config))
        self._core.freshness.on_answer(NOW)
        self._core.sessions.open(NOW, OWNER, "127.0.0.5")
        self._machine = messages.machine_id("m-1")
        self._take()

    def owner(self, call: str, op: str, **fields: Any) -> None:
        line = self._heard("owner", call, op, fields)
        if not self._core.on_client_message(self._now, OWNER, messages.decode(line)):
            self.lines.append("the owner's connection is closed")
        self._core.submit_arrivals(self._now)
        self._take()

    def machine(self, call: str, op: str, **fields: Any) -> None:
        line = self._heard("machine", call, op, fields)
        found = self._core.requests.get(call)
        number = None if found is None or found.attempt is None else found.attempt.number
        self._core.on_machine_message(self._now, self._machine, messages.decode(line), number)
        self._take()

    def offer(self, call: str, extras: str = "cores:1;memory:2;service:b4d65521", **changes: Any) -> None:
        fields = {"class": "keyed", "left": "2000", "key": "7f3a", "idem": "5c0f", "extras": extras}
        self.owner(call, "offer", **{"with": fields | changes, "desc": "v=0\r\n"})

    def placed(self, call: str) -> None:
        self.offer(call)
        self.machine(call, "accept", desc="given")

    def later(self, ms: float) -> None:
        until = self._now + ms
        self.lines.append(f"{ms:g} ms pass")
        while (due := self._core.timers.next()) <= until:
            self._now = max(self._now, due)
            self._core.timers.run(self._now)
            self._take()
        self._now = until

    def probe(self, call: str) -> None:
        self._core.health_checks.send(self._now, self._machine, call, 500.0)
        self._take()

    def drain(self) -> None:
        """The list says that the machine is about to go, and names another."""
        config = platform_config.parse_config(json.loads(golden("platform-config-full.json")))
        members = json.loads(golden("drain.json"))
        self.lines.append("the machine drains, another is listed")
        self._core.apply_endpoint_events(self._now, *platform_events.parse_events(members, config))
        self._core.freshness.on_answer(self._now)
        self._take()

    def move(self, call: str) -> None:
        """The scheduler wants a task that stands to be asked for again."""
        found = self._core.requests.get(call)
        assert found is not None
        self.lines.append("the task is to move")
        self._core.carry_out(self._now, Migrate(found.task))
        self._take()

    def close(self) -> None:
        self.lines.append("the placer takes no more")
        self._core.client_messages.is_closing = True

    def machine_process_gone(self) -> None:
        self.lines.append("the machine's process is gone")
        self._core.on_machine_process_dead(self._now, self._machine)
        self._take()

    def _heard(self, who: str, call: str, op: str, fields: dict[str, Any]) -> bytes:
        line = json.dumps({"op": op, "call": call, "with": {}} | fields).encode()
        self.lines.append(f"{who} says {line.decode()}")
        return line

    def _take(self) -> None:
        for item in self._core.outbox.drain():
            if isinstance(item, intents.SendToClient):
                self._said("owner", item.data)
            elif isinstance(item, intents.Offer):
                self._said("machine", self._core.encode_offer(self._now, item.key) or b"")
            elif isinstance(item, intents.SendToMachine | intents.AbandonAttempt | intents.SendHealthCheck):
                self._said("machine", item.data)

    def _said(self, whom: str, data: bytes) -> None:
        self.lines += [f"{whom} gets {line!r}"[:1000] for line in data.splitlines(keepends=True)]


def platform_dialogue() -> bytes:
    """Each line that a placer on the platform sends, and each that it understands."""
    its = PlatformDialogue()
    its.owner("00000000000000a0", "test")
    its.owner("00000000000000a1", "end")
    its.placed("00000000000000a2")
    for note, value in (("live", 1), ("c", 0.5), ("m", 1.5), ("s", 0.9), ("p", 0.2)):
        its.machine("00000000000000a2", "info", **{"with": {"note": note, "value": value}})
    its.machine("00000000000000a2", "end", **{"with": {"note": "ev"}, "why": 16})
    its.owner("00000000000000a2", "ended")
    its.placed("00000000000000a3")
    its.owner("00000000000000a3", "end", why=16)
    its.machine("00000000000000a3", "end", why=31)
    its.owner("00000000000000a3", "end", why=16)
    its.offer("00000000000000a4")
    its.owner("00000000000000a4", "end", why=16)
    its.offer("00000000000000a5", left="soon")
    its.offer("00000000000000a6", key="")
    its.offer("00000000000000a7", extras="cores:1;memory:2;service:b4d65521;at:m-1")
    its.placed("00000000000000a8")
    its.machine_process_gone()
    its.offer("00000000000000a9")
    load = "x0:0.5;x1:1.5;queue:3;busy:0.9"
    its.machine("00000000000000a9", "end", **{"with": {"note": "nc", "load": load}, "why": 34})
    its.later(3_000)
    its.offer("00000000000000aa")
    its.later(6_000)
    its.owner("00000000000000ab", "something-new")
    its.probe("00000000000000ac")
    its.machine("00000000000000ac", "tested", **{"with": {"load": load}, "why": 1})
    return "\n".join([*its.lines, *_dialogue_of_a_drain(), ""]).encode()


def _dialogue_of_a_drain() -> list[str]:
    its = PlatformDialogue()
    its.placed("00000000000000ad")
    its.drain()
    its.later(3_000)
    its.move("00000000000000ad")
    its.owner("00000000000000ad", "end", why=16)
    its.machine("00000000000000ad", "end", why=31)
    its.close()
    its.offer("00000000000000ae")
    return its.lines


def platform_words_read() -> bytes:
    """What each word of a machine's line is taken as: reasons and causes of its end, notes, its load."""
    told = [(note, why) for note in ("nc", "nm", "nq", "nh", "ev", "pre", "dr", "new") for why in (34, 47)]
    told += [("", why) for why in (0, 16, 31, 34, 41, 42, 47, 81, 96, 100, 102)]
    ends = {
        f"{note} {why} {'placed' if placed else 'offered'}": messages.parse_outcome(
            _from_machine(why, note=note), accepted=placed
        )
        for note, why in told
        for placed in (False, True)
    }
    notes = {
        n: messages.parse_status(_from_machine(0, note=n, value=0.5))
        for n in ("live", "c", "m", "s", "p", "new")
    }
    loads = {
        name: messages.parse_load(_from_machine(0, load=f"{name}:1.5"))
        for name in ("x0", "x1", "queue", "q", "busy")
    }
    return as_json([ends, notes, loads, messages.machine_id("m-1")])


def _from_machine(why: int, **fields: Any) -> messages.Message:
    line = {"op": "end", "call": "00000000000000a0", "with": fields, "why": why}
    return messages.decode(json.dumps(line).encode())


async def coordinator_request() -> bytes:
    """The first line of the request by which a placer follows the coordinator's list."""
    heard: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        heard.set_result(await reader.readline())
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = platform_config.Address("127.0.0.1", server.sockets[0].getsockname()[1])
    follower = discovery_client.DiscoveryClient(address, lambda: 41, print, random.Random(SEED), 1_000.0)
    follower.start()
    async with asyncio.timeout(20):
        line = await heard
    follower.stop()
    server.close()
    return line
