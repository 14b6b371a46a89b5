"""`python -m kelpfront.failure_detector FILE` runs one failure detector until SIGTERM.

Ends with 0 on SIGTERM, and with 2 and a line on standard error where the file or the port cannot be used.
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
EXIT_UNUSABLE = 2  # the arguments, the file or the port
_INCARNATION_BYTES = 8  # as wide as the digest's field


def main(program: str = "kelpfront.failure_detector") -> int:
    """Run one failure detector; `program` is the name under which it was started, for messages."""
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
    """Read the file, and check the endpoint list in it before anything is started."""
    config = read_detector_config(path)
    parse_events(config.platform.known, config.platform)
    return config


def _raise_descriptor_limit() -> None:
    """Allow as many descriptors as the system does: each machine takes one."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))


if __name__ == "__main__":
    sys.exit(main())
