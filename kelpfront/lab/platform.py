"""Stand-ins of a platform, by its protocol: messages, scripted machines, a scripted coordinator.

They do as their script says and no more; tests play the wrong ones with scripts of their own.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from hashlib import blake2b
from typing import Any

Json = dict[str, Any]
CALL = "00000000000000a1"
DISCARD_PORT = 9
DESC = "v=0\r\nc=IN IP4 127.0.0.9\r\n"
READ_S = 20.0  # for the next message of a connection


def member(name: str, address: str = "", phase: str = "Ready", **changes: Any) -> Json:
    """Return an entry of the list; by default, its address is its own and nobody listens there."""
    host_port = address or _unused_address(name)
    plain = {"id": name, "host_port": host_port, "locality": "a", "flavor": "plain", "cell": 1}
    return plain | {"phase": phase, "size": 4, "up_since_ms": 0, "spare": [20.0, 40.0]} | changes


def _unused_address(name: str) -> str:
    first, second, third = blake2b(name.encode(), digest_size=3).digest()
    return f"127.{first}.{second}.{third}:{DISCARD_PORT}"


def event(index: int, *members: Json, whole: bool = False) -> Json:
    return {"index": index, "endpoints": {"revision": index, "complete": whole, "members": list(members)}}


def line(op: str, call: str = CALL, **fields: Any) -> bytes:
    """One message; `with_`, `why` and `desc` are written where they are given."""
    message: Json = {"op": op, "call": call, "with": fields.pop("with_", {})} | fields
    return json.dumps(message).encode() + b"\n"


def offer(call: str = CALL, cls: str = "easy", left: str = "2000", extras: str = "", **changes: Any) -> bytes:
    extras = extras or "cores:1;memory:2;service:00000000b4d65521"
    fields = {"class": cls, "left": left, "key": "7f3a9c21e0b4d655", "idem": "5c0f", "extras": extras}
    fields |= changes.pop("with_", {})
    return line("offer", call, with_=fields, **({"desc": DESC} | changes))


class Peer:
    """One end of a connection, by lines."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def read(self) -> Json | None:
        """The next message; None at the end of the connection."""
        async with asyncio.timeout(READ_S):
            try:
                raw = await self.reader.readline()
            except OSError:
                return None
        return json.loads(raw) if raw.endswith(b"\n") else None

    def say(self, data: bytes) -> None:
        self.writer.write(data)

    def cut(self) -> None:
        self.writer.transport.abort()


Script = Callable[["Machine", Peer, Json], Awaitable[None]]


async def accepts(machine: Machine, peer: Peer, message: Json) -> None:
    """The script of a machine that takes all it is offered."""
    if message["op"] == "offer":
        peer.say(line("accept", message["call"], desc="at " + machine.name))
    elif message["op"] == "test":
        peer.say(line("tested", message["call"], why=1, with_={"load": "x0:12;x1:20"}))
    elif message["op"] == "end" and message.get("why") != 16:
        peer.say(line("end", message["call"], why=31))


class Machine:
    """A scripted machine on loopback. `seen` holds all that came, `peers` the connections that are open."""

    def __init__(self, name: str, script: Script = accepts) -> None:
        self.name, self.script = name, script
        self.seen: list[Json] = []
        self.peers: list[Peer] = []
        self.opened = 0
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = Peer(reader, writer)
        self.peers.append(peer)
        self.opened += 1
        try:
            while (raw := await reader.readline()).endswith(b"\n"):
                message = json.loads(raw)
                self.seen.append(message)
                await self.script(self, peer, message)
        except OSError:
            pass
        finally:
            self.peers.remove(peer)
            writer.close()

    def offers(self) -> list[Json]:
        return [message for message in self.seen if message["op"] == "offer"]

    def die(self) -> None:
        """The process is gone: connections are reset, new ones refused."""
        assert self.server is not None
        self.server.close()
        for peer in list(self.peers):
            peer.cut()


class Coordinator:
    """A scripted coordinator: long polls over HTTP/1.1, in as few words as they need."""

    server: asyncio.Server

    def __init__(self) -> None:
        self.events: list[Json] = []
        self.asked: list[int] = []
        self.mute = False
        self.noise: list[bytes] = []  # bodies that are no answers, sent first
        self.garble = 0  # answers that break off in their middle
        self.stopped = False
        self.slow_s = 0.0
        self.open = 0
        self.address = ""

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        self.stopped = True
        self.server.close()
        while self.open:  # noqa: ASYNC110 - its handlers see it within a few milliseconds
            await asyncio.sleep(0.005)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open += 1
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                target = head.split(b" ")[1].decode()
                follow = int(target.split("follow=")[1].split("&")[0])
                until = asyncio.get_running_loop().time() + float(target.split("wait_ms=")[1]) / 1000.0
                self.asked.append(follow)
                while self.mute or not (self.later(follow) or asyncio.get_running_loop().time() >= until):
                    if self.stopped:
                        return
                    await asyncio.sleep(0.005)
                await asyncio.sleep(self.slow_s)
                later = self.later(follow)
                body = json.dumps({"index": follow + len(later), "updates": later}).encode()
                if self.noise:
                    body = self.noise.pop(0)
                answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body
                if self.garble:
                    self.garble -= 1
                    writer.write(answer[: len(answer) - len(body) // 2])
                    return
                writer.write(answer)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.open -= 1
            writer.close()

    def later(self, follow: int) -> list[Json]:
        return [update for update in self.events if update["index"] > follow]
