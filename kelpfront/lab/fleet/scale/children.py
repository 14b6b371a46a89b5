"""Processes of a scale run beside the placers: told what to do by lines, and gone when we are."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from kelpfront.lab.fleet.processes import bounded
from kelpfront.lab.platform import Json

FILES = 20_000
LINE_MOST = 64 << 20
ANSWER_S = 60.0


class Child:
    """One module as a process. With `talks`, each line that it is told is answered by one."""

    def __init__(
        self, name: str, module: str, work: Path, args: list[str] | None = None, talks: bool = True
    ) -> None:
        self.name, self._module, self._args, self._talks = name, module, args or [], talks
        self._log_path = work / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._turn = asyncio.Lock()

    async def start(self) -> None:
        pipe = asyncio.subprocess.PIPE if self._talks else asyncio.subprocess.DEVNULL
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *bounded(min(FILES, files_allowed()), 0, "-m", self._module, *self._args),
                stdin=pipe,
                stdout=pipe,
                stderr=log,
                limit=LINE_MOST,
            )

    @property
    def pid(self) -> int:
        return 0 if self._process is None else self._process.pid

    @property
    def alive(self) -> bool:
        return self._process is not None and self._process.returncode is None

    async def ask(self, do: str, **fields: Any) -> Any:
        """Has it do something; its answer. RuntimeError with its last words where it has ended."""
        assert self._process is not None and self._process.stdin and self._process.stdout
        async with self._turn, asyncio.timeout(ANSWER_S):
            with contextlib.suppress(ConnectionError):
                self._process.stdin.write(json.dumps({"do": do} | fields).encode() + b"\n")
                await self._process.stdin.drain()
            return self._read(await self._process.stdout.readline())

    async def hello(self) -> Any:
        """Its first line, said when it is up; RuntimeError with its last words where it has ended."""
        assert self._process is not None and self._process.stdout
        async with self._turn, asyncio.timeout(ANSWER_S):
            return self._read(await self._process.stdout.readline())

    def _read(self, line: bytes) -> Any:
        if not line:
            raise RuntimeError(f"{self.name} ended: {self._log_path.read_text()[-2000:]}")
        return json.loads(line)

    async def kill(self) -> None:
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()


def files_allowed() -> int:
    return resource.getrlimit(resource.RLIMIT_NOFILE)[1]


async def obey(act: Callable[[Json], Awaitable[Any]]) -> None:
    """The child's side: one answer a line, until its parent closes."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_MOST)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        answer = json.dumps(await act(json.loads(line))).encode() + b"\n"
        out = memoryview(answer)
        while out:
            out = out[os.write(1, out) :]
