"""`python -m kelpfront.watch FILE`: the former name of `python -m kelpfront.failure_detector FILE`."""

import sys

from kelpfront.failure_detector.__main__ import main

if __name__ == "__main__":
    sys.exit(main("kelpfront.watch"))
