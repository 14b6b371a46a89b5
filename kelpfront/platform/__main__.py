"""`python -m kelpfront.platform`: one placer in service, configured by the file that LB_CONFIG names."""
# ruff: noqa: E402

from __future__ import annotations

import time

BEGAN = time.monotonic() - time.process_time()  # of the process, at the latest

import asyncio
import os
import signal
import sys
from pathlib import Path

from kelpfront.logs import configure_logs
from kelpfront.platform.config import ConfigError, read_config
from kelpfront.platform.directory import BadEventError, events_of
from kelpfront.platform.service import Service
from kelpfront.platform.turns import Turns


def main() -> int:
    name = os.environ.get("LB_CONFIG", "")
    if not name:
        print("kelpfront.platform: LB_CONFIG: the path of the configuration file is wanted", file=sys.stderr)
        return 2
    return serve(Path(name))


def serve(path: Path) -> int:
    """One placer, until it is told to end; the exit code."""
    # A signal during start must not end the process: the service sets its own handler once it runs.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = read_config(path)
        events_of(config.known, config)
    except (ConfigError, BadEventError) as error:
        print(f"kelpfront.platform: {error}", file=sys.stderr)
        return 2
    configure_logs("info", "json", placer=config.name)
    try:
        turns = Turns()
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(turns)) as runner:
            runner.run(Service(path, config, turns, BEGAN).run())
    except OSError as error:
        print(f"kelpfront.platform: {path}: listen: {error.strerror or error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
