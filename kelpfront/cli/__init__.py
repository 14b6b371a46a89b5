"""The command line: commands, their options, output and exit codes.

What the commands do is left to the packages below.
"""

from kelpfront.cli.main import main

__all__ = ["main"]
