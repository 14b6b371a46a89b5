#!/bin/sh
# Plays the case of claim.txt and writes review/6/record.txt. TROUBLE=0: without the disruption.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH="$PWD/review" PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/6/case.py review/6/record.txt
