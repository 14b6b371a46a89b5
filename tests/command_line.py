"""Runs the command line as a user does, in a process of its own, for the tests of several packages.

What a command prints and how it ends is left to the tests to judge.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from dataclasses import dataclass

COMMAND_TIMEOUT_S = 60.0  # a whole bad day of a few seconds, with its processes, must fit in


@dataclass(frozen=True, slots=True)
class CommandResult:
    """How a command ended, and what it printed."""

    exit_code: int
    stdout: str
    stderr: str


def run_command(*args: str, url: str = "") -> CommandResult:
    """Run `kelpfront` with arguments, against the placer at `url` if one is given."""
    server_option = ["--server", url] if url else []
    command = [sys.executable, "-m", "kelpfront", *args, *server_option]
    process = subprocess.run(command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S, check=False)
    return CommandResult(process.returncode, process.stdout, process.stderr)


async def run_command_async(*args: str, url: str = "") -> CommandResult:
    """Run a command as `run_command` does, while the test's own event loop goes on."""
    return await asyncio.to_thread(run_command, *args, url=url)
