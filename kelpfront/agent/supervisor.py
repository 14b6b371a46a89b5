"""One task's supervisor: starts its process, keeps its output, stops it when told, records how it ended.

A process of its own, forked by the `forkserver`, which outlives the agent. Standard library only, and few
modules: there is one for each task. It is the reaper of all that the task's process leaves behind, so that a
process which forks away stays the task's, its CPU time is counted, and its end is seen.

A task is over when its first process has ended; what is left of its processes then is stopped as well.
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
from pathlib import Path
from typing import Any

from kelpfront.agent import folders
from kelpfront.agent.process import Identity, descendants, identify, open_pidfd, read_stat, send_signal

NOTICES = "agent.sock"  # in the agent's state folder, which is the working directory here
PR_SET_CHILD_SUBREAPER = 36  # prctl(2)
READ_SIZE = 65_536
KILL_AGAIN_S = 0.05  # between SIGKILLs to what is left, which may fork meanwhile
WRITE_AGAIN_S = 0.5  # between tries to record an end on a full disk
NOTICE_S = 1.0
GRACE_MOST_S = 3_600.0


class RotatedLog:
    """A file of at most `most` bytes and `older` full ones before it (`.1` the newest)."""

    def __init__(self, path: Path, most: int, older: int) -> None:
        self._path, self._most, self._older = path, most, older
        self._file: Any = None
        self._size = 0

    def write(self, data: bytes) -> None:
        """What cannot be written is dropped: a full disk must not stop a task that writes."""
        while data:
            try:
                if self._file is None:
                    self._file = self._path.open("ab", buffering=0)
                    self._size = self._file.tell()
                if self._size >= self._most:
                    self._rotate()
                    continue
                written = self._file.write(data[: self._most - self._size])
            except OSError:
                return
            self._size += written
            data = data[written:]

    def _rotate(self) -> None:
        self._file.close()
        self._file = None
        for number in range(self._older, 0, -1):
            before = self._numbered(number - 1)
            if before.exists():
                before.replace(self._numbered(number))
        if not self._older:
            self._path.unlink(missing_ok=True)

    def _numbered(self, number: int) -> Path:
        return self._path.with_name(f"{self._path.name}.{number}") if number else self._path


class Supervisor:
    """Of one folder. `start` or `take_over`, then `run` until the task is over."""

    def __init__(self, folder: Path, boot: str) -> None:
        self._folder, self._boot = folder, boot
        self._task = folders.read(folder, folders.TASK) or {}
        run = self._task.get("run") or {}
        self._grace_s = min(GRACE_MOST_S, run.get("grace_ms", 10_000.0) / 1000.0)
        self._log = RotatedLog(
            folder / folders.OUTPUT, self._task.get("log_bytes", 1 << 20), self._task.get("log_files", 1)
        )
        self._main = self._ticks = 0
        self._main_fd: int | None = None  # of a process that is not this one's child
        self._status: int | None = None  # as waitpid(2) gives it
        self._main_over = False
        self._took_over = False  # its processes are not children of this one
        self._fifo = -1
        self._stopping = False
        self._kill_at: float | None = None
        self._wake, wake = os.pipe()
        for fd in (self._wake, wake):
            os.set_blocking(fd, False)
        signal.set_wakeup_fd(wake, warn_on_full_buffer=False)
        for number in (signal.SIGCHLD, signal.SIGUSR1, signal.SIGTERM):
            signal.signal(number, self._signalled)
        for number in (signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)
        self._told_to_end = False

    def _signalled(self, number: int, _frame: object) -> None:
        if number == signal.SIGTERM:  # the host goes down
            self._told_to_end = True

    # ---- Beginnings -----------------------------------------------------------------------------------

    def start(self) -> bool:
        """Claims and starts the task; False where there is nothing to run."""
        me = identify(os.getpid(), self._boot)
        assert me is not None
        claim = {"by": "supervisor", "pid": me.pid, "ticks": me.ticks, "boot": me.boot}
        if not folders.write_once(self._folder, folders.CLAIM, claim):
            return False  # an agent has voided the start
        if folders.read(self._folder, folders.STOP) is not None:
            self._never_ran("stopped before it started")
            return False
        _become_subreaper()
        try:
            self._fork()
        except OSError as error:
            self._never_ran(f"could not be started: {error.strerror}")
            return False
        return self._main != 0

    def _fork(self) -> None:
        run = self._task["run"]
        fifo = self._folder / folders.FIFO
        os.mkfifo(fifo, 0o600)
        # Open for both: the task's end never breaks, whatever becomes of its supervisor.
        its_end = os.open(fifo, os.O_RDWR)
        self._fifo = os.open(fifo, os.O_RDONLY | os.O_NONBLOCK)
        release_r, release_w = os.pipe()
        failed_r, failed_w = os.pipe()
        pid = os.fork()
        if pid == 0:
            os.close(release_w)
            self._become(run, its_end, release_r, failed_w)
        self._main = pid
        os.close(its_end)
        os.close(release_r)
        os.close(failed_w)
        identity = identify(pid, self._boot)
        try:
            # Nothing runs that is not written down: the process waits for its release.
            if identity is None:
                raise OSError(0, "it ended at once")
            self._ticks = identity.ticks
            record = {"pid": pid, "ticks": identity.ticks, "boot": identity.boot, "at": time.time()}
            folders.write_once(self._folder, folders.STARTED, record)
            os.write(release_w, b"x")
        except OSError:
            os.close(release_w)
            os.waitpid(pid, 0)
            self._main = 0
            raise
        os.close(release_w)
        failure = b""
        while piece := os.read(failed_r, 4096):
            failure += piece
        os.close(failed_r)
        if failure:
            os.waitpid(pid, 0)
            self._main = 0
            self._never_ran(failure.decode(errors="replace"))
            return
        folders.write_once(self._folder, folders.RUNNING, {"at": time.time()})
        self._notify("running")

    def _become(self, run: dict[str, Any], output: int, release: int, failed: int) -> None:
        """In the child: waits for its release, then becomes the task's program. Does not return."""
        what = "could not be started"
        try:
            os.setsid()
            if os.read(release, 1) != b"x":
                os._exit(125)
            signal.set_wakeup_fd(-1)
            for number in (signal.SIGCHLD, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                signal.signal(number, signal.SIG_DFL)
            signal.signal(signal.SIGPIPE, signal.SIG_DFL)
            signal.signal(signal.SIGXFSZ, signal.SIG_DFL)
            null = os.open(os.devnull, os.O_RDONLY)
            os.dup2(null, 0)
            os.dup2(output, 1)
            os.dup2(output, 2)
            workdir = run.get("workdir") or str(self._folder.absolute() / folders.WORK)
            what = f"workdir {workdir}"
            if not run.get("workdir"):
                os.makedirs(workdir, exist_ok=True)
            os.chdir(workdir)
            what = f"command {run['argv'][0]}"
            os.execvpe(run["argv"][0], run["argv"], self._task["env"])
        except OSError as error:
            os.write(failed, f"{what}: {error.strerror}".encode())
        except BaseException as error:
            os.write(failed, f"{what}: {error}".encode())
        finally:
            os._exit(127)

    def take_over(self) -> bool:
        """Takes the place of a supervisor that died; False where there is nothing to look after."""
        number, _ = folders.last_watch(self._folder)
        me = identify(os.getpid(), self._boot)
        assert me is not None
        record = {"pid": me.pid, "ticks": me.ticks, "boot": me.boot}
        if not folders.write_once(self._folder, folders.watch_name(number + 1), record):
            return False
        started = folders.read(self._folder, folders.STARTED)
        if started is None:
            return False
        with contextlib.suppress(OSError):
            self._fifo = os.open(self._folder / folders.FIFO, os.O_RDONLY | os.O_NONBLOCK)
        self._main, self._ticks, self._took_over = started["pid"], started["ticks"], True
        identity = Identity(started["pid"], started["ticks"], started["boot"])
        self._main_fd = open_pidfd(identity, self._boot)
        self._main_over = self._main_fd is None
        return True

    # ---- While it runs --------------------------------------------------------------------------------

    def run(self) -> None:
        poll = select.poll()
        poll.register(self._wake, select.POLLIN)
        if self._fifo >= 0:
            poll.register(self._fifo, select.POLLIN)
        if self._main_fd is not None:
            poll.register(self._main_fd, select.POLLIN)
        while True:
            self._look_for_stop()
            left = self._reap()
            if self._main_over and not left:
                break
            if self._main_over and self._kill_at is None:
                self._signal_all(signal.SIGTERM)
                self._kill_at = time.monotonic() + self._grace_s
            if self._kill_at is not None and time.monotonic() >= self._kill_at:
                self._signal_all(signal.SIGKILL)
                self._kill_at = time.monotonic() + KILL_AGAIN_S
            for fd, event in poll.poll(self._wait_ms()):
                if fd == self._wake:
                    with contextlib.suppress(BlockingIOError):
                        os.read(self._wake, 4096)
                elif fd == self._fifo and not self._read_output(event):
                    poll.unregister(self._fifo)
                elif fd == self._main_fd:
                    poll.unregister(fd)
                    self._main_over = True
        self._finish()

    def _wait_ms(self) -> float | None:
        if self._kill_at is None:
            return None
        return max(0.0, self._kill_at - time.monotonic()) * 1000.0 + 1.0

    def _read_output(self, event: int) -> bool:
        """Some output; False once all who can write have closed it."""
        try:
            data = os.read(self._fifo, READ_SIZE)
        except BlockingIOError:
            return not event & select.POLLHUP
        self._log.write(data)
        return bool(data)

    def _reap(self) -> bool:
        """Takes note of ended processes; whether any of the task's are left."""
        if self._took_over:
            return not self._main_over or bool(descendants(None, self._session()))
        while True:
            try:
                pid, status = os.waitpid(-1, os.WNOHANG)
            except ChildProcessError:
                return False
            if pid == 0:
                return True
            if pid == self._main:
                self._status, self._main_over = status, True

    def _look_for_stop(self) -> None:
        if self._stopping:
            return
        stop = folders.read(self._folder, folders.STOP)
        if stop is None and not self._told_to_end:
            return
        self._stopping = True
        if stop is not None:
            self._grace_s = min(GRACE_MOST_S, stop.get("grace_ms", self._grace_s * 1000.0) / 1000.0)
        if not self._main_over:
            self._signal_main(signal.SIGTERM)
            self._kill_at = time.monotonic() + self._grace_s

    def _signal_main(self, number: int) -> None:
        """To the process group of the task's first process, which has not been waited for: its id holds."""
        with contextlib.suppress(ProcessLookupError, PermissionError):
            os.killpg(self._main, number)

    def _session(self) -> frozenset[int]:
        """The session that the first process leads, unless its number has come to mean another's."""
        stat = read_stat(self._main)
        return frozenset({self._main}) if stat is None or stat.ticks == self._ticks else frozenset()

    def _signal_all(self, number: int) -> None:
        if not self._main_over:
            self._signal_main(number)
        # The children of a supervisor that died went to the host's init: what is left to know them by is
        # their session, and the tree below the first process while it lives.
        root: int | None = os.getpid()
        if self._took_over:
            root = None if self._main_over else self._main
        for pid in descendants(root, self._session()):
            if pid != os.getpid():
                with contextlib.suppress(ProcessLookupError, PermissionError):
                    os.kill(pid, number)

    # ---- The end --------------------------------------------------------------------------------------

    def _finish(self) -> None:
        while self._fifo >= 0:  # what is still in the pipe
            try:
                data = os.read(self._fifo, READ_SIZE)
            except BlockingIOError:
                break
            if not data:
                break
            self._log.write(data)
        record: dict[str, Any] = {"ran": True, "at": time.time(), "code": None, "cpu_s": None}
        if self._status is not None:
            code = os.waitstatus_to_exitcode(self._status)
            used = resource.getrusage(resource.RUSAGE_CHILDREN)
            record["code"] = code if code >= 0 else 128 - code
            record["cpu_s"] = used.ru_utime + used.ru_stime
        else:
            record["error"] = "its exit status is not known: its supervisor had died"
        self._record_exit(record)

    def _never_ran(self, why: str) -> None:
        self._record_exit({"ran": False, "at": time.time(), "error": why})

    def _record_exit(self, record: dict[str, Any]) -> None:
        """Until it is written: as long as this process lives, nothing is lost."""
        while True:
            try:
                folders.write_once(self._folder, folders.EXIT, record)
                break
            except OSError:
                time.sleep(WRITE_AGAIN_S)
        with contextlib.suppress(OSError):
            (self._folder / folders.FIFO).unlink(missing_ok=True)
        self._notify("exit")

    def _notify(self, event: str) -> None:
        """A hint, which may be lost: the agent also looks by itself."""
        with contextlib.suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as notices:
            notices.settimeout(NOTICE_S)
            notices.sendto(f"{event} {self._folder.name}".encode(), NOTICES)


def request_stop(pidfd: int) -> bool:
    """Has a supervisor look for its folder's stop record; False where it has ended."""
    return send_signal(pidfd, signal.SIGUSR1)


def _become_subreaper() -> None:
    """Orphans of the task come to this process. Without it those that fork away would be lost sight of."""
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.prctl(PR_SET_CHILD_SUBREAPER, 1, 0, 0, 0) != 0:
        raise OSError(ctypes.get_errno(), "prctl(PR_SET_CHILD_SUBREAPER)")


def supervise(folder: Path, boot: str, take_over: bool) -> None:
    """The whole life of a supervisor; what goes wrong in it is left in the folder."""
    try:
        supervisor = Supervisor(folder, boot)
        if supervisor.take_over() if take_over else supervisor.start():
            supervisor.run()
    except BaseException:
        import traceback

        with contextlib.suppress(OSError):
            (folder / "supervisor.err").write_text(traceback.format_exc())
        raise
