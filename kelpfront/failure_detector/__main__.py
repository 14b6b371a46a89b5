"""`python -m kelpfront.failure_detector FILE` runs one failure detector until SIGTERM.

Exits with 0 on SIGTERM, and with 2 and a line on standard error if the file or the port cannot be used.
"""

from __future__ import annotations

import asyncio
import os
import resource
import sys
from pathlib import Path

from kelpfront.failure_detector.config import FailureDetectorConfig, read_detector_config
from kelpfront.failure_detector.service import FailureDetectorService
from kelpfront.logs import configure_logs
from kelpfront.platform.config import ConfigError
from kelpfront.platform.endpoint_events import InvalidEventError, parse_events

EXIT_OK = 0
EXIT_UNUSABLE = 2  # the arguments, the file or the port cannot be used
_INCARNATION_BYTES = 8  # the width of the field in a digest


def main(program: str = "kelpfront.failure_detector") -> int:
    """Run one failure detector; `program` is the module name shown in messages."""
    if len(sys.argv) != 2:
        print(f"usage: python -m {program} FILE", file=sys.stderr)
        return EXIT_UNUSABLE
    path = Path(sys.argv[1])
    try:
        config = _read_config(path)
    except (ConfigError, InvalidEventError) as error:
        print(f"{program}: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    configure_logs("info", "json", detector=config.platform.name)
    _raise_descriptor_limit()
    incarnation = int.from_bytes(os.urandom(_INCARNATION_BYTES))
    try:
        asyncio.run(FailureDetectorService(config, incarnation).run())
    except OSError as error:
        print(f"{program}: {path}: watch: listen: {error.strerror or error}", file=sys.stderr)
        return EXIT_UNUSABLE
    return EXIT_OK


def _read_config(path: Path) -> FailureDetectorConfig:
    """Read the file and validate its endpoint list before anything is started."""
    config = read_detector_config(path)
    parse_events(config.platform.known, config.platform)
    return config


def _raise_descriptor_limit() -> None:
    """Raise the limit of file descriptors to the hard limit: each machine needs one."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))


if __name__ == "__main__":
    sys.exit(main())
