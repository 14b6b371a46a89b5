"""The command line: commands, their options, their output and their exit codes.

The other packages implement what the commands do.
"""

from kelpfront.cli.main import main

__all__ = ["main"]
