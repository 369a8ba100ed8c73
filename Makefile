# Each of `make test` and `make rehearse` sets up all that it needs on a fresh machine.
VENV ?= .kit-venv
BIN := $(VENV)/bin
SCENARIO ?= calm
SEED ?= 1
# rehearsals in real time that a machine of 8 cores holds beside each other without coming late
AT_ONCE ?= 6

rehearse: setup
	$(BIN)/ironrail rehearse $(SCENARIO) --seed $(SEED)

test: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/python -m pytest -n auto -m 'not sockets'
	$(BIN)/python -m pytest -n $(AT_ONCE) -m sockets

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt requirements-kit.txt requirements-dev.txt pyproject.toml
	test -x $(BIN)/python || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

.PHONY: rehearse test setup
