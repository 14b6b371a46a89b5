"""Fails a run that reads the real clock, real chance or a real socket: it would not be the same twice."""

from __future__ import annotations

import os
import random
import secrets
import socket
import sys
import threading
import time
import uuid
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any


class RealWorldError(RuntimeError):
    """Something in the run reached outside; the message says what, and from where."""


# What is forbidden, by module and name. asyncio's own look at the clock is the loop's, which is virtual.
FORBIDDEN: tuple[tuple[Any, str], ...] = (
    (time, "time"),
    (time, "time_ns"),
    (time, "monotonic"),
    (time, "monotonic_ns"),
    (time, "perf_counter"),
    (time, "perf_counter_ns"),
    (time, "sleep"),
    (os, "urandom"),
    (uuid, "uuid1"),
    (uuid, "uuid4"),
    (secrets, "token_bytes"),
    (secrets, "token_hex"),
    (random, "random"),
    (random, "uniform"),
    (random, "choice"),
    (random, "randrange"),
    (random, "shuffle"),
    (socket, "create_connection"),
    (socket, "getaddrinfo"),
    (threading.Thread, "start"),
)


@contextmanager
def sealed() -> Iterator[list[str]]:
    """Within, reaching outside raises RealWorldError. The list has each time, even one that was swallowed."""
    found: list[str] = []
    kept = [(owner, name, getattr(owner, name)) for owner, name in FORBIDDEN]
    real_socket = socket.socket

    class NoSocket(real_socket):  # type: ignore[valid-type,misc]
        def __init__(self, *args: Any, **kwargs: Any) -> None:
            _refuse(found, "socket.socket")

    for owner, name, _ in kept:
        setattr(owner, name, _trap(found, f"{getattr(owner, '__name__', owner)}.{name}"))
    socket.socket = NoSocket  # type: ignore[misc]
    try:
        yield found
    finally:
        socket.socket = real_socket  # type: ignore[misc]
        for owner, name, original in kept:
            setattr(owner, name, original)


def _trap(found: list[str], what: str) -> Callable[..., Any]:
    def trapped(*args: Any, **kwargs: Any) -> Any:
        _refuse(found, what)

    return trapped


def _refuse(found: list[str], what: str) -> None:
    frame = sys._getframe(2)
    text = f"{what} from {frame.f_code.co_filename.rpartition('/')[2]}:{frame.f_lineno}"
    found.append(text)
    raise RealWorldError(f"{text}: in virtual time nothing real may be read")
