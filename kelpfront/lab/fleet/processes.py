"""Placers on the platform as processes: started, killed, stopped, continued, and gone when we are."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from collections import deque
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from kelpfront.lab.platform import Peer, line

END_S = 10.0
READY_EVERY_S = 0.1  # between tests of a placer that did not pass
READY_ANSWER_S = 5.0
TEST_CALL = "00000000000000f0"
ENDS_KEPT = 16  # of one placer's lives
LAST_LINES, LAST_BYTES = 40, 16_384  # of a life's log


@dataclass(frozen=True, slots=True)
class LifeEnd:
    """How one life of a process ended. `wanted`: the rig had told it to, or killed it."""

    name: str
    life: int  # from 1
    lasted_s: float
    exit_code: int | None  # None: a signal ended it
    signal: str  # its name, empty where there was none
    wanted: bool
    last_lines: tuple[str, ...]

    def __str__(self) -> str:
        how = self.signal or f"exit code {self.exit_code}"
        head = f"{self.name}, life {self.life}: {how} after {self.lasted_s:.1f} s"
        return "\n    ".join([head, *self.last_lines])


def signal_name(code: int) -> str:
    """Of the signal that ended a process with the return code `code`; empty where none did."""
    if code >= 0:
        return ""
    try:
        return signal.Signals(-code).name
    except ValueError:  # of those for real time
        return f"signal {-code}"


def last_lines(path: Path, start: int) -> tuple[str, ...]:
    """The last lines of a file from byte `start` on, LAST_LINES and LAST_BYTES at most."""
    try:
        with path.open("rb") as file:
            size = file.seek(0, os.SEEK_END)
            file.seek(max(start, size - LAST_BYTES))
            data = file.read(LAST_BYTES)
    except OSError:
        return ()
    return tuple(data.decode(errors="replace").splitlines()[-LAST_LINES:])


def bounded(files: int, memory_mb: int, *arguments: str) -> list[str]:
    """The command for Python with these arguments that dies with us and keeps to its limits.

    The system binds its death to the thread that starts it: that of the rig's loop.
    """
    launcher = Path(__file__).with_name("bounded.py")
    limits = (os.getpid(), files, memory_mb)
    return [sys.executable, "-I", "-S", str(launcher), *map(str, limits), sys.executable, *arguments]


class PlacerProcess:
    """One placer, over its lives. `config` is what the platform would tell it; files are in `work`."""

    def __init__(
        self, name: str, config: dict[str, Any], work: Path, files: int = 512, memory_mb: int = 0
    ) -> None:
        self.name, self.config = name, config
        self.host, _, port = config["listen"].partition(":")
        self.port = int(port)
        self._path, self.log_path = work / f"{name}.json", work / f"{name}.log"
        self._files, self._memory_mb = files, memory_mb
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None
        self._lives, self._told_to_end = 0, False
        self.ends: deque[LifeEnd] = deque(maxlen=ENDS_KEPT)

    @property
    def pid(self) -> int:
        return 0 if self._process is None else self._process.pid

    @property
    def alive(self) -> bool:
        return self._process is not None and self._process.returncode is None

    def write_config(self) -> None:
        part = self._path.with_suffix(".part")
        part.write_text(json.dumps(self.config))
        part.replace(self._path)

    def _arguments(self) -> list[str]:
        return ["-m", "kelpfront.platform"]

    async def start(self) -> None:
        self.write_config()
        with self.log_path.open("ab") as log:
            log_start = log.seek(0, os.SEEK_END)
            self._process = await asyncio.create_subprocess_exec(
                *bounded(self._files, self._memory_mb, *self._arguments()),
                env=os.environ | {"LB_CONFIG": str(self._path)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._lives, self._told_to_end = self._lives + 1, False
        self._watch = asyncio.create_task(self._until_end(self._process, log_start))

    async def _until_end(self, process: asyncio.subprocess.Process, log_start: int) -> None:
        """Notes how this life ends."""
        life, began = self._lives, time.monotonic()
        code = await process.wait()
        self.ends.append(
            LifeEnd(
                self.name,
                life,
                time.monotonic() - began,
                code if code >= 0 else None,
                signal_name(code),
                self._told_to_end,
                last_lines(self.log_path, log_start),
            )
        )

    async def _ended(self) -> int:
        """Waits until this life has ended and is noted; its exit code, or the negative of a signal."""
        assert self._process is not None and self._watch is not None
        await self._watch
        return await self._process.wait()

    def signal(self, number: signal.Signals) -> None:
        if self.alive:
            assert self._process is not None
            self._told_to_end |= number in (signal.SIGKILL, signal.SIGTERM)
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def until_ready(self, every_s: float = READY_EVERY_S) -> None:
        """Until it has passed a test; asked again after each `every_s`."""
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(READY_ANSWER_S):
                    peer = Peer(*await asyncio.open_connection(self.host, self.port))
                    try:
                        peer.say(line("test", TEST_CALL, why=0))
                        answer = await peer.read()
                    finally:
                        peer.cut()
                    if answer is not None and answer.get("why") == 1:
                        return
            await asyncio.sleep(every_s)

    def stop(self) -> None:
        """It stands still; `go_on` lets it run again."""
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.signal(signal.SIGCONT)

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._ended()

    async def end(self) -> int:
        """SIGTERM, and the exit code; killed where it does not end."""
        if self._process is None:
            return 0
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(END_S):
                return await asyncio.shield(self._ended())
        except TimeoutError:
            await self.kill()
            return -int(signal.SIGKILL)
