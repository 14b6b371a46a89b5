#!/bin/sh
# Builds the stand-ins: they are Python of the standard library, so they are only compiled once as a check.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
