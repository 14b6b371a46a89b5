"""Ports for the rig's listeners, which are told to others before they are bound.

A port that the system gave for the asking and that was closed again is soon given to another: to any listener
that asks for port 0, or as the near end of any outgoing connection. Those all come from one range; the rig's
come from below it, or from above where there is no room below.
"""

from __future__ import annotations

import random
import socket
from pathlib import Path

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
LEAST, MOST = 10_000, 65_535  # below are ports with names
TRIES = 1_000


def candidates() -> range:
    """The ports that the system gives to nobody by itself; the longer of the two ends."""
    low, high = (int(number) for number in RANGE.read_text().split())
    return max(range(LEAST, low), range(high + 1, MOST + 1), key=len)


def free_port() -> int:
    """A port that is free on all addresses; RuntimeError where none was found."""
    ports = candidates()
    for _ in range(min(TRIES, TRIES * len(ports))):
        port = random.choice(ports)
        with socket.socket() as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                continue
        return port
    raise RuntimeError(f"no free port in {ports.start} to {ports.stop - 1}")
