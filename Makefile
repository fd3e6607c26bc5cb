PYTHON ?= python3.11
VENV ?= .venv
PY = $(VENV)/bin/python
PACKAGES = schema core daemon cli testing
SOURCES = packages platform
SETUP = $(VENV)/.installed

.PHONY: setup demo test lint model bench chaos capacity generate format

setup: $(SETUP)

$(SETUP): requirements-dev.lock $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --require-hashes -r requirements-dev.lock
	$(PY) -m pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=-e packages/%) -e platform
	touch $(SETUP)

demo: setup
	$(PY) -m carobramp_testing.demo

test: setup
	$(PY) -m carobramp_testing.runner

lint: setup
	$(PY) -m ruff format --check $(SOURCES)
	$(PY) -m ruff check $(SOURCES)
	$(PY) -m mypy $(PACKAGES:%=-p carobramp_%) -p carobramp_platform
	$(PY) -m carobramp_schema.generate --check

model: setup
	$(PY) -m carobramp_testing.models

bench: setup
	$(PY) -m carobramp_testing.bench

chaos: setup
	$(PY) -m carobramp_testing.chaos

capacity: setup
	$(PY) -m carobramp_testing.capacity

generate: setup
	$(PY) -m carobramp_schema.generate

format: setup
	$(PY) -m ruff format $(SOURCES)
	$(PY) -m ruff check --fix $(SOURCES)
