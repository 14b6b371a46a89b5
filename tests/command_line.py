"""Runs the command line as a user does, in its own process, for the tests of several packages.

The tests check the output and the exit code.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from dataclasses import dataclass

COMMAND_TIMEOUT_S = 60.0  # a bad day of a few seconds, including the start of its processes, has to fit in


@dataclass(frozen=True, slots=True)
class CommandResult:
    """The exit code and the output of a command."""

    exit_code: int
    stdout: str
    stderr: str


def run_command(*args: str, url: str = "") -> CommandResult:
    """Run `kelpfront` with arguments, and with the placer at `url` as its server if one is given."""
    server_option = ["--server", url] if url else []
    command = [sys.executable, "-m", "kelpfront", *args, *server_option]
    process = subprocess.run(command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S, check=False)
    return CommandResult(process.returncode, process.stdout, process.stderr)


async def run_command_async(*args: str, url: str = "") -> CommandResult:
    """Run a command as `run_command` does, without blocking the event loop of the test."""
    return await asyncio.to_thread(run_command, *args, url=url)
