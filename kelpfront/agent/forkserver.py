"""Forks supervisors: a process that has loaded what they need, so that one costs no start of Python.

Run as `python -m kelpfront.agent.forkserver FD` in the agent's state folder; FD is a SOCK_SEQPACKET socket. A
request is `start FOLDER` or `take-over FOLDER`, its answer `PID TICKS`, or `error TEXT`. It ends with the
agent, whose end closes the socket; supervisors do not.
"""

from __future__ import annotations

import gc
import os
import signal
import socket
import sys
from pathlib import Path

from kelpfront.agent.process import boot_id, identify
from kelpfront.agent.supervisor import supervise

REQUEST_MOST = 4096


def fork_supervisor(control: socket.socket, request: str, boot: str) -> str:
    verb, _, folder = request.partition(" ")
    try:
        pid = os.fork()
    except OSError as error:
        return f"error {error.strerror}"
    if pid == 0:
        code = 1
        try:
            control.close()
            os.setsid()
            signal.signal(signal.SIGCHLD, signal.SIG_DFL)
            supervise(Path(folder), boot, verb == "take-over")
            code = 0
        finally:
            os._exit(code)
    identity = identify(pid, boot)
    return f"{pid} {identity.ticks if identity is not None else 0}"


def main() -> None:
    control = socket.socket(fileno=int(sys.argv[1]))
    control.set_inheritable(False)
    signal.signal(signal.SIGCHLD, signal.SIG_IGN)  # supervisors are reaped by the system
    for number in (signal.SIGINT, signal.SIGHUP, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)  # it ends with its agent, never before
    boot = boot_id()
    gc.collect()
    gc.freeze()  # so that the collector does not touch, and thereby copy, what all supervisors share
    try:
        while request := control.recv(REQUEST_MOST):
            control.send(fork_supervisor(control, request.decode(), boot).encode())
    except ConnectionError:
        pass  # the agent died with an answer unread, or before it could be sent


if __name__ == "__main__":
    main()
