"""Prints the sample of the command line as it is on a machine with a given number of cores.

Runs as a separate program because the defaults that depend on the machine are evaluated when the commands are
imported. The first line of output holds these defaults as JSON, the rest is the sample of `commands.json`.
"""

from __future__ import annotations

import json
import os
import sys
from unittest.mock import patch


def main(cores: int) -> None:
    with patch.object(os, "cpu_count", return_value=cores):
        from surface_published import commands, machine_dependent_defaults

        defaults = machine_dependent_defaults()
        sample = commands()
    sys.stdout.buffer.write(json.dumps(defaults).encode() + b"\n" + sample)


if __name__ == "__main__":
    main(int(sys.argv[1]))
