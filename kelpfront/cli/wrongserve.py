"""`python -m kelpfront.cli.wrongserve NAME serve ...`: runs the program with a deliberately faulty placer.

NAME is the name of a class in `kelpfront.lab.wrongplacers`.
"""

from __future__ import annotations

import functools
import sys
from typing import Any

from kelpfront.cli.main import main
from kelpfront.lab.wrongplacers import WRONG
from kelpfront.service import placer


def serve() -> None:
    """Replace the controller with a faulty one and run the command line with the remaining arguments."""
    name = sys.argv.pop(1)
    service: Any = functools.partial(placer.PlacerService, controller_class=WRONG[name])
    setattr(placer, "PlacerService", service)  # noqa: B010 - the command imports it from there
    main()


if __name__ == "__main__":
    serve()
