"""The agent's end of the forkserver: has supervisors made, and makes a new forkserver where one died."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

import structlog

log = structlog.get_logger("kelpfront.agent")

ANSWER_S = 10.0  # for a fork: longer means that the forkserver hangs
ANSWER_MOST = 4096


class SpawnError(Exception):
    """The forkserver did not answer: whether a supervisor was made is for the task's folder to tell."""


@dataclass(frozen=True, slots=True)
class Spawned:
    """A supervisor."""

    pid: int
    ticks: int


class Spawner:
    """One forkserver at a time, asked one thing at a time: a fork takes about a millisecond."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._turn = asyncio.Lock()
        self._process: asyncio.subprocess.Process | None = None
        self._control: socket.socket | None = None
        self.starts = 0

    @property
    def pid(self) -> int:
        """The forkserver's, or 0."""
        return 0 if self._process is None else self._process.pid

    async def open(self) -> None:
        async with self._turn:
            await self._renew()

    async def start(self, folder: Path) -> Spawned:
        """Makes the supervisor that starts a task; SpawnError where that is not known to have worked."""
        return await self._ask("start", folder)

    async def take_over(self, folder: Path) -> Spawned:
        """Makes a supervisor in place of one that died."""
        return await self._ask("take-over", folder)

    async def _ask(self, verb: str, folder: Path) -> Spawned:
        loop = asyncio.get_running_loop()
        async with self._turn:
            if self._control is None:
                await self._renew()
            control = self._control
            assert control is not None
            try:
                async with asyncio.timeout(ANSWER_S):
                    await loop.sock_sendall(control, f"{verb} {folder}".encode())
                    answer = (await loop.sock_recv(control, ANSWER_MOST)).decode()
            except (OSError, TimeoutError) as error:
                self._drop()
                raise SpawnError(f"the forkserver does not answer: {error}") from None
            except asyncio.CancelledError:
                self._drop()  # its answer would be taken for the next one's
                raise
            if not answer:
                self._drop()
                raise SpawnError("the forkserver died")
        first, _, rest = answer.partition(" ")
        if first == "error":
            raise SpawnError(f"could not fork: {rest}")
        self.starts += 1
        return Spawned(int(first), int(rest))

    async def _renew(self) -> None:
        self._drop()
        ours, theirs = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        ours.setblocking(False)
        try:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-I",
                "-m",
                "kelpfront.agent.forkserver",
                str(theirs.fileno()),
                cwd=self._folder,
                pass_fds=[theirs.fileno()],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                start_new_session=True,
            )
        except OSError as error:
            ours.close()
            raise SpawnError(f"the forkserver could not be started: {error}") from None
        finally:
            theirs.close()
        self._control = ours
        log.info("forkserver started", pid=self._process.pid)

    def _drop(self) -> None:
        if self._control is not None:
            self._control.close()
            self._control = None

    async def close(self) -> None:
        """Ends the forkserver; supervisors go on."""
        self._drop()
        if self._process is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_S):
                    await self._process.wait()
