"""`python -m kelpfront.watch FILE`: one watcher, until it is told to end."""

from __future__ import annotations

import asyncio
import os
import resource
import sys
from pathlib import Path

from kelpfront.logs import configure_logs
from kelpfront.platform.config import ConfigError
from kelpfront.platform.directory import BadEventError, events_of
from kelpfront.watch.config import read_watch_config
from kelpfront.watch.service import WatchService


def main() -> int:
    if len(sys.argv) != 2:
        print("usage: python -m kelpfront.watch FILE", file=sys.stderr)
        return 2
    path = Path(sys.argv[1])
    try:
        config = read_watch_config(path)
        events_of(config.platform.known, config.platform)
    except (ConfigError, BadEventError) as error:
        print(f"kelpfront.watch: {error}", file=sys.stderr)
        return 2
    configure_logs("info", "json", watcher=config.platform.name)
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)  # a descriptor for each machine
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    try:
        asyncio.run(WatchService(config, int.from_bytes(os.urandom(8))).run())
    except OSError as error:
        print(f"kelpfront.watch: {path}: watch: listen: {error.strerror or error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
