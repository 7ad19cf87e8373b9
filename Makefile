PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
# Sets iterate in the same order in every run, so that seeded runs repeat.
export PYTHONHASHSEED := 0
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint bench clean

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps -e . || $(BIN)/pip install --quiet --no-deps -e .
	touch $(STAMP)

setup: $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m bench.demo

# Crowds of clients run one at a time, apart from the other tests.
test: $(STAMP)
	$(BIN)/python -m pytest --ignore=tests/crowds
	$(BIN)/python -m pytest -n 0 tests/crowds

lint: $(STAMP)
	$(BIN)/black --check --quiet src tests bench platform
	$(BIN)/ruff check --quiet src tests bench platform

bench: $(STAMP)
	$(BIN)/python -m bench.run

clean:
	rm -rf $(VENV) build
