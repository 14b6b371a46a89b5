"""Hollow placers: the program's own service, several in one process, for the load that they make."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from kelpfront.logs import configure_logs
from kelpfront.platform.config import read_config
from kelpfront.platform.read_timing import TimedSelector
from kelpfront.platform.service import Service


async def main(paths: list[Path], turns: TimedSelector) -> None:
    await asyncio.gather(*(Service(path, read_config(path), turns).run() for path in paths))


if __name__ == "__main__":
    configure_logs("warning", "json")
    its_turns = TimedSelector()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(its_turns)) as runner:
        runner.run(main([Path(name) for name in sys.argv[1:]], its_turns))
