#!/bin/sh
# Builds what the cases 6 to 9 start, after the build of the deploy file. Their stand-ins are Python of the
# standard library, so there is nothing to compile: this checks that they and the placer can be loaded.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH="$PWD/review" .venv/bin/python -c "import standins2, kelpfront.platform.service"
for case in 6 7 8 9; do
    .venv/bin/python -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "review/$case/case.py"
done
