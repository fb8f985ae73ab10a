# Each target makes the virtual environment from the pinned requirements at
# first use. VENV can name an existing environment, to share one.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
RUN := PYTHONPATH=src PYTHONDONTWRITEBYTECODE=1 $(BIN)/python
STAMP := $(VENV)/.requirements.stamp

.PHONY: demo test lint format bench capacity binary unit

demo: $(STAMP)
	$(RUN) -m quetzaldyke demo

test: lint unit

lint: $(STAMP)
	$(BIN)/ruff format --check src tests
	$(BIN)/flake8 src tests
	$(RUN) -m mypy

unit: $(STAMP)
	$(RUN) -m pytest

format: $(STAMP)
	$(BIN)/ruff format src tests

bench: $(STAMP)
	$(RUN) -m quetzaldyke bench

capacity: $(STAMP)
	$(RUN) -m quetzaldyke capacity

binary: $(STAMP)
	mkdir -p dist
	$(BIN)/shiv --quiet --compressed -e quetzaldyke.main:main \
		-o dist/quetzaldyke -p '/usr/bin/env python3' \
		-r requirements.txt .

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check \
		-r requirements-dev.txt
	touch $(STAMP)
