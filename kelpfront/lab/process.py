"""Processes of an experiment: started, read from, ended; and a placer over its lives."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import sys
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from kelpfront.client import Client, ServerUnreachableError
from kelpfront.inventory import Host, Inventory
from kelpfront.lab.setup import write_csv
from kelpfront.lab.standins import FleetModel

UP_WITHIN_S = 60.0
END_WITHIN_S = 30.0


class Process:
    """A child of the day: its first line of output says that it is up."""

    def __init__(self, name: str, *args: str, log_to: Path) -> None:
        self.name, self._args, self._log_to = name, args, log_to
        self.cpu_s = 0.0
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, data: bytes | None = None) -> None:
        with self._log_to.open("ab") as errors:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self._args,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
            )
        if data is not None:
            assert self._process.stdin is not None
            self._process.stdin.write(data)
            self._process.stdin.close()

    async def line(self, within_s: float = UP_WITHIN_S) -> Any:
        """The next line of its output, as JSON."""
        assert self._process is not None and self._process.stdout is not None
        async with asyncio.timeout(within_s):
            line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(f"{self.name} ended: {self._log_to.read_text()[-2000:]}")
        return msgspec.json.decode(line)

    @property
    def pid(self) -> int:
        return 0 if self._process is None else self._process.pid

    async def died(self) -> int:
        """Waits for its end, however long that takes."""
        assert self._process is not None
        return await self._process.wait()

    def go(self) -> None:
        """A line on standard input: what it waits for is there."""
        self.say(b"go")

    def say(self, line: bytes) -> None:
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.write(line + b"\n")

    def cpu_now(self) -> float:
        """CPU seconds of this life so far."""
        if self._process is None or self._process.returncode is not None:
            return 0.0
        try:
            fields = Path(f"/proc/{self._process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def kill(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self.cpu_s += self.cpu_now()
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()

    async def end(self) -> int:
        """SIGTERM, and the exit code; killed where it does not end."""
        if self._process is None:
            return 0
        self.cpu_s += self.cpu_now()
        if self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.terminate()
        return await self.wait(END_WITHIN_S)

    async def wait(self, within_s: float) -> int:
        assert self._process is not None
        try:
            async with asyncio.timeout(within_s):
                return await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
            return -9


class Placer:
    """A placer over its lives, on one port."""

    def __init__(
        self,
        number: int,
        count: int,
        work: Path,
        rooms: Sequence[str],
        grpc: str | None = None,
        wrong: str = "",
    ) -> None:
        """`wrong`: one of `wrongplacers.WRONG`, which takes the place of what decides around the module."""
        self._program = ("kelpfront.cli.wrongserve", wrong) if wrong else ("kelpfront",)
        self.number, self.name = number, f"placer-{number}"
        self._count, self._work, self._rooms = count, work, rooms
        self._listen = "127.0.0.1:0"
        self.url = ""
        self.grpc = grpc or ""  # where its gRPC API is, if it has one
        self.process: Process | None = None
        self.cpu_s = 0.0

    async def start(self) -> None:
        self.process = Process(
            self.name,
            *self._program,
            "serve",
            "-c",
            str(self._work / "cluster.ini"),
            "--set",
            f"placer.name={self.name}",
            "--set",
            f"placer.number={self.number}",
            "--set",
            f"placer.room={self._rooms[self.number % len(self._rooms)]}",
            "--set",
            f"placer.listen={self._listen}",
            "--set",
            f"cluster.placers={self._count}",
            *(("--set", f"placer.grpc={self.grpc}") if self.grpc else ()),
            log_to=self._work / f"{self.name}.log",
        )
        await self.process.start()
        told = await self.process.line()
        self.url, self.grpc = told["url"], told.get("grpc", "")
        self._listen = self.url.removeprefix("http://")

    async def ready(self) -> None:
        async with asyncio.timeout(UP_WITHIN_S), Client(self.url) as client:
            while True:
                with contextlib.suppress(ServerUnreachableError, Exception):
                    reply = await client._exchange("GET", "/readyz", b"", ())
                    if reply.status == 200:
                        return
                await asyncio.sleep(0.05)

    async def kill(self) -> None:
        assert self.process is not None
        self.process.kill()
        self.cpu_s += self.process.cpu_s
        await self.process.wait(END_WITHIN_S)


def stand_in_machines(
    work: Path, hosts: Sequence[Host], model: FleetModel, protocol: str = "http"
) -> Process:
    """Stand-ins for hosts, by the settings in the folder; they write its inventory.csv."""
    plan = {host.name: replace(host, address=f"http://{host.name}:1") for host in hosts}
    write_csv(work / "plan.csv", Inventory("", plan))
    return Process(
        "machines",
        "kelpfront",
        "machines",
        "-c",
        str(work / "cluster.ini"),
        "--inventory",
        str(work / "plan.csv"),
        "--write-inventory",
        str(work / "inventory.csv"),
        "--protocol",
        protocol,
        "--model",
        msgspec.json.encode(model).decode(),
        log_to=work / "machines.log",
    )


def raise_file_limit() -> None:
    """As many files as this user may have: each link is a socket or more."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < hard:
        with contextlib.suppress(ValueError, OSError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
