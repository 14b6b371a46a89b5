#!/bin/sh
# Plays the case; see claim.txt. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
PYTHONPATH=.. exec ../../.venv/bin/python case.py
