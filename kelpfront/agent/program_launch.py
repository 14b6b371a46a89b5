"""Launches a task's program: forks, records the new process, releases it, and executes the program.

The new process waits on a pipe until its identity is recorded. If its supervisor dies before that, the pipe
closes and the process exits, so no program ever runs without a record. `supervisor` decides whether a task
may be started, and monitors its process. Standard library only.
"""

from __future__ import annotations

import os
import signal
import time
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple, NoReturn

from kelpfront.agent import task_folder
from kelpfront.agent.process import ProcessIdentity, identify
from kelpfront.agent.task_records import CommandRecord

RELEASE = b"x"  # sent to the new process once its identity is recorded
NOT_RELEASED_CODE = 125  # exit code if the supervisor died before the release; no process reads it
NOT_LOADED_CODE = 127  # exit code that shells use for a command that cannot be executed
FAILURE_READ_BYTES = 4096

# Signals whose disposition differs from the default in a supervisor: the program starts with the defaults.
# The supervisor handles or ignores the first group, CPython ignores the second.
HANDLED_SIGNALS = (signal.SIGCHLD, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
IGNORED_BY_PYTHON = (signal.SIGPIPE, signal.SIGXFSZ)


class ProgramNotLoadedError(Exception):
    """The process was created but its program could not be loaded; the text states the cause."""


@dataclass(frozen=True, slots=True)
class LaunchedProgram:
    """The task's first process, and the descriptor from which its output is read."""

    identity: ProcessIdentity
    output: int


class _ChildDescriptors(NamedTuple):
    """The new process's descriptors: its output, the release that it waits for, and its failure report."""

    output: int
    release: int
    failure: int


def launch(folder: Path, command: CommandRecord, boot_id: str) -> LaunchedProgram:
    """Start a command and wait until its program is loaded.

    Raises ProgramNotLoadedError, or OSError if no process could be created or recorded.
    """
    fifo = folder / task_folder.OUTPUT_FIFO
    os.mkfifo(fifo, 0o600)
    # Opened for reading and writing: the task has a reader itself, so its writes do not fail with EPIPE when
    # its supervisor dies.
    task_output = os.open(fifo, os.O_RDWR)
    output = os.open(fifo, os.O_RDONLY | os.O_NONBLOCK)
    release_reader, release_writer = os.pipe()
    failure_reader, failure_writer = os.pipe()
    pid = os.fork()
    if pid == 0:
        os.close(release_writer)
        _run_program(folder, command, _ChildDescriptors(task_output, release_reader, failure_writer))
    os.close(task_output)
    os.close(release_reader)
    os.close(failure_writer)
    try:
        identity = _record_start(folder, pid, boot_id)
        os.write(release_writer, RELEASE)
    except OSError:
        os.close(release_writer)
        os.waitpid(pid, 0)
        raise
    os.close(release_writer)
    failure = _read_all(failure_reader)
    if failure:
        os.waitpid(pid, 0)
        raise ProgramNotLoadedError(failure.decode(errors="replace"))
    return LaunchedProgram(identity, output)


def _record_start(folder: Path, pid: int, boot_id: str) -> ProcessIdentity:
    """Write the record of the new process, which must exist before the process is released."""
    identity = identify(pid, boot_id)
    if identity is None:
        raise OSError(0, "it ended at once")
    task_folder.write_once(folder, task_folder.STARTED, {**identity.to_record(), "at": time.time()})
    return identity


def _read_all(descriptor: int) -> bytes:
    """Read until all writers have closed the pipe, then close it; a successful exec closes the child's."""
    data = b""
    while True:
        fragment = os.read(descriptor, FAILURE_READ_BYTES)
        if not fragment:
            break
        data += fragment
    os.close(descriptor)
    return data


def _run_program(folder: Path, command: CommandRecord, descriptors: _ChildDescriptors) -> NoReturn:
    """Wait for the release in the forked process, then execute the program."""
    step = "could not be started"
    try:
        os.setsid()
        if os.read(descriptors.release, 1) != RELEASE:
            os._exit(NOT_RELEASED_CODE)
        _reset_signals()
        _redirect_streams(descriptors.output)
        workdir = command.workdir or str(folder.absolute() / task_folder.WORK_FOLDER)
        step = f"workdir {workdir}"
        if not command.workdir:
            os.makedirs(workdir, exist_ok=True)
        os.chdir(workdir)
        step = f"command {command.argv[0]}"
        os.execvpe(command.argv[0], command.argv, command.env)
    except OSError as error:
        os.write(descriptors.failure, f"{step}: {error.strerror}".encode())
    except BaseException as error:
        os.write(descriptors.failure, f"{step}: {error}".encode())
    finally:
        os._exit(NOT_LOADED_CODE)


def _reset_signals() -> None:
    signal.set_wakeup_fd(-1)
    for number in (*HANDLED_SIGNALS, *IGNORED_BY_PYTHON):
        signal.signal(number, signal.SIG_DFL)


def _redirect_streams(output: int) -> None:
    null = os.open(os.devnull, os.O_RDONLY)
    os.dup2(null, 0)
    os.dup2(output, 1)
    os.dup2(output, 2)
