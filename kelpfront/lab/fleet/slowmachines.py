"""A process of machines that take their time, and know from the kernel when each set-up came.

`python -m kelpfront.lab.fleet.slowmachines COUNT SEED`: the first line out is the list of addresses as JSON;
when its input ends it writes what came, as `[call, Unix milliseconds, kind of machine]`, and ends. A third of
the machines answers soon, a third refuses half of the set-ups, a third lets connections come up late. To its
client a late one may seem up before it is: what is written then may come with a later try of the kernel's.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import struct
import sys
import time

from kelpfront.lab.fleet.processes import bounded
from kelpfront.lab.platform import Json, line

SO_TIMESTAMPNS = 35  # Linux: with each read comes when the kernel took in its last byte
STAMP = struct.Struct("qq")
READ_SIZE = 1 << 16
FILES = 4_096
END_S = 10.0  # within which the process says what came
OFFERS_MOST = 1_000_000
QUICK_S, SLOW_S = 0.005, 0.25  # an answer takes between these
LATE_S = 0.25  # between two connections that a late machine takes in; others wait for their second SYN


class SlowMachine:
    def __init__(self, host: SlowMachines, kind: str) -> None:
        self._host, self._kind = host, kind
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0 if kind == "late" else 1_024)
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def serve(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.listener)
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            loop.add_reader(sock, self._read, sock, bytearray())
            if self._kind == "late":
                await asyncio.sleep(LATE_S)

    def _read(self, sock: socket.socket, rest: bytearray) -> None:
        try:
            data, ancillary, _, _ = sock.recvmsg(READ_SIZE, 128)
        except BlockingIOError:
            return
        except OSError:
            data, ancillary = b"", []
        if not data:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
            return
        stamps = [STAMP.unpack(value) for _, kind, value in ancillary if kind == SO_TIMESTAMPNS]
        came_ms = stamps[0][0] * 1e3 + stamps[0][1] / 1e6 if stamps else time.time() * 1e3
        rest += data
        *whole, left = bytes(rest).split(b"\n")
        rest[:] = left
        for raw in whole:
            self._hear(sock, json.loads(raw), came_ms)

    def _hear(self, sock: socket.socket, message: Json, came_ms: float) -> None:
        rng, call = self._host.rng, message["call"]
        if message["op"] == "test":
            self._say(sock, line("tested", call, why=1, with_={"load": "x0:12;x1:20"}))
        elif message["op"] == "end" and message.get("why") != 16:
            self._say(sock, line("end", call, why=31))
        elif message["op"] == "offer":
            if len(self._host.offers) < OFFERS_MOST:
                self._host.offers.append((call, round(came_ms, 3), self._kind))
            refuses = self._kind == "refuses" and rng.random() < 0.5
            answer = (
                line("end", call, why=34, with_={"note": "nc"}) if refuses else line("accept", call, desc="x")
            )
            asyncio.get_running_loop().call_later(rng.uniform(QUICK_S, SLOW_S), self._say, sock, answer)

    def _say(self, sock: socket.socket, data: bytes) -> None:
        with contextlib.suppress(OSError):
            sock.send(data)


class SlowMachines:
    def __init__(self, count: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.offers: list[tuple[str, float, str]] = []
        kinds = ("soon", "refuses", "late")
        self.machines = [SlowMachine(self, kinds[number % 3]) for number in range(count)]

    async def run(self) -> None:
        jobs = [asyncio.create_task(machine.serve()) for machine in self.machines]
        print(json.dumps([machine.address for machine in self.machines]), flush=True)
        await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
        for job in jobs:
            job.cancel()
        print(json.dumps(self.offers), flush=True)


class MachinesProcess:
    """The process, from outside."""

    def __init__(self, count: int, seed: int) -> None:
        self._arguments = (str(count), str(seed))
        self._process: asyncio.subprocess.Process | None = None
        self.addresses: list[str] = []

    async def start(self) -> None:
        pipe = asyncio.subprocess.PIPE
        self._process = await asyncio.create_subprocess_exec(
            *bounded(FILES, 0, "-m", "kelpfront.lab.fleet.slowmachines", *self._arguments),
            stdin=pipe,
            stdout=pipe,
        )
        assert self._process.stdout is not None
        self.addresses = json.loads(await self._process.stdout.readline())

    async def end(self) -> list[tuple[str, float, str]]:
        """What came; the process has ended."""
        if self._process is None:
            return []
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            async with asyncio.timeout(END_S):
                said, _ = await self._process.communicate()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
            raise
        return [(call, came_ms, kind) for call, came_ms, kind in json.loads(said or b"[]")]


if __name__ == "__main__":
    asyncio.run(SlowMachines(int(sys.argv[1]), int(sys.argv[2])).run())
