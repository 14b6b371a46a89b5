"""Run as `python -I -S bounded.py PARENT FILES MEMORY_MB PROGRAM ARGUMENT...`: the program, as a bound child.

It dies with its parent, and keeps to its limits: descriptors, and megabytes of address space where that is
not 0. This is a program and not a function between fork and exec: there all that was registered to run after
a fork runs first, and gRPC's part of that fails now and then where its threads are at work.
"""

from __future__ import annotations

import ctypes
import os
import resource
import signal
import sys

PR_SET_PDEATHSIG = 1


def main(parent: int, files: int, memory_mb: int, program: list[str]) -> None:
    ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() != parent:  # which ended meanwhile
        sys.exit(1)
    resource.setrlimit(resource.RLIMIT_NOFILE, (files, files))
    if memory_mb:
        resource.setrlimit(resource.RLIMIT_AS, (memory_mb << 20, memory_mb << 20))
    os.execv(program[0], program)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), sys.argv[4:])
