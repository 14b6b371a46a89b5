"""The command line."""

from kelpfront.cli.main import main

__all__ = ["main"]
