# Every target sets up .venv on its own; only Python 3.11 and make are needed.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := core node client standins replay jobs
SEED ?= 1
STEPS ?= 1000
COUNT ?= 10
PYTEST_OPTIONS ?=


.PHONY: setup demo playground test bench capacity soak soak-jobs lint format check clean

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(PACKAGES:%=packages/%/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt \
		--requirement requirements-dev.txt $(PACKAGES:%=--editable packages/%) --editable platform
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m trefoilroad_standins.demo

playground: $(STAMP)
	$(BIN)/python -m trefoilroad_standins.playground

bench: $(STAMP)
	$(BIN)/python -m trefoilroad_replay.report

capacity: $(STAMP)
	$(BIN)/python -m trefoilroad_replay.capacity
	$(BIN)/python -m trefoilroad_standins.control_cost

soak: $(STAMP)
	$(BIN)/python -m trefoilroad_standins.soak --seed $(SEED) --count $(STEPS)

soak-jobs: $(STAMP)
	$(BIN)/python -m trefoilroad_standins.jobs.soak --seed $(SEED) --count $(COUNT)

test: $(STAMP)
	$(BIN)/python -P -m pytest $(PYTEST_OPTIONS) packages
	cd platform && ../$(BIN)/python -P -m pytest

lint: $(STAMP)
	$(BIN)/yapf --diff --recursive packages platform
	$(BIN)/ruff check packages platform
	$(BIN)/mypy packages/*/src platform/src

format: $(STAMP)
	$(BIN)/yapf --in-place --recursive packages platform
	$(BIN)/ruff check --fix packages platform

check: lint test

clean:
	rm -rf $(VENV) out
