"""The agent's client of the fork server: requests supervisors, and restarts a fork server that died.

If a request fails, the supervisor may exist nevertheless: the caller has to check the task's folder.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from dataclasses import dataclass
from pathlib import Path

import structlog

from kelpfront.agent.forkserver import ERROR, REPLACE, START

log = structlog.get_logger("kelpfront.agent")

ANSWER_TIMEOUT_S = 10.0  # a fork takes about a millisecond: after this time the fork server hangs
MAX_ANSWER_BYTES = 4096


class ForkServerError(Exception):
    """A request to the fork server failed; only the task's folder shows whether a supervisor was started."""


@dataclass(frozen=True, slots=True)
class ForkedSupervisor:
    """A forked supervisor; `start_ticks` is its start time in clock ticks since the boot."""

    pid: int
    start_ticks: int


class ForkServerClient:
    """Runs one fork server at a time and sends it one request at a time: a fork takes about a millisecond."""

    def __init__(self, state_folder: Path) -> None:
        self._state_folder = state_folder
        self._lock = asyncio.Lock()
        self._process: asyncio.subprocess.Process | None = None
        self._control: socket.socket | None = None
        self.forked_count = 0

    @property
    def pid(self) -> int:
        """The fork server's pid, or 0 if none was started."""
        return 0 if self._process is None else self._process.pid

    async def open(self) -> None:
        """Start a fork server. Raises ForkServerError."""
        async with self._lock:
            await self._start_process()

    async def start_supervisor(self, folder: Path) -> ForkedSupervisor:
        """Fork the supervisor that starts a task. Raises ForkServerError if the fork may have failed."""
        return await self._request(START, folder)

    async def replace_supervisor(self, folder: Path) -> ForkedSupervisor:
        """Fork a supervisor to replace one that died. Raises ForkServerError if the fork may have failed."""
        return await self._request(REPLACE, folder)

    async def _request(self, verb: str, folder: Path) -> ForkedSupervisor:
        async with self._lock:
            if self._control is None:
                await self._start_process()
            control = self._control
            assert control is not None
            answer = await self._exchange(control, f"{verb} {folder}".encode())
            if not answer:
                self._disconnect()
                raise ForkServerError("the forkserver died")
        first, _, rest = answer.partition(" ")
        if first == ERROR:
            raise ForkServerError(f"could not fork: {rest}")
        self.forked_count += 1
        return ForkedSupervisor(int(first), int(rest))

    async def _exchange(self, control: socket.socket, request: bytes) -> str:
        """Send a request and return its answer, which is empty if the fork server has ended."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await loop.sock_sendall(control, request)
                answer = await loop.sock_recv(control, MAX_ANSWER_BYTES)
                return answer.decode()
        except (OSError, TimeoutError) as error:
            self._disconnect()
            raise ForkServerError(f"the forkserver does not answer: {error}") from error
        except asyncio.CancelledError:
            # The answer is still to come, and would be mistaken for the answer to the next request.
            self._disconnect()
            raise

    async def _start_process(self) -> None:
        self._disconnect()
        own_end, server_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        own_end.settimeout(0)  # asyncio requires a non-blocking socket
        try:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-I",
                "-m",
                "kelpfront.agent.forkserver",
                str(server_end.fileno()),
                cwd=self._state_folder,
                pass_fds=[server_end.fileno()],
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.DEVNULL,
                start_new_session=True,
            )
        except OSError as error:
            own_end.close()
            raise ForkServerError(f"the forkserver could not be started: {error}") from error
        finally:
            server_end.close()
        self._control = own_end
        log.info("fork server started", pid=self._process.pid)

    def _disconnect(self) -> None:
        if self._control is not None:
            self._control.close()
            self._control = None

    async def close(self) -> None:
        """Stop the fork server; supervisors keep running."""
        self._disconnect()
        if self._process is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    await self._process.wait()
