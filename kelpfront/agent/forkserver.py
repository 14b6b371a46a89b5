"""The fork server: forks supervisors from a preloaded process, which avoids a Python startup for each one.

Run as `python -m kelpfront.agent.forkserver FD` in the agent's state folder; FD is a SOCK_SEQPACKET socket. A
request is `start FOLDER` or `take-over FOLDER`, the answer is `PID TICKS` or `error TEXT`. The fork server
exits when the agent ends, since that closes the socket; supervisors keep running. All modules that a
supervisor uses are imported here, before the first fork, so that supervisors share their memory.
"""

from __future__ import annotations

import contextlib
import gc
import os
import signal
import socket
import sys
from pathlib import Path

from kelpfront.agent.process import identify, read_boot_id
from kelpfront.agent.supervisor import supervise

MAX_REQUEST_BYTES = 4096  # a request is a verb and a path
START = "start"
REPLACE = "take-over"
ERROR = "error"


def fork_supervisor(control: socket.socket, request: str, boot_id: str) -> str:
    """Fork a supervisor as requested, and return the answer."""
    verb, _, folder = request.partition(" ")
    try:
        pid = os.fork()
    except OSError as error:
        return f"{ERROR} {error.strerror}"
    if pid == 0:
        _run_supervisor(control, Path(folder), boot_id, replaces=verb == REPLACE)
    identity = identify(pid, boot_id)
    return f"{pid} {identity.start_ticks if identity is not None else 0}"


def _run_supervisor(control: socket.socket, folder: Path, boot_id: str, *, replaces: bool) -> None:
    """Run a supervisor in the forked process, then exit: it must not return into the fork server's loop."""
    code = 1
    try:
        control.close()
        os.setsid()
        signal.signal(signal.SIGCHLD, signal.SIG_DFL)
        supervise(folder, boot_id, replaces=replaces)
        code = 0
    finally:
        os._exit(code)


def main() -> None:
    """Serve requests until the agent's end of the socket is closed."""
    control = socket.socket(fileno=int(sys.argv[1]))
    control.set_inheritable(False)
    signal.signal(signal.SIGCHLD, signal.SIG_IGN)  # the kernel reaps the supervisors
    for number in (signal.SIGINT, signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)  # only the end of the agent ends the fork server
    boot_id = read_boot_id()
    gc.collect()
    gc.freeze()  # a collection would write to shared pages, and copy-on-write would unshare them
    # The connection is reset if the agent dies before it has read an answer.
    with contextlib.suppress(ConnectionError):
        while True:
            request = control.recv(MAX_REQUEST_BYTES)
            if not request:
                break
            control.send(fork_supervisor(control, request.decode(), boot_id).encode())


if __name__ == "__main__":
    main()
