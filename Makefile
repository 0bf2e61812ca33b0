# Every target sets up .venv first and needs only Python 3.11 and make.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := $(wildcard packages/*/pyproject.toml)

.PHONY: setup test lint format demo bench explore soak

setup: $(STAMP)

$(STAMP): requirements.lock $(PACKAGES)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps --no-build-isolation \
		$(foreach p,$(PACKAGES),-e $(dir $(p)))
	touch $@

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: $(STAMP)
	$(BIN)/python -m corianderpitch_standins.demo

bench: $(STAMP)
	$(BIN)/python -m corianderpitch_standins.bench

# A longer run of the property tests and the simulated holders, with fresh seeds.
explore: $(STAMP)
	HYPOTHESIS_PROFILE=explore $(BIN)/python -m pytest packages/corianderpitch/tests \
		tests/adapter/test_holder_changes.py

# Fifty soaks of real entries in half an hour or more; logs in soak-logs.
soak: $(STAMP)
	$(BIN)/python -W ignore -m corianderpitch_standins.soak --seeds 50 --seconds 30
