# Each of `make test` and `make rehearse` sets up all that it needs on a fresh machine.
VENV ?= .kit-venv
BIN := $(VENV)/bin
SCENARIO ?= calm
SEED ?= 1
# Rehearsals in real time that the machine holds beside each other without coming late: the start of one
# takes more than a core for a second.
CORES := $(shell nproc)
AT_ONCE ?= $(shell expr $(CORES) \* 2 / 3 \| 1)

rehearse: setup
	$(BIN)/ironrail rehearse $(SCENARIO) --seed $(SEED)

# Where the environment forbids to keep bytecode, each of the workers would compile all tests anew.
test: export PYTHONDONTWRITEBYTECODE =
test: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(MAKE) --jobs 2 types unhurried
	$(BIN)/python -m pytest -n $(AT_ONCE) --dist worksteal -m sockets $$(grep -rlF pytest.mark.sockets tests --include 'test_*.py')

# beside each other: the type checker takes one core
types: setup
	$(BIN)/mypy

unhurried: setup
	$(BIN)/python -m pytest -n auto --dist worksteal -m 'not sockets'

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-kit.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --no-compile --requirement requirements-dev.txt --editable .
	$(BIN)/python -m compileall -q -j 0 $(VENV)/lib ironrail > /dev/null 2>&1 || true # pip does it on one core
	touch $@

.PHONY: rehearse test types unhurried setup
