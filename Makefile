VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin

.PHONY: demo test lint bench soak gateway-soak install

install: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --editable ".[dev,plots]"
	touch $@

demo: install
	$(BIN)/eelgrassrack demo

test: install
	$(BIN)/pytest

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

bench: install
	$(BIN)/python -m bench

SEED ?= 1
MINUTES ?= 5
soak: install
	$(BIN)/python -m bench.soak --seed $(SEED) --minutes $(MINUTES)

gateway-soak: install
	$(BIN)/python -m bench.gatewaysoak --seed $(SEED) --minutes $(MINUTES)
