# Both commands set up what they need: a virtual environment with the pinned packages.
PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin
READY := $(VENV)/ready

.PHONY: demo test lint proto clean

demo: $(READY)  ## a small cluster on loopback: a job placed and followed, then a bad day with the rules checked
	$(BIN)/kelpfront demo
	$(BIN)/kelpfront bad-day --seconds 20

test: $(READY) lint  ## lint, types, layers, dead code, the files of the decisions, and all tests
	$(BIN)/python -m pytest -n auto

lint: $(READY)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/lint-imports --no-logo
	$(BIN)/vulture
	$(BIN)/python tools/policy_limits.py
	$(BIN)/python tools/protos.py --check

proto: $(READY)  ## the code of the gRPC protocol from proto/
	$(BIN)/python tools/protos.py

$(READY): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e '.[dev]' 2>pip.log || { cat pip.log; exit 1; }
	@rm -f pip.log
	@touch $@

clean:
	rm -rf $(VENV) build *.egg-info
