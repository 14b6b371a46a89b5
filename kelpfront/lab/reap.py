"""Ends what an agent's tasks left running, each process known by its identity: for an experiment's end."""

from __future__ import annotations

import contextlib
import json
import os
import signal
from pathlib import Path

from kelpfront.agent.process import read_stat


def end_left(state: Path) -> int:
    """Kills the supervisors and processes of all tasks of a state folder; how many there were."""
    count = 0
    for path in state.glob("tasks/*/*.json"):
        if path.stem not in ("claim", "started") and not path.stem.startswith("watch-"):
            continue
        with contextlib.suppress(ValueError, KeyError, OSError):
            found = json.loads(path.read_bytes())
            stat = read_stat(found["pid"])
            if stat is None or stat.start_ticks != found["ticks"]:
                continue
            count += 1
            if path.stem == "started":
                os.killpg(found["pid"], signal.SIGKILL)
            os.kill(found["pid"], signal.SIGKILL)
    return count
