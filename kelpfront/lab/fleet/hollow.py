"""Hollow machines: all of a list behind one port, in a few processes. They answer tests and hold nothing.

`python -m kelpfront.lab.fleet.hollow PORT` is one of the processes; all listen at the same port.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
import sys

from kelpfront.lab.fleet.processes import bounded
from kelpfront.lab.platform import Peer, line
from kelpfront.lab.process import raise_file_limit

PROCESSES = 2
FILES = 20_000  # of each, at most


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    peer = Peer(reader, writer)
    try:
        with contextlib.suppress(OSError):
            while raw := await reader.readline():
                message = json.loads(raw)
                if message["op"] == "test":
                    peer.say(line("tested", message["call"], why=1, with_={"load": "x0:12;x1:20"}))
    finally:
        writer.close()


async def _listen(port: int) -> None:
    server = await asyncio.start_server(_serve, "0.0.0.0", port, backlog=4096, reuse_port=True)
    async with server:
        print("listens", flush=True)
        await server.serve_forever()


class HollowMachines:
    """The processes. They die with us."""

    def __init__(self) -> None:
        self.port = 0
        self._held: socket.socket | None = None
        self._processes: list[asyncio.subprocess.Process] = []

    async def start(self) -> None:
        self._held = socket.socket()  # keeps the port for them, and listens at nothing
        self._held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._held.bind(("0.0.0.0", 0))
        self.port = int(self._held.getsockname()[1])
        for _ in range(PROCESSES):
            process = await asyncio.create_subprocess_exec(
                *bounded(FILES, 0, "-m", "kelpfront.lab.fleet.hollow", str(self.port)),
                env=dict(os.environ),
                stdout=asyncio.subprocess.PIPE,
            )
            self._processes.append(process)
            assert process.stdout is not None
            await process.stdout.readline()

    async def stop(self) -> None:
        for process in self._processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        if self._held is not None:
            self._held.close()


if __name__ == "__main__":
    raise_file_limit()
    asyncio.run(_listen(int(sys.argv[1])))
