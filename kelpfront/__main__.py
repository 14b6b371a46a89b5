"""`python -m kelpfront`."""

from kelpfront.cli import main

main()
