"""`python -m kelpfront.platform`: runs one placer, configured by the file that LB_CONFIG names."""
# ruff: noqa: E402 - the start time of the process is read before the imports, which take long

from __future__ import annotations

import time

# Latest possible start of the process: it cannot have used more CPU time than has passed.
BEGAN_AT = time.monotonic() - time.process_time()

import asyncio
import os
import signal
import sys
from pathlib import Path

from kelpfront.logs import configure_logs
from kelpfront.platform.config import ConfigError, read_config
from kelpfront.platform.endpoint_events import InvalidEventError, parse_events
from kelpfront.platform.read_timing import TimedSelector
from kelpfront.platform.service import Service

EXIT_OK = 0
EXIT_UNUSABLE_CONFIGURATION = 2


def main() -> int:
    """Run the placer that this process's environment configures; return the exit code."""
    name = os.environ.get("LB_CONFIG", "")
    if not name:
        print(
            "kelpfront.platform: LB_CONFIG must be set to the path of the configuration file", file=sys.stderr
        )
        return EXIT_UNUSABLE_CONFIGURATION
    return serve(Path(name))


def serve(path: Path) -> int:
    """Run one placer until shutdown is requested; return the exit code."""
    # A SIGHUP during start must not terminate the process; the service installs its own handler once it runs.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = read_config(path)
        parse_events(config.known, config)
    except (ConfigError, InvalidEventError) as error:
        print(f"kelpfront.platform: {error}", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIGURATION
    configure_logs("info", "json", placer=config.name)
    selector = TimedSelector()
    try:
        with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selector)) as runner:
            runner.run(Service(path, config, selector, BEGAN_AT).run())
    except OSError as error:
        print(f"kelpfront.platform: {path}: listen: {error.strerror or error}", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIGURATION
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
