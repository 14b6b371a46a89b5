"""Entry point of `python -m kelpfront`, the command line interface."""

from kelpfront.cli import main

main()
