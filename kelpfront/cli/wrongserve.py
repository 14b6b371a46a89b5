"""`python -m kelpfront.cli.wrongserve NAME serve ...`: the program with a placer that is faulty on purpose.

The faults are those of `kelpfront.lab.wrongplacers`, by the names of their classes.
"""

from __future__ import annotations

import functools
import sys
from typing import Any

from kelpfront.cli.main import main
from kelpfront.lab.wrongplacers import WRONG
from kelpfront.service import placer


def serve() -> None:
    """Put the faulty controller in place and run the command line with the other arguments."""
    name = sys.argv.pop(1)
    service: Any = functools.partial(placer.PlacerService, controller_class=WRONG[name])
    setattr(placer, "PlacerService", service)  # noqa: B010 - where the command line takes it from
    main()


if __name__ == "__main__":
    serve()
