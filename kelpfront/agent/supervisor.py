"""The supervisor of one task: starts its process, reads its output, stops it on request, records its exit.

A supervisor is a separate process that the `forkserver` forks and that outlives the agent. There is one per
task, so it imports the standard library and few modules only, to save memory. A task ends when its first
process has ended; its remaining processes are then stopped as well. The agent decides which tasks run, and
`recovery` interprets the records for a later agent.
"""

from __future__ import annotations

import contextlib
import ctypes
import os
import resource
import select
import signal
import socket
import time
import traceback
from pathlib import Path

from kelpfront.agent import task_folder
from kelpfront.agent.process import ProcessIdentity, identify, send_signal
from kelpfront.agent.program_launch import ProgramNotLoadedError, launch
from kelpfront.agent.rotated_output import RotatedOutput
from kelpfront.agent.signal_wakeup import SignalWakeup
from kelpfront.agent.supervised_processes import SupervisedProcesses
from kelpfront.agent.task_records import (
    EXIT_STATUS_UNKNOWN,
    CommandRecord,
    ExitRecord,
    StopRecord,
    TaskSpec,
    limit_grace_s,
    supervisor_claim,
)

NOTICE_SOCKET = "agent.sock"  # relative to the agent's state folder, the supervisors' working directory
RUNNING_NOTICE = "running"
EXIT_NOTICE = "exit"
PR_SET_CHILD_SUBREAPER = 36  # prctl(2)
READ_BYTES = 65_536  # the default capacity of a FIFO, pipe(7)
KILL_INTERVAL_S = 0.05  # between rounds of SIGKILL: the remaining processes may fork in between
WRITE_RETRY_S = 0.5  # between attempts to record an exit on a full disk
NOTICE_TIMEOUT_S = 1.0  # bounds how long an agent that does not read its socket can block a supervisor
SIGNALLED_CODE_BASE = 128  # a process ended by a signal has exit code 128 + signal number, as in shells


class Supervisor:
    """The supervisor of one folder: call `start` or `replace`, then `run`, which returns at the end."""

    def __init__(self, folder: Path, boot_id: str) -> None:
        self._folder = folder
        self._boot_id = boot_id
        self._spec = TaskSpec.from_record(task_folder.read_record(folder, task_folder.TASK) or {})
        self._grace_s = self._spec.grace_s
        self._log = RotatedOutput(
            folder / task_folder.OUTPUT_FILE, self._spec.output_bytes, self._spec.output_files
        )
        self._output: int | None = None  # the descriptor from which the task's output is read
        self._processes: SupervisedProcesses | None = None
        self._stop_begun = False
        self._kill_at_s: float | None = None  # when SIGKILL is due, on the monotonic clock
        self._wakeup = SignalWakeup()

    # ---- Start and replacement ------------------------------------------------------------------------

    def start(self) -> bool:
        """Claim and start the task; return False if there is nothing to run."""
        claim = supervisor_claim(self._own_identity())
        if not task_folder.write_once(self._folder, task_folder.CLAIM, claim):
            return False  # an agent has voided the start
        if task_folder.read_record(self._folder, task_folder.STOP) is not None:
            self._record_not_executed("stopped before it started")
            return False
        _become_subreaper()
        command = self._spec.command
        if command is None:
            raise ValueError(f"{self._folder}: the task record has no command")
        return self._launch(command)

    def _launch(self, command: CommandRecord) -> bool:
        try:
            program = launch(self._folder, command, self._boot_id)
            task_folder.write_once(self._folder, task_folder.RUNNING, {"at": time.time()})
        except ProgramNotLoadedError as error:
            self._record_not_executed(str(error))
            return False
        except OSError as error:
            self._record_not_executed(f"could not be started: {error.strerror}")
            return False
        self._notify(RUNNING_NOTICE)
        self._output = program.output
        self._processes = SupervisedProcesses(program.identity)
        return True

    def replace(self) -> bool:
        """Replace a supervisor that died; return False if there is nothing to supervise."""
        last = task_folder.last_replacement(self._folder)
        name = task_folder.replacement_name(last.number + 1)
        if not task_folder.write_once(self._folder, name, self._own_identity().to_record()):
            return False
        started = task_folder.read_record(self._folder, task_folder.STARTED)
        if started is None:
            return False
        with contextlib.suppress(OSError):
            self._output = os.open(self._folder / task_folder.OUTPUT_FIFO, os.O_RDONLY | os.O_NONBLOCK)
        first = ProcessIdentity.from_record(started)
        self._processes = SupervisedProcesses.of_replaced_supervisor(first, self._boot_id)
        return True

    def _own_identity(self) -> ProcessIdentity:
        identity = identify(os.getpid(), self._boot_id)
        assert identity is not None
        return identity

    # ---- Event loop -----------------------------------------------------------------------------------

    def run(self) -> None:
        """Supervise the task until all of its processes have ended, and record its exit."""
        processes = self._processes
        assert processes is not None
        poll = select.poll()
        for descriptor in (self._wakeup.descriptor, self._output, processes.pidfd):
            if descriptor is not None:
                poll.register(descriptor, select.POLLIN)
        while True:
            self._check_stop(processes)
            any_process_left = processes.reap()
            if processes.first_ended and not any_process_left:
                break
            self._send_due_signals(processes)
            for descriptor, event in poll.poll(self._poll_timeout_ms()):
                if not self._on_readable(processes, descriptor, event):
                    poll.unregister(descriptor)
        self._drain_output()
        self._record_exit(self._exit_record(processes.exit_status))

    def _check_stop(self, processes: SupervisedProcesses) -> None:
        """Begin to stop the task if there is a stop record, or if the host is shutting down."""
        if self._stop_begun:
            return
        record = task_folder.read_record(self._folder, task_folder.STOP)
        if record is None and not self._wakeup.terminated:
            return
        self._stop_begun = True
        if record is not None:
            grace_ms = StopRecord.from_record(record).grace_ms
            if grace_ms is not None:
                self._grace_s = limit_grace_s(grace_ms)
        if not processes.first_ended:
            processes.signal_first(signal.SIGTERM)
            self._kill_at_s = time.monotonic() + self._grace_s

    def _send_due_signals(self, processes: SupervisedProcesses) -> None:
        """Send due signals: SIGTERM once the first process has ended, SIGKILL after the grace period."""
        if processes.first_ended and self._kill_at_s is None:
            processes.signal_all(signal.SIGTERM)
            self._kill_at_s = time.monotonic() + self._grace_s
        if self._kill_at_s is not None and time.monotonic() >= self._kill_at_s:
            processes.signal_all(signal.SIGKILL)
            self._kill_at_s = time.monotonic() + KILL_INTERVAL_S

    def _poll_timeout_ms(self) -> float | None:
        if self._kill_at_s is None:
            return None
        return max(0.0, self._kill_at_s - time.monotonic()) * 1000.0 + 1.0  # rounded up: no busy loop

    def _on_readable(self, processes: SupervisedProcesses, descriptor: int, event: int) -> bool:
        """Handle an event of a descriptor; return whether to keep polling the descriptor."""
        if descriptor == self._wakeup.descriptor:
            self._wakeup.clear()
            return True
        if descriptor == self._output:
            return self._read_output(descriptor, event)
        processes.first_ended = True
        return False

    def _read_output(self, descriptor: int, event: int) -> bool:
        """Read available output; return False once all writers have closed the FIFO."""
        try:
            data = os.read(descriptor, READ_BYTES)
        except BlockingIOError:
            return not event & select.POLLHUP
        self._log.write(data)
        return bool(data)

    # ---- Exit -----------------------------------------------------------------------------------------

    def _drain_output(self) -> None:
        """Read the remaining output from the FIFO."""
        if self._output is None:
            return
        while True:
            try:
                data = os.read(self._output, READ_BYTES)
            except BlockingIOError:
                return
            if not data:
                return
            self._log.write(data)

    @staticmethod
    def _exit_record(status: int | None) -> ExitRecord:
        at = time.time()
        if status is None:
            return ExitRecord(ran=True, at=at, error=EXIT_STATUS_UNKNOWN)
        code = os.waitstatus_to_exitcode(status)
        used = resource.getrusage(resource.RUSAGE_CHILDREN)
        return ExitRecord(
            ran=True,
            at=at,
            code=code if code >= 0 else SIGNALLED_CODE_BASE - code,
            cpu_s=used.ru_utime + used.ru_stime,
        )

    def _record_not_executed(self, reason: str) -> None:
        self._record_exit(ExitRecord(ran=False, at=time.time(), error=reason))

    def _record_exit(self, record: ExitRecord) -> None:
        """Record an exit, retrying until it is written, so that it is not lost while this process runs."""
        while True:
            try:
                task_folder.write_once(self._folder, task_folder.EXIT, record.to_record())
                break
            except OSError:
                time.sleep(WRITE_RETRY_S)
        with contextlib.suppress(OSError):
            (self._folder / task_folder.OUTPUT_FIFO).unlink(missing_ok=True)
        self._notify(EXIT_NOTICE)

    def _notify(self, event: str) -> None:
        """Send the agent a notice. It may be lost: the agent also checks the folder periodically."""
        with contextlib.suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as notices:
            notices.settimeout(NOTICE_TIMEOUT_S)
            notices.sendto(f"{event} {self._folder.name}".encode(), NOTICE_SOCKET)


def request_stop_check(pidfd: int) -> bool:
    """Signal a supervisor to check its folder for a stop record; return False if it has ended."""
    return send_signal(pidfd, signal.SIGUSR1)


def _become_subreaper() -> None:
    """Become the parent of the task's orphaned processes, which otherwise could not be found or reaped."""
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0) != 0:
        raise OSError(ctypes.get_errno(), "prctl(PR_SET_CHILD_SUBREAPER)")


def supervise(folder: Path, boot_id: str, *, replaces: bool) -> None:
    """Run a supervisor until its task has ended; if it fails, write the traceback to the folder.

    `replaces` is whether it replaces a supervisor that died.
    """
    try:
        supervisor = Supervisor(folder, boot_id)
        has_task = supervisor.replace() if replaces else supervisor.start()
        if has_task:
            supervisor.run()
    except BaseException:
        with contextlib.suppress(OSError):
            (folder / task_folder.ERROR_FILE).write_text(traceback.format_exc())
        raise
