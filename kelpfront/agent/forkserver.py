"""Forks supervisors: a process that has loaded what they need, so that none costs a start of Python.

Run as `python -m kelpfront.agent.forkserver FD` in the agent's state folder; FD is a SOCK_SEQPACKET socket. A
request is `start FOLDER` or `take-over FOLDER`, its answer `PID TICKS` or `error TEXT`. It ends with the
agent, whose end closes the socket; supervisors do not. All that a supervisor uses is imported here, before
the first fork, so that the supervisors share its memory.
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

MAX_REQUEST_BYTES = 4096  # a verb and a path
START = "start"
REPLACE = "take-over"
ERROR = "error"


def fork_supervisor(control: socket.socket, request: str, boot_id: str) -> str:
    """Carry out a request and return its answer."""
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
    """In the new process: be a supervisor to its end, and never return into the fork server's loop."""
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
    signal.signal(signal.SIGCHLD, signal.SIG_IGN)  # supervisors are reaped by the system
    for number in (signal.SIGINT, signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)  # it ends with its agent, never before
    boot_id = read_boot_id()
    gc.collect()
    gc.freeze()  # so that the collector does not touch, and thereby copy, what all supervisors share
    # A connection that is reset: the agent died with an answer unread, or before it could be sent.
    with contextlib.suppress(ConnectionError):
        while True:
            request = control.recv(MAX_REQUEST_BYTES)
            if not request:
                break
            control.send(fork_supervisor(control, request.decode(), boot_id).encode())


if __name__ == "__main__":
    main()
