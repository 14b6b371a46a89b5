"""`python -m kelpfront.failure_detector FILE`: one failure detector, until it is told to end."""

from __future__ import annotations

import asyncio
import os
import resource
import sys
from pathlib import Path

from kelpfront.failure_detector.config import read_watch_config
from kelpfront.failure_detector.service import FailureDetectorService
from kelpfront.logs import configure_logs
from kelpfront.platform.config import ConfigError
from kelpfront.platform.endpoint_events import InvalidEventError, parse_events


def main(program: str = "kelpfront.failure_detector") -> int:
    """Run one failure detector; `program` is the name under which it was started, for messages."""
    if len(sys.argv) != 2:
        print(f"usage: python -m {program} FILE", file=sys.stderr)
        return 2
    path = Path(sys.argv[1])
    try:
        config = read_watch_config(path)
        parse_events(config.platform.known, config.platform)
    except (ConfigError, InvalidEventError) as error:
        print(f"{program}: {error}", file=sys.stderr)
        return 2
    configure_logs("info", "json", watcher=config.platform.name)
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)  # a descriptor for each machine
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    try:
        asyncio.run(FailureDetectorService(config, int.from_bytes(os.urandom(8))).run())
    except OSError as error:
        print(f"{program}: {path}: watch: listen: {error.strerror or error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
